/**
 * Errors of ports, classified by whether the remote side may have acted.
 *
 * @module
 */

/**
 * - `not_sent`: the request was not sent, so the remote side did nothing.
 * - `refused`: the remote side refused the call before acting.
 * - `rate_limited`: refused because of the remote side's rate limit.
 * - `answer_lost`: sent, but no complete answer arrived; it may have acted.
 * - `timeout`: like `answer_lost`, because of a timeout.
 * - `cancelled`: cancelled by the caller; the remote side may have acted.
 * - `bad_answer`: the answer violates the protocol; the remote side may have acted.
 */
export type PortErrorKind =
  | "not_sent"
  | "refused"
  | "rate_limited"
  | "answer_lost"
  | "timeout"
  | "cancelled"
  | "bad_answer";

/** Why a call through a port returned no result. */
export interface PortError {
  readonly kind: PortErrorKind;
  readonly message: string;
  /** Delay that the remote side asks for before a retry. */
  readonly retryAfterMs?: number;
}

const KINDS_WITHOUT_EFFECT: ReadonlySet<PortErrorKind> = new Set([
  "not_sent",
  "refused",
  "rate_limited",
]);

/**
 * Returns whether the remote side may have acted on a failed call.
 *
 * @param error The error that the port returned.
 * @returns False only if it is certain that nothing ran.
 * @example
 * ```ts
 * mayHaveActed({ kind: "not_sent", message: "Connection refused" }); // false
 * ```
 */
export function mayHaveActed(error: PortError): boolean {
  return !KINDS_WITHOUT_EFFECT.has(error.kind);
}
