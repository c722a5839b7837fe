/**
 * Options and results of the claim table.
 *
 * @module
 */
import type { KeyId, KeyStatus } from "./record.ts";

/** Options of a `ClaimTable`. */
export interface ClaimTableOptions {
  /** A claim is valid if appended within this time after its key's embedded time. */
  readonly keyWindowMs: number;
  /** How far a caller's clock may be ahead of the log's. */
  readonly futureSkewMs: number;
  /**
   * How long a key is kept after its window, so that its outcome can be looked
   * up. Defaults to `keyWindowMs`.
   */
  readonly keepMs?: number;
}

/** Offset and time that the log assigned to a record. */
export interface LogPosition {
  readonly offset: number;
  readonly time: number;
}

/** Options of `ClaimTable.applyGroup`. */
export interface ApplyGroupOptions {
  /** The oldest offset that the log retained when the record was read. */
  readonly firstOffset?: number;
}

/** Sizes and counters for operators. */
export interface ClaimTableSizes {
  readonly keys: number;
  readonly mintedKeys: number;
  /** Records that are malformed or have an invalid key. */
  readonly bad: number;
  /** Well-formed records that had no effect, such as duplicates. */
  readonly ignored: number;
  /** How often the log had trimmed records before they were read. */
  readonly gaps: number;
}

/** Status of a key under one customer. */
export interface CustomerKeyStatus {
  readonly keyId: KeyId;
  readonly status: KeyStatus;
}
