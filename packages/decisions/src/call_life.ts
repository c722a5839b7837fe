/**
 * A call from its start to its result or failure.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type { Endpoint } from "./endpoint.ts";
import type { CallFailureKind } from "./event.ts";
import { addHedgeTimer } from "./hedging.ts";
import type { Pool } from "./pool.ts";
import { completeStage, queueStage, refuse } from "./request_life.ts";
import type { State } from "./state.ts";
import {
  getStage,
  getStageSize,
  type TrackedCall,
  type TrackedRequest,
} from "./tracked.ts";

/** A repeatable call is broken off after so many times its expected time. */
const TIMEOUT_FACTOR = 6;
/** No call is broken off sooner: networks pause for about a second at times. */
const MIN_TIMEOUT_MS = 1_000;
/**
 * Breaking off a call that may not be repeated loses its outcome, so it is
 * given much longer.
 */
const MIN_SINGLE_TIMEOUT_MS = 10_000;
/** A call is overdue after so many times its expected time. */
const OVERDUE_FACTOR = 4;
/** Network and event loops add so much at times. */
const OVERDUE_SLACK_MS = 20;
/** Failures of one stage, so that a bad request does not break every endpoint. */
const MAX_FAILED_CALLS = 3;

/** Starts a call of the stage that is due. */
export function startCall(
  state: State,
  request: TrackedRequest,
  options: { readonly endpoint: Endpoint; readonly isHedge: boolean },
): void {
  const { endpoint, isHedge } = options;
  state.callCount += 1;
  const callId = `${state.callIdPrefix}${state.callCount}`;
  const call: TrackedCall = {
    callId,
    request,
    endpoint,
    startedAt: state.now,
    expectedMs: request.workMs[request.stage] ?? 0,
    isHedge,
    isProbe: endpoint.health.isProbed,
    hasProgressed: false,
  };
  const pool = state.getPool(endpoint.facts.service);
  request.calls.push(call);
  request.sentCalls += 1;
  request.ranCalls += 1;
  endpoint.calls.add(call);
  endpoint.load.recordStart(state.now);
  pool.inFlight += 1;
  pool.runningMs += call.expectedMs;
  pool.refresh(endpoint, state.now);
  state.calls.set(callId, call);
  const at = state.now + OVERDUE_FACTOR * call.expectedMs + OVERDUE_SLACK_MS;
  state.timers.add({ kind: "overdue", at, call });
  if (!isHedge) {
    pool.retries.recordCall();
    pool.hedges.recordCall();
    addHedgeTimer(state, call);
  }
  state.actions.push({
    kind: "start_call",
    callId,
    requestId: request.facts.requestId,
    stage: request.stage,
    endpointId: endpoint.facts.endpointId,
    progressTimeoutMs: getTimeoutMs(call),
    isHedge,
  });
}

function getTimeoutMs(call: TrackedCall): number {
  const isRepeatable = getStage(call.request).repeatable;
  const least = isRepeatable ? MIN_TIMEOUT_MS : MIN_SINGLE_TIMEOUT_MS;
  return Math.round(Math.max(least, TIMEOUT_FACTOR * call.expectedMs));
}

/** Forgets a call and frees its slot. */
export function releaseCall(state: State, call: TrackedCall): void {
  const { endpoint, request } = call;
  const pool = state.getPool(endpoint.facts.service);
  state.calls.delete(call.callId);
  endpoint.calls.delete(call);
  endpoint.load.recordEnd(state.now);
  request.calls = request.calls.filter((each) => each !== call);
  pool.inFlight -= 1;
  pool.runningMs = Math.max(0, pool.runningMs - call.expectedMs);
  pool.refresh(endpoint, state.now);
  state.changedPools.add(pool);
}

