/**
 * Expected failures as plain data, returned in a `Result`.
 *
 * @module
 */
import type { Outcome } from "@sardinestep/types";
import { type CodeName, type CodeRow, CODES } from "./table.ts";

/** A failure that a caller or operator can see. */
export interface Failure {
  readonly code: CodeName;
  /** What failed and for which value; starts in upper case, without final period. */
  readonly message: string;
  /** Known outcome of the key or request. */
  readonly outcome: Outcome;
  /** Outcome of this attempt alone, if more is known of it than of the key. */
  readonly attempt?: Outcome;
  /** Delay before a retry. */
  readonly retryAfterMs?: number;
}

/** Optional fields for {@link createFailure}. */
export interface FailureOptions {
  readonly outcome?: Outcome;
  readonly attempt?: Outcome;
  readonly retryAfterMs?: number;
}

/**
 * Creates a failure with the outcome from the table row of its code.
 *
 * @param code Name of the result code.
 * @param message What failed and for which value.
 * @param options Outcomes that override the row, and the retry delay.
 * @returns The failure as plain data.
 * @example
 * ```ts
 * createFailure("UNKNOWN_PIPELINE", 'Cannot serve pipeline "drafts"');
 * ```
 */
export function createFailure(
  code: CodeName,
  message: string,
  options: FailureOptions = {},
): Failure {
  const outcome = options.outcome ?? getDefaultOutcome(CODES[code]);
  return { code, message, ...options, outcome };
}

function getDefaultOutcome(codeRow: CodeRow): Outcome {
  return codeRow.outcome === "varies" ? "unknown" : codeRow.outcome;
}
