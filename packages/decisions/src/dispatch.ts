/**
 * Starts calls for waiting requests while endpoints have room.
 *
 * @module
 */
import { startCall } from "./call_life.ts";
import { pickByPrefix, pickEndpoint } from "./placement.ts";
import type { QueueItem } from "./class_queue.ts";
import type { Pool } from "./pool.ts";
import { giveUpWaiting, queueStage } from "./request_life.ts";
import type { State } from "./state.ts";
import type { TrackedRequest } from "./tracked.ts";

/**
 * Requests that are passed over because no open endpoint suits them; more would
 * make one event's work grow with the queue.
 */
const MAX_PASSED_OVER = 8;

/** Requests among which one is sought that suits a cache. */
const MAX_LOOKED_AT = 16;
/** The first request is passed over while it can wait for so many calls. */
const PATIENCE_CALLS = 2;

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
    const item = takeNext(state, pool);
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

/**
 * Takes the request that goes next, or one shortly after it whose prefix is
 * cached at an endpoint that has room.
 *
 * Made for a full pool of engines: there a single slot is free at a time, and
 * it rarely belongs to the prefix of the first request, so that every cache
 * loses its prefixes just when capacity is short. The first one is not passed
 * over once its own time is short.
 */
function takeNext(state: State, pool: Pool): QueueItem | undefined {
  const first = pool.queue.pop();
  if (!first || !isPatient(state, first)) return first;
  if (pickByPrefix(pool, first.request)) return first;
  const looked = [first];
  let found: QueueItem | undefined;
  while (looked.length < MAX_LOOKED_AT && !found) {
    const item = pool.queue.pop();
    if (!item) break;
    if (isSameClass(item, first) && pickByPrefix(pool, item.request)) {
      found = item;
    } else looked.push(item);
  }
  if (!found) looked.shift();
  for (const item of looked) putBack(state, pool, item);
  return found ?? first;
}

function isPatient(state: State, item: QueueItem): boolean {
  if (item.request.facts.prefixHash === undefined) return false;
  return item.latestStart - state.now > PATIENCE_CALLS * item.workMs;
}

function isSameClass(a: QueueItem, b: QueueItem): boolean {
  return a.request.facts.requestClass === b.request.facts.requestClass;
}

function putBack(state: State, pool: Pool, item: QueueItem): void {
  const weight = state.customers.getWeight(item.request.facts.customer);
  item.request.isQueued = true;
  pool.queue.push(item, weight);
}
