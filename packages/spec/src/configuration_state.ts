/**
 * States and moves of the specification of publish-and-accept.
 *
 * @module
 */
import type { ReaderEvent, SpecRecord } from "./configuration_log.ts";
import type { ConfigurationMechanism } from "./configuration_mirror.ts";

/** One control process since its start. */
export interface SpecReader {
  readonly events: readonly ReaderEvent[];
  /** The highest version that was in force here. */
  readonly highest: number;
}

/** A state of the specification. */
export interface ConfigurationState {
  readonly log: readonly SpecRecord[];
  readonly first: number;
  readonly readers: readonly SpecReader[];
  readonly inFlight: readonly SpecRecord[];
  /** Operators that have published. */
  readonly published: readonly number[];
  readonly copiesLeft: number;
  readonly renewalsLeft: number;
  readonly restartsLeft: number;
}

/** What happens next. */
export type ConfigurationMove =
  | {
    readonly kind: "publish";
    readonly operator: number;
    readonly reader: number;
  }
  | { readonly kind: "renew" | "read" | "restart"; readonly reader: number }
  | { readonly kind: "adopt"; readonly reader: number; readonly from: number }
  | {
    readonly kind: "adopt_snapshot";
    readonly reader: number;
    readonly from: number;
  }
  | { readonly kind: "land" | "copy"; readonly flight: number }
  | { readonly kind: "trim" };

/** Size of the exploration. */
export interface ConfigurationModelOptions {
  readonly without?: ConfigurationMechanism;
  readonly operators?: number;
  readonly maxLog?: number;
  readonly copies?: number;
  readonly renewals?: number;
  readonly restarts?: number;
  /** Whether versions come from neighbours, too. */
  readonly hasAdoption?: boolean;
  /** Whether judged states come from neighbours, too. */
  readonly hasSnapshots?: boolean;
}

/** Sizes with nothing left open. */
export type ConfigurationLimits = Required<
  Omit<ConfigurationModelOptions, "without">
>;
