/**
 * Whether an answer that is read whole may hold more bytes.
 *
 * @module
 */

/** Most bytes of a small answer, which may exceed the limit. */
export const MIN_ANSWER_BYTES = 65_536;
/** Part of the limit by which small answers may exceed it together. */
export const OVERDRAFT_SHARE = 1 / 8;

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
 * Load: endpoints that send large answers at once, or answers without an end. A small
 * answer is read also if others fill the budget, since its request has run; but many
 * of them would take any memory together, so that the overdraft is bounded too.
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
  const freeBytes = limitBytes - heldBytes;
  const neededBytes = answerBytes <= MIN_ANSWER_BYTES
    ? -limitBytes * OVERDRAFT_SHARE - freeBytes
    : answerBytes - freeBytes;
  return neededBytes > 0 ? { kind: "makeRoom", neededBytes } : { kind: "read" };
}
