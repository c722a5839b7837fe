/**
 * Records of the log's configuration stream.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";

/** Name of the stream that carries configuration. */
export const CONFIGURATION_STREAM = "configuration";

/** What the configuration stream says. */
export type ConfigurationRecord =
  /** Accepted if and only if it is valid and `base` is in force at its offset. */
  | {
    readonly kind: "publish";
    /** Chosen by the publisher: finds the record again after a lost answer. */
    readonly recordId: string;
    /** The version that was edited; 0 for the first. */
    readonly base: number;
    readonly author: string;
    readonly note: string;
    readonly configuration: unknown;
  }
  /**
   * Repeats the version in force before the log drops its record.
   * A reader that starts later may build on it only if it can read everything
   * after `seenThrough`; otherwise a publish in between may be missing.
   */
  | {
    readonly kind: "renewal";
    readonly version: number;
    readonly author: string;
    readonly note: string;
    readonly configuration: unknown;
    /** The last offset that the renewing process had read. */
    readonly seenThrough: Offset;
  };

/** A configuration in force. Versions only grow. */
export interface VersionedConfiguration {
  readonly version: number;
  readonly author: string;
  readonly note: string;
  /** As published and checked; typed by `@sardinestep/settings`. */
  readonly configuration: unknown;
}
