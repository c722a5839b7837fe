/**
 * Whether a stream that lost its endpoint waits for those that refuse it.
 *
 * @module
 */

/**
 * Pause before endpoints that refused a stream are asked again, in milliseconds.
 * Callers disconnect after 2 s or later.
 */
export const RESUME_PAUSE_MS = 400;

/** What is known of a request that every endpoint refused. */
export interface RefusedRequest {
  /** Whether the caller has a part of the answer. */
  readonly hasStarted: boolean;
  /** Whether the answer may go on at another endpoint. */
  readonly isResumable: boolean;
  /** Attempts that have ended and in which the request may have run. */
  readonly attempts: number;
  /** Endpoints at which the route allows the request to run. */
  readonly maxAttempts: number;
  /** Whether there is an endpoint at which the request has not run. */
  readonly hasEndpoint: boolean;
}

/** What is done about a request that every endpoint refused. */
export type RefusalDecision =
  | { readonly kind: "giveUp" }
  /** Endpoints are asked again after a pause. */
  | { readonly kind: "pause"; readonly pauseMs: number };

/**
 * Decides what is done about a request that every endpoint refused.
 *
 * @param request The request and its attempts.
 * @returns `pause` for streams that have begun and may go on: a refusal ends with the
 * load, and a broken stream costs its caller what it has. All other requests are
 * given up, so that their callers retry elsewhere.
 *
 * @example
 * ```ts
 * const decision = decideRefused({ ...request, hasStarted: false });
 * // { kind: "giveUp" }
 * ```
 */
export function decideRefused(request: RefusedRequest): RefusalDecision {
  const { hasStarted, isResumable, attempts, maxAttempts } = request;
  const mayGoOn = hasStarted && isResumable && attempts < maxAttempts;
  return mayGoOn && request.hasEndpoint
    ? { kind: "pause", pauseMs: RESUME_PAUSE_MS }
    : { kind: "giveUp" };
}
