/**
 * Hedging: a second call for a stage whose first call takes too long.
 *
 * @module
 */
import { startCall } from "./call_lifecycle.ts";
import { pickEndpoint } from "./placement.ts";
import type { Pool } from "./pool.ts";
import type { State } from "./state.ts";
import { getStage, getStageSize, type TrackedCall } from "./tracked.ts";

/** Multiple of the 95th latency percentile, so that few calls are hedged. */
const HEDGE_DELAY_FACTOR = 1.3;
/**
 * Minimum delay of a hedge. For calls of about a millisecond the 95th and 99th
 * percentiles are closer together than the pauses of an event loop, and a
 * cancelled hedge costs its connection.
 */
const MIN_HEDGE_DELAY_MS = 25;
/** Pool utilisation above which hedges would slow down the other calls. */
const MAX_UTILISATION = 0.85;

/** Adds the timer after which a new call may be hedged. */
export function addHedgeTimer(state: State, call: TrackedCall): void {
  const stage = getStage(call.request);
  // Billable calls must not finish twice, non-repeatable ones not be sent twice.
  if (!stage.repeatable || stage.billable) return;
  const size = getStageSize(call.request.facts, call.request.stage);
  const p95Ms = state.latency.getStage(stage).getP95Ms(size);
  const delayMs = Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * p95Ms);
  state.timers.add({ kind: "hedge", at: call.startedAt + delayMs, call });
}

/**
 * Starts a second call if the first one has produced no output yet.
 *
 * This covers occasional stalled calls and the calls in progress at an endpoint
 * that becomes slow or unresponsive. The first result is used; the other call is
 * cancelled. Once output has begun to arrive, a second call would be behind.
 */
export function handleHedgeTimer(state: State, call: TrackedCall): void {
  const { request } = call;
  const isObsolete = !state.calls.has(call.callId) || call.hasProgressed ||
    request.isCallerGone || request.calls.length > 1;
  if (isObsolete) return;
  const pool = state.getPool(call.endpoint.facts.service);
  const endpoint = hasSpareCapacity(pool) && pickEndpoint(state, pool, request);
  if (endpoint && pool.hedges.tryTake()) {
    startCall(state, request, { endpoint, isHedge: true });
    return;
  }
  const at = state.now + Math.max(20, call.expectedMs / 2);
  state.timers.add({ kind: "hedge", at, call });
}

function hasSpareCapacity(pool: Pool): boolean {
  return pool.queue.length === 0 &&
    pool.inFlight < MAX_UTILISATION * pool.slots;
}
