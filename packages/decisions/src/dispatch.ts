/**
 * Starts calls for waiting requests while endpoints have room.
 *
 * @module
 */
import { startCall } from "./call_life.ts";
import { pickEndpoint } from "./placement.ts";
import type { Pool } from "./pool.ts";
import { giveUpWaiting, queueStage } from "./request_life.ts";
import type { State } from "./state.ts";
import type { TrackedRequest } from "./tracked.ts";

/**
 * Requests that are passed over because no open endpoint suits them; more would
 * make one event's work grow with the queue.
 */
const MAX_PASSED_OVER = 8;

/** Starts what can be started in every pool that has changed. */
export function startCalls(state: State): void {
  for (const pool of state.changedPools) {
    state.changedPools.delete(pool);
    startCallsOfPool(state, pool);
  }
}

function startCallsOfPool(state: State, pool: Pool): void {
  const passedOver: TrackedRequest[] = [];
  while (pool.open.length > 0 && passedOver.length < MAX_PASSED_OVER) {
    const item = pool.queue.pop();
    if (!item) break;
    if (state.now > item.latestStart) {
      giveUpWaiting(state, item.request);
      continue;
    }
    const endpoint = pickEndpoint(state, pool, item.request);
    if (endpoint) {
      pool.queue.charge(item);
      startCall(state, item.request, { endpoint, isHedge: false });
    } else passedOver.push(item.request);
  }
  for (const request of passedOver) queueStage(state, request);
  if (passedOver.length > 0) state.changedPools.delete(pool);
}
