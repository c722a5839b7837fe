/**
 * Errors of ports, told apart by what the other side may have done.
 *
 * @module
 */

/**
 * - `not_sent`: no connection was made, so the other side did nothing.
 * - `refused`: the other side said no before acting.
 * - `rate_limited`: refused because of its rate limit.
 * - `answer_lost`: sent, and no whole answer came; it may have acted.
 * - `timeout`: as `answer_lost`, because a time limit ran out.
 * - `cancelled`: this side gave up; it may have acted.
 * - `bad_answer`: the answer does not follow the protocol; it may have acted.
 */
export type PortErrorKind =
  | "not_sent"
  | "refused"
  | "rate_limited"
  | "answer_lost"
  | "timeout"
  | "cancelled"
  | "bad_answer";

/** Why a call through a port gave no result. */
export interface PortError {
  readonly kind: PortErrorKind;
  readonly message: string;
  /** When the other side asks to be tried again, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

const WITHOUT_EFFECT: ReadonlySet<PortErrorKind> = new Set([
  "not_sent",
  "refused",
  "rate_limited",
]);

/**
 * Tells whether the other side may have acted on a call that failed.
 *
 * @param error The error that the port returned.
 * @returns False only where it is proved that nothing ran.
 * @example
 * ```ts
 * mayHaveActed({ kind: "not_sent", message: "Connection refused" }); // false
 * ```
 */
export function mayHaveActed(error: PortError): boolean {
  return !WITHOUT_EFFECT.has(error.kind);
}
