/**
 * A request from arrival to its one final answer.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type { RequestFacts } from "@sardinestep/types";
import { checkAdmission } from "./admission.ts";
import type { BacklogItem } from "./backlog.ts";
import { getReturnMs } from "./return_time.ts";
import type { State } from "./state.ts";
import { releaseCall } from "./call_life.ts";
import { getStage, getStageSize, type TrackedRequest } from "./tracked.ts";

/** Lets a request in and queues its first stage, or refuses it. */
export function handleArrival(
  state: State,
  facts: RequestFacts,
  random: number,
): void {
  recordDemand(state, facts);
  const admission = checkAdmission(state, facts, { now: state.now, random });
  if (admission.isErr()) {
    recordRefusal(state, facts, facts.firstStage);
    const { requestId } = facts;
    const { code, retryAfterMs } = admission.error;
    state.actions.push({
      kind: "refuse",
      requestId,
      code,
      retryAfterMs,
      anySent: false,
    });
    return;
  }
  const request = createRequest(state, facts);
  state.requests.set(facts.requestId, request);
  state.customers.count(facts.customer, 1);
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
    tried: [],
    sentCalls: 0,
    ranCalls: 0,
    hasFinishedStage: false,
    isQueued: false,
    queueToken: 0,
    isCallerGone: false,
    isOver: false,
  };
}

/** Puts the stage that is due into its pool's queue. */
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
 * The last moment at which the stage that is due may start.
 *
 * Each stage's budget is the time that nearly all its calls stay under; later
 * stages keep theirs. A call that may not be repeated gets the longer one as
 * well: once started it is never given up, so it must not start in vain.
 */
export function getLatestStart(state: State, request: TrackedRequest): number {
  const { facts } = request;
  let latest = facts.deadlineAt;
  for (let index = request.stage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) break;
    const latency = state.latency.getStage(stage);
    const size = getStageSize(facts, index);
    const isDue = index === request.stage;
    latest -= isDue ? latency.getSafe(size) : latency.getExpected(size);
  }
  return latest;
}

/** Goes on after a finished stage. */
export function completeStage(state: State, request: TrackedRequest): void {
  changeBacklog(state, request, { stage: request.stage, change: "remove" });
  const { facts } = request;
  request.stage += 1;
  request.failedCalls = 0;
  request.tried = [];
  request.hasFinishedStage = true;
  if (request.stage >= facts.stages.length) {
    closeRequest(state, request);
    state.actions.push({ kind: "complete", requestId: facts.requestId });
    return;
  }
  if (request.isCallerGone || state.now >= facts.deadlineAt) {
    refuse(state, request, "SHED_AFTER_START");
    return;
  }
  queueStage(state, request);
}

/** Answers with a refusal or failure and cancels what still runs. */
export function refuse(
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
    retryAfterMs: getReturnMs(pool, { now, lateMs: 0, random }),
    anySent: request.sentCalls > 0,
  });
}

/**
 * Refuses a waiting request that can no longer be in time.
 *
 * Made for saturation: a request that waits on in vain takes the place of one
 * that could still be in time, and its caller learns it late.
 */
export function giveUpWaiting(state: State, request: TrackedRequest): void {
  const code = request.hasFinishedStage
    ? "SHED_AFTER_START"
    : request.sentCalls > 0
    ? "DEADLINE_EXCEEDED"
    : "DEADLINE_OUT_OF_REACH";
  refuse(state, request, code);
}

/**
 * Ends a request at its deadline.
 *
 * A call that may not be repeated goes on: its outcome would be unknown, and
 * the caller is better served by the late truth. All else is cancelled, so that
 * no worker time goes into an answer that nobody waits for.
 */
export function handleDeadline(state: State, request: TrackedRequest): void {
  if (request.isOver) return;
  if (isHeldByCall(request)) return;
  if (request.isQueued) giveUpWaiting(state, request);
  else refuse(state, request, "DEADLINE_EXCEEDED");
}

/**
 * Drops the request of a caller that has gone.
 *
 * Its calls are cancelled for the sake of those who still wait, but for a call
 * that may not be repeated, which ends first.
 */
export function handleCallerGone(state: State, request: TrackedRequest): void {
  request.isCallerGone = true;
  if (isHeldByCall(request)) return;
  closeRequest(state, request);
}

/** Whether a call runs that may not be cancelled. */
function isHeldByCall(request: TrackedRequest): boolean {
  return request.calls.length > 0 && !getStage(request).repeatable;
}

function closeRequest(state: State, request: TrackedRequest): void {
  const { facts } = request;
  request.isOver = true;
  if (request.isQueued) {
    state.getPool(getStage(request).service).queue.remove(request);
  }
  for (const call of [...request.calls]) {
    releaseCall(state, call);
    state.actions.push({ kind: "cancel_call", callId: call.callId });
  }
  for (let stage = request.stage; stage < facts.stages.length; stage++) {
    changeBacklog(state, request, { stage, change: "remove" });
  }
  state.requests.delete(facts.requestId);
  state.customers.count(facts.customer, -1);
}

function changeBacklog(
  state: State,
  request: TrackedRequest,
  options: { readonly stage: number; readonly change: "add" | "remove" },
): void {
  const { facts, workMs } = request;
  const spec = facts.stages[options.stage];
  if (!spec) return;
  const item: BacklogItem = {
    requestClass: facts.requestClass,
    customer: facts.customer,
    deadlineAt: facts.deadlineAt,
    workMs: workMs[options.stage] ?? 0,
  };
  state.getPool(spec.service).backlog[options.change](item);
}

function recordDemand(state: State, facts: RequestFacts): void {
  for (let index = facts.firstStage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) return;
    const workMs = getExpectedMs(state, facts, index);
    const { service } = stage;
    const { customer } = facts;
    state.demand.record(workMs, { service, customer, now: state.now });
  }
}

function recordRefusal(
  state: State,
  facts: RequestFacts,
  fromStage: number,
): void {
  for (let index = fromStage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) return;
    const workMs = getExpectedMs(state, facts, index);
    state.getPool(stage.service).refusals.record(workMs, state.now);
  }
}

function getExpectedMs(state: State, facts: RequestFacts, index: number) {
  const stage = facts.stages[index];
  if (!stage) return 0;
  return state.latency.getStage(stage).getExpected(getStageSize(facts, index));
}
