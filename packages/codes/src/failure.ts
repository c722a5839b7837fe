/**
 * Expected failures as plain data, carried in a `Result`.
 *
 * @module
 */
import type { Outcome } from "@sardinestep/types";
import { type CodeName, type CodeRow, CODES } from "./table.ts";

/** A failure that a caller or operator can see. */
export interface Failure {
  readonly code: CodeName;
  /** What failed and for which value; starts upper case, without a period. */
  readonly message: string;
  /** What is known of the key or request. */
  readonly outcome: Outcome;
  /** What is known of this attempt alone, where that is more than the outcome. */
  readonly attempt?: Outcome;
  /** When to come back, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** What {@link createFailure} may set beside code and message. */
export interface FailureOptions {
  readonly outcome?: Outcome;
  readonly attempt?: Outcome;
  readonly retryAfterMs?: number;
}

/**
 * Makes a failure with the outcome that its code's row names.
 *
 * @param code Name of the result code.
 * @param message What failed and for which value.
 * @param options Outcome where the row says it varies, and a time to come back.
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
