/**
 * Admission of requests whose stages run in pools.
 *
 * @module
 */

/** Why a request of a chain is refused. */
export const REFUSAL_REASON = {
  /** The queues are so long that the answer would miss the deadline. */
  busy: "busy",
  /** The answer would miss the deadline even if nothing were queued. */
  deadlineOutOfReach: "deadlineOutOfReach",
  /** Results of a stage would be dropped before the next stage reads them. */
  resultsExpire: "resultsExpire",
} as const;
/** A value of {@link REFUSAL_REASON}. */
export type RefusalReason = typeof REFUSAL_REASON[keyof typeof REFUSAL_REASON];

/** Input of {@link decideChainAdmission}; all times are in milliseconds. */
export interface ChainAdmissionInput {
  /** Time of all stages with full calls and without queueing. */
  readonly stagesMs: number;
  /** Expected wait along the longest path behind groups that are on time. */
  readonly waitMs: number;
  /** Expected wait along the longest path as a deferred request. */
  readonly deferredWaitMs: number;
  /** Longest time that results of a deferred request wait for the next stage. */
  readonly heldMs: number;
  /** Shortest time that pools keep results; Infinity without pools. */
  readonly resultTtlMs: number;
  /** Time from the last stage result to the first event. */
  readonly firstEventMs: number;
  /** Margin for errors of the forecast. */
  readonly marginMs: number;
  /** Wait behind work that was admitted and isn't queued at its pool yet. */
  readonly aheadMs: number;
  readonly objectiveMs: number;
  /** Time until the caller's deadline or the route's timeout. */
  readonly timeoutMs: number;
  /** How long the caller waits for the first event. */
  readonly patienceMs?: number;
  /** The caller was refused before and retried after the time it was given. */
  readonly isReturn: boolean;
}

/** Lane of a request, and the expected time behind the decision. */
export type ChainAdmission =
  | { readonly kind: "onTime"; readonly expectedMs: number }
  | { readonly kind: "deferred"; readonly expectedMs: number }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly expectedMs: number;
    /** Time until the queues leave room for such a request. */
    readonly roomMs: number;
  };

/**
 * Share of a pool that first attempts may claim as deferred requests. A deferred
 * group goes first at its last chance, so a larger share takes more of the pool from
 * groups that could be on time: with 0.3 less than 0.9 of a burst is on time.
 */
const DEFERRED_SHARE = 0.2;
/**
 * The same for returns. A larger share refuses fewer returns, but takes as much from
 * groups on time, which are then refused and return themselves.
 */
const RETURN_SHARE = 0.2;

/**
 * Returns how long a deferred request waits at a pool, in milliseconds.
 *
 * Groups that arrive later and can be on time go first. So the deferred groups ahead
 * get only a share of the pool.
 *
 * @param onTimeMs Wait behind the groups on time, in milliseconds.
 * @param allMs Wait behind all queued groups, in milliseconds.
 * @param isReturn Whether the caller was refused before.
 */
export function getDeferredWaitMs(
  onTimeMs: number,
  allMs: number,
  isReturn: boolean,
): number {
  const share = isReturn ? RETURN_SHARE : DEFERRED_SHARE;
  return onTimeMs + Math.max(0, allMs - onTimeMs) / share;
}

/**
 * Decides whether a request is served on time, late, or not at all.
 *
 * Answers a load above what the bottleneck pool can serve: requests that can't be
 * answered before their deadline are refused before they use any pool.
 *
 * A return is refused only if the capacity that groups on time leave doesn't suffice
 * for an answer before its deadline; margins don't count against it.
 */
export function decideChainAdmission(
  input: ChainAdmissionInput,
): ChainAdmission {
  const { stagesMs, firstEventMs, objectiveMs, marginMs, aheadMs } = input;
  const limitMs = Math.min(input.timeoutMs, input.patienceMs ?? Infinity);
  const serviceMs = stagesMs + firstEventMs;
  const refuse = (
    reason: RefusalReason,
    expectedMs: number,
    roomMs: number,
  ): ChainAdmission => ({ kind: "refused", reason, expectedMs, roomMs });
  if (serviceMs > limitMs) {
    return refuse(REFUSAL_REASON.deadlineOutOfReach, serviceMs, 0);
  }
  if (input.isReturn) {
    const expectedMs = input.deferredWaitMs + serviceMs;
    return expectedMs > limitMs
      ? refuse(REFUSAL_REASON.busy, expectedMs, expectedMs - limitMs)
      : { kind: "deferred", expectedMs };
  }
  const onTimeMs = input.waitMs + aheadMs + serviceMs;
  const isUndelayed = input.waitMs + aheadMs === 0;
  // Idle pools can't serve a request any faster, whatever the margin.
  if (onTimeMs + marginMs <= Math.min(objectiveMs, limitMs) || isUndelayed) {
    return { kind: "onTime", expectedMs: onTimeMs };
  }
  const deferredWaitMs = Math.max(input.waitMs, input.deferredWaitMs);
  const deferredMs = deferredWaitMs + aheadMs + serviceMs;
  const overMs = deferredMs + marginMs - limitMs;
  if (overMs > 0) return refuse(REFUSAL_REASON.busy, deferredMs, overMs);
  const overTtlMs = input.heldMs - input.resultTtlMs;
  if (overTtlMs > 0) {
    return refuse(REFUSAL_REASON.resultsExpire, deferredMs, overTtlMs);
  }
  return { kind: "deferred", expectedMs: deferredMs };
}
