/**
 * Life cycle of a request, from its arrival to its single final answer.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type { RequestFacts } from "@sardinestep/types";
import { findRefusal } from "./admission.ts";
import {
  changeBacklog,
  getExpectedMs,
  recordDemand,
  recordRefusal,
} from "./request_work.ts";
import { getRetryAfterMs } from "./retry_after.ts";
import type { State } from "./state.ts";
import { cancelCall } from "./call_lifecycle.ts";
import { getStage, getStageSize, type TrackedRequest } from "./tracked.ts";

/** Admits a request and queues its first stage, or refuses it. */
export function handleRequestArrival(
  state: State,
  facts: RequestFacts,
  random: number,
): void {
  recordDemand(state, facts);
  const refusal = findRefusal(state, facts, { now: state.now, random });
  if (refusal) {
    recordRefusal(state, facts, facts.firstStage);
    const { requestId } = facts;
    state.actions.push({
      kind: "refuse",
      requestId,
      ...refusal,
      hasSentCall: false,
    });
    return;
  }
  const request = createRequest(state, facts);
  state.requests.set(facts.requestId, request);
  state.customers.countRequest(facts.customer, 1);
  for (let stage = facts.firstStage; stage < facts.stages.length; stage++) {
    changeBacklog(state, request, { stage, change: "add" });
  }
  state.timers.add({ kind: "deadline", at: facts.deadlineAt, request });
  queueStage(state, request);
}

function createRequest(state: State, facts: RequestFacts): TrackedRequest {
  return {
    facts,
    workMs: facts.stages.map((_, index) => getExpectedMs(state, facts, index)),
    stage: facts.firstStage,
    calls: [],
    failedCalls: 0,
    excluded: [],
    sentCalls: 0,
    possiblyRunCalls: 0,
    hasFinishedStage: false,
    isQueued: false,
    queueToken: 0,
    isCallerGone: false,
    isFinished: false,
  };
}

/** Adds the current stage of a request to the queue of its pool. */
export function queueStage(state: State, request: TrackedRequest): void {
  const { facts } = request;
  const pool = state.getPool(getStage(request).service);
  const latestStart = getLatestStart(state, request);
  request.isQueued = true;
  request.queueToken += 1;
  const item = {
    request,
    token: request.queueToken,
    latestStart,
    workMs: request.workMs[request.stage] ?? 0,
  };
  pool.queue.push(item, state.customers.getWeight(facts.customer));
  state.timers.add({
    kind: "give_up",
    at: latestStart,
    request,
    token: request.queueToken,
  });
  state.changedPools.add(pool);
}

/**
 * Returns the latest time at which the current stage may start.
 *
 * Reserves the 95th percentile of the latency for the current stage and the
 * mean for each later one, also for a call that may not be repeated: it is never
 * cancelled once started, so it must not start in vain.
 */
export function getLatestStart(state: State, request: TrackedRequest): number {
  const { facts } = request;
  let latest = facts.deadlineAt;
  for (let index = request.stage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) break;
    const latency = state.latency.getStage(stage);
    const size = getStageSize(facts, index);
    const isCurrent = index === request.stage;
    latest -= isCurrent ? latency.getP95Ms(size) : latency.getMeanMs(size);
  }
  return latest;
}

/** Queues the next stage after a finished one, or ends the request. */
export function completeStage(state: State, request: TrackedRequest): void {
  changeBacklog(state, request, { stage: request.stage, change: "remove" });
  const { facts } = request;
  request.stage += 1;
  request.failedCalls = 0;
  request.excluded = [];
  request.hasFinishedStage = true;
  if (request.stage >= facts.stages.length) {
    closeRequest(state, request);
    state.actions.push({ kind: "complete", requestId: facts.requestId });
    return;
  }
  if (request.isCallerGone || state.now >= facts.deadlineAt) {
    refuseRequest(state, request, "SHED_AFTER_START");
    return;
  }
  queueStage(state, request);
}

/** Answers with a refusal or failure and cancels the running calls. */
export function refuseRequest(
  state: State,
  request: TrackedRequest,
  code: CodeName,
): void {
  const pool = request.stage < request.facts.stages.length
    ? state.getPool(getStage(request).service)
    : undefined;
  recordRefusal(state, request.facts, request.stage);
  closeRequest(state, request);
  const { now } = state;
  const random = state.getRandom();
  state.actions.push({
    kind: "refuse",
    requestId: request.facts.requestId,
    code,
    retryAfterMs: getRetryAfterMs(pool, { now, lateMs: 0, random }),
    hasSentCall: request.sentCalls > 0,
  });
}

/**
 * Refuses a waiting request that can no longer meet its deadline.
 *
 * Under saturation, such a request would take the place of one that can still
 * be in time, and its caller would be answered late.
 */
export function refuseLateRequest(state: State, request: TrackedRequest): void {
  const code = request.hasFinishedStage
    ? "SHED_AFTER_START"
    : request.sentCalls > 0
    ? "DEADLINE_EXCEEDED"
    : "DEADLINE_OUT_OF_REACH";
  refuseRequest(state, request, code);
}

/**
 * Ends a request at its deadline.
 *
 * A call that may not be repeated continues: if it were cancelled its outcome
 * would be unknown, and a late result is more useful to the caller. Other calls
 * are cancelled, so that no worker time is spent on an unwanted answer.
 */
export function handleDeadline(state: State, request: TrackedRequest): void {
  if (request.isFinished) return;
  if (hasNonRepeatableCall(request)) return;
  if (request.isQueued) refuseLateRequest(state, request);
  else refuseRequest(state, request, "DEADLINE_EXCEEDED");
}

/**
 * Closes the request of a caller that has disconnected.
 *
 * Its calls are cancelled to free capacity for other requests, but a call that
 * may not be repeated finishes first.
 */
export function handleCallerGone(state: State, request: TrackedRequest): void {
  request.isCallerGone = true;
  if (hasNonRepeatableCall(request)) return;
  closeRequest(state, request);
}

/** Returns whether a call is running that may not be cancelled. */
function hasNonRepeatableCall(request: TrackedRequest): boolean {
  return request.calls.length > 0 && !getStage(request).repeatable;
}

function closeRequest(state: State, request: TrackedRequest): void {
  const { facts } = request;
  request.isFinished = true;
  if (request.isQueued) {
    state.getPool(getStage(request).service).queue.remove(request);
  }
  for (const call of [...request.calls]) cancelCall(state, call);
  for (let stage = request.stage; stage < facts.stages.length; stage++) {
    changeBacklog(state, request, { stage, change: "remove" });
  }
  state.requests.delete(facts.requestId);
  state.customers.countRequest(facts.customer, -1);
}
