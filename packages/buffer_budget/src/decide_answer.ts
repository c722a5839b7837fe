/**
 * Whether an answer that is read whole may hold more bytes.
 *
 * @module
 */

/** Bytes that each answer may hold whatever the others hold. */
export const MIN_ANSWER_BYTES = 65_536;

/** State of one answer and of the budget; sizes in bytes. */
export interface AnswerState {
  /** Limit of everything the process holds. */
  readonly limitBytes: number;
  /** What it holds now, this answer included. */
  readonly heldBytes: number;
  /** What is held of this answer. */
  readonly answerBytes: number;
}

/** What happens with an answer next. */
export type AnswerDecision =
  | { readonly kind: "read" }
  /** It may be read on only if others give back `neededBytes`. */
  | { readonly kind: "makeRoom"; readonly neededBytes: number };

/**
 * Decides whether an answer is read further.
 *
 * Load: endpoints that send large answers at once, or answers without an end.
 * Source: dynamic queue thresholds (Choudhury and Hahne, 1998): an answer may hold
 * as much as is still free, so large answers are ended before small ones.
 *
 * @example
 * ```ts
 * decideAnswer({ limitBytes: 48e6, heldBytes: 8e6, answerBytes: 8e6 });
 * // { kind: "read" }
 * ```
 */
export function decideAnswer(
  { limitBytes, heldBytes, answerBytes }: AnswerState,
): AnswerDecision {
  const freeBytes = Math.max(MIN_ANSWER_BYTES, limitBytes - heldBytes);
  if (answerBytes <= freeBytes) return { kind: "read" };
  return {
    kind: "makeRoom",
    neededBytes: answerBytes - (limitBytes - heldBytes),
  };
}
