/**
 * Second calls for stages that take too long.
 *
 * @module
 */
import { startCall } from "./call_life.ts";
import { pickEndpoint } from "./placement.ts";
import type { Pool } from "./pool.ts";
import type { State } from "./state.ts";
import { getStage, getStageSize, type TrackedCall } from "./tracked.ts";

/** Beyond the time that 95% of calls stay under, so that few are hedged. */
const DELAY_FACTOR = 1.3;
/**
 * No hedge sooner, in milliseconds. With calls of a millisecond, 95% and 99% lie
 * closer together than the pauses of an event loop, and a hedge that is cancelled
 * costs its connection.
 */
const MIN_DELAY_MS = 25;
/** Hedges need room: in a full pool they would slow down everybody. */
const MAX_FILL = 0.85;

/** Sets the moment at which a new call is looked at again. */
export function addHedgeTimer(state: State, call: TrackedCall): void {
  const stage = getStage(call.request);
  // A billable call must not be finished twice; a single one not sent twice.
  if (!stage.repeatable || stage.billable) return;
  const size = getStageSize(call.request.facts, call.request.stage);
  const safeMs = state.latency.getStage(stage).getSafe(size);
  const delayMs = Math.max(MIN_DELAY_MS, DELAY_FACTOR * safeMs);
  state.timers.add({ kind: "hedge", at: call.startedAt + delayMs, call });
}

/**
 * Starts a second call if the first is still without any output.
 *
 * Made for single calls that stall and for the calls that a straggler or a
 * silent endpoint holds when it turns so. The first result wins and the other
 * call is cancelled. Once output has begun to arrive a second call would be
 * behind from the start.
 */
export function handleHedge(state: State, call: TrackedCall): void {
  const { request } = call;
  const isPointless = !state.calls.has(call.callId) || call.hasProgressed ||
    request.isCallerGone || request.calls.length > 1;
  if (isPointless) return;
  const pool = state.getPool(call.endpoint.facts.service);
  const endpoint = hasRoom(pool) && pickEndpoint(state, pool, request);
  if (endpoint && pool.hedges.mayTake()) {
    startCall(state, request, { endpoint, isHedge: true });
    return;
  }
  const at = state.now + Math.max(20, call.expectedMs / 2);
  state.timers.add({ kind: "hedge", at, call });
}

function hasRoom(pool: Pool): boolean {
  return pool.queue.length === 0 && pool.inFlight < MAX_FILL * pool.slots;
}
