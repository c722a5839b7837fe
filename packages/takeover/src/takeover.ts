/**
 * Whether a second endpoint takes over an answer whose endpoint is silent.
 *
 * @module
 */

/**
 * Longest time from the head of a takeover's answer until the silent endpoint is
 * cancelled, in milliseconds. It has to stop soon after the stream goes on at
 * another endpoint.
 */
export const MAX_OVERLAP_MS = 250;
/** Takeovers that endpoints may refuse before silence lasts for another timeout. */
export const MAX_REFUSALS = 3;

/** Why a silent endpoint is waited for. */
export const WAIT_REASON = {
  /** The request may run only once. */
  notRetryable: "notRetryable",
  /** As many endpoints as the route allows work on the request or did. */
  attemptsUsed: "attemptsUsed",
  /** Endpoints are suspected to crash on the request. */
  suspect: "suspect",
  /** Endpoints refused it too often since the last progress. */
  refused: "refused",
  /** No other endpoint may be used. */
  noEndpoint: "noEndpoint",
  /** The service's retry budget is used up. */
  budgetUsed: "budgetUsed",
  /** Its stage results are released, and its stages may not run again. */
  inputsReleased: "inputsReleased",
} as const;
/** A value of {@link WAIT_REASON}. */
export type WaitReason = typeof WAIT_REASON[keyof typeof WAIT_REASON];

/** What is known of a request when its endpoint is silent. */
export interface TakeoverState {
  /** Whether the request may run more than once. */
  readonly isRetryable: boolean;
  /** Attempts in which the request may have run, with the running ones. */
  readonly attempts: number;
  /** Endpoints at which the route allows the request to run. */
  readonly maxAttempts: number;
  /** Whether endpoints may crash on the request. */
  readonly isSuspect: boolean;
  /** Takeovers that endpoints refused since the last progress. */
  readonly refusals: number;
  /** Whether another endpoint may be used. */
  readonly hasEndpoint: boolean;
  /** Whether the service's retry budget allows one more send. */
  readonly isBudgetLeft: boolean;
  /** Whether the stage results that the request reads are kept. */
  readonly areInputsKept: boolean;
  /** Whether the stages of the request may run again. */
  readonly mayRerunStages: boolean;
}

/** Whether an answer is taken over. */
export type TakeoverDecision =
  | { readonly kind: "takeOver" }
  /** The stages run again first, beside the silent endpoint. */
  | { readonly kind: "rerunStages" }
  | { readonly kind: "wait"; readonly reason: WaitReason };

/**
 * Decides whether a second endpoint takes over an answer.
 *
 * @param state The request, its attempts and what is left for one more.
 * @returns `takeOver` to send the request to one more endpoint; `rerunStages` to make
 * its inputs again and to decide anew; `wait` to leave it to the silent endpoint, with
 * the first reason that holds.
 *
 * @example
 * ```ts
 * const decision = decideTakeover({ ...state, isBudgetLeft: false });
 * // { kind: "wait", reason: "budgetUsed" }
 * ```
 */
export function decideTakeover(state: TakeoverState): TakeoverDecision {
  const reason = findWaitReason(state);
  if (reason !== undefined) return { kind: "wait", reason };
  return { kind: state.areInputsKept ? "takeOver" : "rerunStages" };
}

function findWaitReason(state: TakeoverState): WaitReason | undefined {
  if (!state.isRetryable) return WAIT_REASON.notRetryable;
  if (state.attempts >= state.maxAttempts) return WAIT_REASON.attemptsUsed;
  if (state.isSuspect) return WAIT_REASON.suspect;
  if (state.refusals >= MAX_REFUSALS) return WAIT_REASON.refused;
  if (!state.hasEndpoint) return WAIT_REASON.noEndpoint;
  if (!state.isBudgetLeft) return WAIT_REASON.budgetUsed;
  const hasInputs = state.areInputsKept || state.mayRerunStages;
  return hasInputs ? undefined : WAIT_REASON.inputsReleased;
}
