/**
 * Options and reports of the claim table.
 *
 * @module
 */
import type { KeyId, KeyStatus } from "./record.ts";

/** Limits of a `ClaimTable`, in milliseconds. */
export interface ClaimTableOptions {
  /** A claim counts if it is appended this long after its key's own time. */
  readonly keyWindowMs: number;
  /** How far a caller's clock may run ahead of the log's. */
  readonly futureSkewMs: number;
  /**
   * How long a key is remembered after its window, so that its outcome can be
   * looked up; as long as the window itself when not given.
   */
  readonly keepMs?: number;
}

/** Where and when the log placed a record. */
export interface Placement {
  readonly offset: number;
  readonly time: number;
}

/** What else is known of the record that is applied. */
export interface ApplyGroupOptions {
  /** The oldest offset that the log still kept when the record was read. */
  readonly firstOffset?: number;
}

/** Sizes and counts for operators. */
export interface ClaimTableSizes {
  readonly keys: number;
  readonly mintedKeys: number;
  /** Records without a known shape or key. */
  readonly bad: number;
  /** Well-formed records that change nothing by the rules. */
  readonly ignored: number;
  /** How often records were trimmed before they were read. */
  readonly gaps: number;
}

/** A key with its status. */
export interface FoundKey {
  readonly keyId: KeyId;
  readonly status: KeyStatus;
}