/** Takes in the result of a call. */
export function handleFinish(state: State, call: TrackedCall): void {
  const { request } = call;
  const size = getStageSize(request.facts, request.stage);
  const latency = state.latency.getStage(getStage(request));
  const elapsedMs = state.now - call.startedAt;
  const ratio = elapsedMs / Math.max(1, latency.getExpected(size));
  if (!call.endpoint.health.isSlow) latency.record(size, elapsedMs);
  call.endpoint.recordFinish(ratio, { elapsedMs, now: state.now });
  checkSlowness(state, call.endpoint);
  releaseCall(state, call);
  const pool = state.getPool(call.endpoint.facts.service);
  if (pool.outage.isOn) {
    pool.outage.end();
    pool.endPauses(state.now);
  }
  for (const other of [...request.calls]) {
    releaseCall(state, other);
    state.actions.push({ kind: "cancel_call", callId: other.callId });
  }
  completeStage(state, request);
}

/**
 * Takes in the failure of a call.
 *
 * A call that may not be repeated and may have run ends with an unknown
 * outcome; where nothing ran, another endpoint is tried.
 */
export function handleFailure(
  state: State,
  call: TrackedCall,
  reason: CallFailureKind,
): void {
  const { request, endpoint } = call;
  endpoint.health.recordFailure(reason, state.now);
  if (reason === "refused") endpoint.recordRefusal();
  releaseCall(state, call);
  const pool = state.getPool(endpoint.facts.service);
  if (pool.trusted === 0) {
    pool.outage.start(state.now, pool.getNominalSlots());
  }
  const hasRun = mayHaveRun(reason);
  if (reason === "not_sent") request.sentCalls -= 1;
  if (hasRun) request.failedCalls += 1;
  else request.ranCalls -= 1;
  if (hasRun && !getStage(request).repeatable) {
    refuse(state, request, "OUTCOME_UNKNOWN");
    return;
  }
  if (request.calls.length > 0) return;
  if (!mayRetry(pool, call)) {
    refuse(state, request, getFailureCode(request));
    return;
  }
  addTried(pool, call);
  queueStage(state, request);
}

/**
 * Whether the stage may be sent once more.
 *
 * A failed probe costs nothing of the budget: the pauses between probes bound
 * their number already, and the request that served as one must not pay.
 */
function mayRetry(pool: Pool, call: TrackedCall): boolean {
  const { request } = call;
  if (request.isCallerGone || request.failedCalls >= MAX_FAILED_CALLS) {
    return false;
  }
  return call.isProbe || pool.retries.mayTake();
}

/** Another endpoint comes next, until all have failed. */
function addTried(pool: Pool, call: TrackedCall): void {
  const { request, endpoint } = call;
  request.tried.push(endpoint.facts.endpointId);
  if (request.tried.length >= pool.endpoints.size) request.tried = [];
}

/** Says "not run" only where every call was proved not to have run. */
function getFailureCode(request: TrackedRequest): CodeName {
  if (request.sentCalls === 0) return "STAGE_UNAVAILABLE";
  return request.ranCalls === 0 ? "STAGE_REFUSED" : "STAGE_FAILED";
}

function checkSlowness(state: State, endpoint: Endpoint): void {
  if (!endpoint.health.hasBecomeSlow()) return;
  const pool = state.getPool(endpoint.facts.service);
  if (pool.maySetSlow()) endpoint.health.setSlow(state.now);
}

/**
 * Shuts an endpoint out while its call is overdue and nothing else finishes.
 *
 * Made for stragglers and silent endpoints: their calls have no result yet that
 * would show it, and being idle they look best. Results that came meanwhile
 * prove that the one call is to blame and not the endpoint.
 */
export function handleOverdue(state: State, call: TrackedCall): void {
  if (!state.calls.has(call.callId)) return;
  const { endpoint } = call;
  const since = Math.max(call.startedAt, endpoint.health.lastFinishAt);
  const at = since + OVERDUE_FACTOR * call.expectedMs + OVERDUE_SLACK_MS;
  if (state.now < at) {
    state.timers.add({ kind: "overdue", at, call });
    return;
  }
  const pool = state.getPool(endpoint.facts.service);
  if (!pool.maySetSlow()) return;
  endpoint.health.isOverdue = true;
  pool.refresh(endpoint, state.now);
}

/** Whether the endpoint may have done the work in spite of the failure. */
export function mayHaveRun(reason: CallFailureKind): boolean {
  return reason !== "not_sent" && reason !== "refused";
}
