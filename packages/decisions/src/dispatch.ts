/**
 * Starts calls for waiting requests while endpoints have free slots.
 *
 * @module
 */
import { startCall } from "./call_lifecycle.ts";
import { pickByPrefix, pickEndpoint } from "./placement.ts";
import type { QueueItem } from "./class_queue.ts";
import type { Pool } from "./pool.ts";
import { queueStage, refuseLateRequest } from "./request_lifecycle.ts";
import type { State } from "./state.ts";
import type { TrackedRequest } from "./tracked.ts";

/**
 * Limit on requests popped per event for which no available endpoint is
 * suitable, so that the cost of an event does not grow with the queue.
 */
const MAX_UNPLACED_REQUESTS = 8;

/** Requests searched for one whose prefix is cached at a free endpoint. */
const MAX_SEARCHED_REQUESTS = 16;
/**
 * The first request may be skipped while the time until its latest start exceeds
 * this multiple of its expected time.
 */
const MIN_SLACK_FACTOR = 2;

/** Starts all possible calls in the pools changed since the last event. */
export function startCalls(state: State): void {
  for (const pool of state.changedPools) {
    state.changedPools.delete(pool);
    startCallsOfPool(state, pool);
  }
}

function startCallsOfPool(state: State, pool: Pool): void {
  const unplaced: TrackedRequest[] = [];
  while (pool.available.length > 0 && unplaced.length < MAX_UNPLACED_REQUESTS) {
    const item = popNext(state, pool);
    if (!item) break;
    if (state.now > item.latestStart) {
      refuseLateRequest(state, item.request);
      continue;
    }
    const endpoint = pickEndpoint(state, pool, item.request);
    if (endpoint) {
      pool.queue.recordServed(item);
      startCall(state, item.request, { endpoint, isHedge: false });
    } else unplaced.push(item.request);
  }
  for (const request of unplaced) queueStage(state, request);
  if (unplaced.length > 0) state.changedPools.delete(pool);
}

/**
 * Pops the next request, or a following one whose prefix is cached at an
 * endpoint with a free slot.
 *
 * In a full pool of engines only one slot is free at a time, and it rarely
 * belongs to an endpoint that caches the prefix of the first request. In strict
 * order every cache would lose its prefixes just when capacity is short. The
 * first request is not skipped once its slack is short.
 */
function popNext(state: State, pool: Pool): QueueItem | undefined {
  const first = pool.queue.pop();
  if (!first || !hasSlack(state, first)) return first;
  if (pickByPrefix(pool, first.request, state.now)) return first;
  const skipped = [first];
  let found: QueueItem | undefined;
  while (skipped.length < MAX_SEARCHED_REQUESTS && !found) {
    const item = pool.queue.pop();
    if (!item) break;
    if (
      isSameClass(item, first) && pickByPrefix(pool, item.request, state.now)
    ) {
      found = item;
    } else skipped.push(item);
  }
  if (!found) skipped.shift();
  for (const item of skipped) requeue(state, pool, item);
  return found ?? first;
}

function hasSlack(state: State, item: QueueItem): boolean {
  if (item.request.facts.prefixHash === undefined) return false;
  return item.latestStart - state.now > MIN_SLACK_FACTOR * item.workMs;
}

function isSameClass(a: QueueItem, b: QueueItem): boolean {
  return a.request.facts.requestClass === b.request.facts.requestClass;
}

function requeue(state: State, pool: Pool, item: QueueItem): void {
  const weight = state.customers.getWeight(item.request.facts.customer);
  item.request.isQueued = true;
  pool.queue.push(item, weight);
}
