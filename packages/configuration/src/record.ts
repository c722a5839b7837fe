/**
 * Record types of the log's configuration stream.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";

/** Name of the stream that carries configuration. */
export const CONFIGURATION_STREAM = "configuration";

/** A record of the configuration stream. */
export type ConfigurationRecord =
  /** Accepted if and only if it is valid and `base` is in force at its offset. */
  | {
    readonly kind: "publish";
    /** Chosen by the publisher to find the record after a lost answer. */
    readonly recordId: string;
    /** The version that was edited; 0 for the first. */
    readonly base: number;
    readonly author: string;
    readonly note: string;
    readonly configuration: unknown;
  }
  /**
   * Repeats the version in force before the log trims its record.
   * A reader that starts later may start from it only if every record after
   * `seenThrough` is readable; otherwise it may miss a publish in between.
   */
  | {
    readonly kind: "renewal";
    readonly version: number;
    readonly author: string;
    readonly note: string;
    readonly configuration: unknown;
    /** Offset of the last record that the renewing process had read. */
    readonly seenThrough: Offset;
  };

/** A configuration with its version. Versions only grow. */
export interface VersionedConfiguration {
  readonly version: number;
  readonly author: string;
  readonly note: string;
  /** As published and validated; its type is in `@sardinestep/settings`. */
  readonly configuration: unknown;
}
