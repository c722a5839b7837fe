/**
 * What an outcome in a log line means to the caller.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";

/** Kinds of outcomes of answers. */
export const OUTCOME_KIND = {
  /** The answer was delivered completely. */
  served: "served",
  /** The answer says that the request was not run. */
  refused: "refused",
  /** Anything else, including answers that leave open whether it ran. */
  failed: "failed",
} as const;
/** A value of {@link OUTCOME_KIND}. */
export type OutcomeKind = typeof OUTCOME_KIND[keyof typeof OUTCOME_KIND];

/** Outcomes of answers that were delivered completely. */
const SERVED_OUTCOME = /^(streamed|2\d\d)$/;
/** Digits are replaced in reasons, so that equal causes are counted together. */
const DIGITS = /\d+/g;

/**
 * Parses the field `outcome` of the event `request_answered`.
 *
 * @param outcome `streamed`, `brokenOff`, an HTTP status or the name of a code.
 * @returns Its kind; `failed` for names that docs/RESULT-CODES.md does not list.
 * @example
 * ```ts
 * parseOutcome("streamed"); // "served"
 * parseOutcome("QUEUE_FULL"); // "refused"
 * parseOutcome("500"); // "failed"
 * ```
 */
export function parseOutcome(outcome: string): OutcomeKind {
  if (SERVED_OUTCOME.test(outcome)) return OUTCOME_KIND.served;
  if (!Object.hasOwn(codes.CODES, outcome)) return OUTCOME_KIND.failed;
  return codes.CODES[outcome as codes.CodeName].outcome === "not run"
    ? OUTCOME_KIND.refused
    : OUTCOME_KIND.failed;
}

/**
 * Formats a code and its reason as a cause without figures.
 *
 * @example
 * ```ts
 * formatCause("QUEUE_FULL", "takes 812 ms"); // "QUEUE_FULL: takes # ms"
 * ```
 */
export function formatCause(code: unknown, reason: unknown): string {
  const text = reason === undefined
    ? String(code ?? "unknown")
    : `${code ?? "unknown"}: ${reason}`;
  return text.replace(DIGITS, "#");
}
