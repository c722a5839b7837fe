/**
 * Whether an idle endpoint starts a call now or waits for space for results.
 *
 * Answers a queue at a pool whose result space is short: an endpoint that starts with
 * the few pieces that fit spends the fixed cost of a call on them.
 *
 * @module
 */

/** Options of {@link decideCallStart}. */
export interface DecideCallStartOptions {
  /** Pieces that the call would carry. */
  readonly pieces: number;
  /** Fixed cost of a call, in milliseconds. */
  readonly callMs: number;
  /** Cost of each piece, in milliseconds. */
  readonly pieceMs: number;
  /** Rate at which space for pieces is freed at the endpoint, per millisecond. */
  readonly freedPiecesPerMs: number;
  /** Time since a call could have started, in milliseconds. */
  readonly waitedMs: number;
}

/** What an idle endpoint does. */
export type CallStartDecision =
  | { readonly kind: "start" }
  | { readonly kind: "wait" };

/** Longest wait as a share of a call's fixed cost, the most that a wait can save. */
const MAX_WAIT_SHARE = 0.5;

/**
 * Decides whether a call that lacks space starts.
 *
 * A wait pays off while pieces that space is freed for arrive at a higher rate, with
 * their own cost counted, than the call as it is would make pieces.
 *
 * @param options The call, its costs and the rate of freed space.
 * @example
 * ```ts
 * decideCallStart({ pieces: 8, callMs: 150, pieceMs: 2, freedPiecesPerMs: 0.3, waitedMs: 0 }); // { kind: "wait" }
 * ```
 */
export function decideCallStart(
  options: DecideCallStartOptions,
): CallStartDecision {
  const { pieces, callMs, pieceMs, freedPiecesPerMs, waitedMs } = options;
  if (waitedMs >= callMs * MAX_WAIT_SHARE) return { kind: "start" };
  const callRate = pieces / (callMs + pieces * pieceMs);
  const waitRate = freedPiecesPerMs / (1 + freedPiecesPerMs * pieceMs);
  return { kind: waitRate > callRate ? "wait" : "start" };
}
