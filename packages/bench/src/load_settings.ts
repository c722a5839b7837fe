/**
 * What a load generator is told and what it tells, as JSON between processes.
 *
 * @module
 */

/** How requests are keyed. */
export const KEY_KIND = {
  none: "none",
  /** A UUIDv7 made for each request. */
  uuid: "uuid",
  /** Minted by the entry beforehand. */
  minted: "minted",
} as const;
export type KeyKind = (typeof KEY_KIND)[keyof typeof KEY_KIND];

/** Load of one generator process. */
export interface LoadSettings {
  /** Servers, taken in turn. */
  readonly urls: readonly string[];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  readonly keys: KeyKind;
  /** Requests under way at most. */
  readonly concurrency: number;
  /** Requests a second; undefined: each answer is followed by the next request. */
  readonly ratePerSecond?: number;
  /** Load before the measurement begins. */
  readonly warmUpMs: number;
  readonly durationMs: number;
}

/** What one generator measured after its warm-up. */
export interface LoadReport {
  /** Answers with status 200. */
  readonly completed: number;
  /** Other answers by their name; broken connections as `broken`. */
  readonly others: Readonly<Record<string, number>>;
  /** Requests that were not sent, because `concurrency` were under way. */
  readonly skipped: number;
  readonly seconds: number;
  /** Histogram of latencies in microseconds, compressed and in base64. */
  readonly histogram: string;
}

/** Precedes the report on the standard output. */
export const REPORT_MARK = "report ";
