/**
 * Life cycle of a call, from its start to its result or failure.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type { Endpoint } from "./endpoint.ts";
import type { CallFailureKind } from "./event.ts";
import { addHedgeTimer } from "./hedging.ts";
import type { Pool } from "./pool.ts";
import {
  completeStage,
  queueStage,
  refuseRequest,
} from "./request_lifecycle.ts";
import type { State } from "./state.ts";
import {
  getStage,
  getStageSize,
  type TrackedCall,
  type TrackedRequest,
} from "./tracked.ts";

/** Multiple of the expected time after which a call is aborted. */
const TIMEOUT_FACTOR = 6;
/** Minimum timeout: networks occasionally stall for about a second. */
const MIN_TIMEOUT_MS = 1_000;
/**
 * Minimum timeout of a call that may not be repeated; much longer, because its
 * outcome is unknown once it is aborted.
 */
const MIN_NON_REPEATABLE_TIMEOUT_MS = 10_000;
/** Multiple of the expected time after which a call is overdue. */
const OVERDUE_FACTOR = 4;
/** Extra time allowed for delays of the network and of event loops. */
const OVERDUE_SLACK_MS = 20;
/** Keeps a harmful request from breaking every endpoint. */
const MAX_FAILED_CALLS_PER_STAGE = 3;

/** Starts a call for the current stage of a request. */
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
    isProbe: endpoint.health.isOnProbation,
    hasProgressed: false,
  };
  const pool = state.getPool(endpoint.facts.service);
  request.calls.push(call);
  request.sentCalls += 1;
  request.possiblyRunCalls += 1;
  endpoint.calls.add(call);
  endpoint.reportedLoad.recordStart(state.now);
  pool.inFlight += 1;
  pool.inFlightWorkMs += call.expectedMs;
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
  const minTimeoutMs = isRepeatable
    ? MIN_TIMEOUT_MS
    : MIN_NON_REPEATABLE_TIMEOUT_MS;
  return Math.round(Math.max(minTimeoutMs, TIMEOUT_FACTOR * call.expectedMs));
}

/** Removes a call from the state and frees its slot. */
export function releaseCall(state: State, call: TrackedCall): void {
  const { endpoint, request } = call;
  const pool = state.getPool(endpoint.facts.service);
  state.calls.delete(call.callId);
  endpoint.calls.delete(call);
  endpoint.reportedLoad.recordEnd(state.now);
  request.calls = request.calls.filter((running) => running !== call);
  pool.inFlight -= 1;
  pool.inFlightWorkMs = Math.max(0, pool.inFlightWorkMs - call.expectedMs);
  pool.refresh(endpoint, state.now);
  state.changedPools.add(pool);
}

/**
 * Cancels a call.
 *
 * When the last overdue call of an endpoint is cancelled, no result can show that
 * the endpoint works. Unless this is recorded, it would stay excluded permanently.
 */
export function cancelCall(state: State, call: TrackedCall): void {
  const { endpoint, callId } = call;
  endpoint.calls.delete(call);
  if (endpoint.health.isStalled && endpoint.inFlight === 0) {
    endpoint.health.recordOverdueCancel(state.now);
  }
  releaseCall(state, call);
  state.actions.push({ kind: "cancel_call", callId });
}

/** Handles the result of a call. */
export function handleCallFinish(state: State, call: TrackedCall): void {
  const { request } = call;
  const size = getStageSize(request.facts, request.stage);
  const latency = state.latency.getStage(getStage(request));
  const elapsedMs = state.now - call.startedAt;
  const ratio = elapsedMs / Math.max(1, latency.getMeanMs(size));
  if (!call.endpoint.health.isSlow) latency.record(size, elapsedMs);
  call.endpoint.recordFinish(ratio, { elapsedMs, now: state.now });
  updateSlowState(state, call.endpoint);
  const pool = state.getPool(call.endpoint.facts.service);
  const hadOutage = pool.outage.isActive;
  releaseCall(state, call);
  if (hadOutage) {
    pool.outage.end();
    pool.endPauses(state.now);
  }
  for (const otherCall of [...request.calls]) cancelCall(state, otherCall);
  completeStage(state, request);
}

/**
 * Handles the failure of a call.
 *
 * The request fails with an unknown outcome if the call may have run and may
 * not be repeated; otherwise another endpoint is tried, within limits.
 */
export function handleCallFailure(
  state: State,
  call: TrackedCall,
  reason: CallFailureKind,
): void {
  const { request, endpoint } = call;
  endpoint.health.recordFailure(reason, state.now);
  if (reason === "refused") endpoint.recordRefusal();
  releaseCall(state, call);
  const pool = state.getPool(endpoint.facts.service);
  if (pool.healthy === 0) {
    pool.outage.start(state.now, pool.getNominalSlots());
  }
  const possiblyRan = mayHaveRun(reason);
  if (reason === "not_sent") request.sentCalls -= 1;
  if (possiblyRan) request.failedCalls += 1;
  else request.possiblyRunCalls -= 1;
  if (possiblyRan && !getStage(request).repeatable) {
    refuseRequest(state, request, "OUTCOME_UNKNOWN");
    return;
  }
  if (request.calls.length > 0) return;
  if (!mayRetry(pool, call)) {
    refuseRequest(state, request, getFailureCode(request));
    return;
  }
  excludeEndpoint(pool, call);
  queueStage(state, request);
}

/**
 * Returns whether the stage may be retried.
 *
 * A failed probe does not use the retry budget: the pauses between probes limit
 * their number, and the request used as a probe must not suffer for it.
 */
function mayRetry(pool: Pool, call: TrackedCall): boolean {
  const { request } = call;
  if (
    request.isCallerGone || request.failedCalls >= MAX_FAILED_CALLS_PER_STAGE
  ) {
    return false;
  }
  return call.isProbe || pool.retries.tryTake();
}

/** Excludes the endpoint from retries until all endpoints have failed. */
function excludeEndpoint(pool: Pool, call: TrackedCall): void {
  const { request, endpoint } = call;
  request.excluded.push(endpoint.facts.endpointId);
  if (request.excluded.length >= pool.endpoints.size) request.excluded = [];
}

/** Returns a "not run" code only if every call provably did not run. */
function getFailureCode(request: TrackedRequest): CodeName {
  if (request.sentCalls === 0) return "STAGE_UNAVAILABLE";
  return request.possiblyRunCalls === 0 ? "STAGE_REFUSED" : "STAGE_FAILED";
}

function updateSlowState(state: State, endpoint: Endpoint): void {
  if (!endpoint.health.hasBecomeSlow()) return;
  const pool = state.getPool(endpoint.facts.service);
  if (pool.mayExcludeSlow()) endpoint.health.markSlow(state.now);
}

/**
 * Excludes an endpoint while one of its calls is overdue and no other finishes.
 *
 * The calls of a straggler or unresponsive endpoint have no result yet that would
 * show its state, and placement prefers it because it is idle. If other calls
 * have finished meanwhile, the call is slow and not the endpoint.
 */
export function handleOverdueCall(state: State, call: TrackedCall): void {
  if (!state.calls.has(call.callId)) return;
  const { endpoint } = call;
  const lastActivityAt = Math.max(
    call.startedAt,
    endpoint.health.lastNormalFinishAt,
  );
  const at = lastActivityAt + OVERDUE_FACTOR * call.expectedMs +
    OVERDUE_SLACK_MS;
  if (state.now < at) {
    state.timers.add({ kind: "overdue", at, call });
    return;
  }
  const pool = state.getPool(endpoint.facts.service);
  if (!pool.mayExcludeSlow()) return;
  endpoint.health.isStalled = true;
  pool.refresh(endpoint, state.now);
}

/** Returns whether the endpoint may have run the call despite the failure. */
export function mayHaveRun(reason: CallFailureKind): boolean {
  return reason !== "not_sent" && reason !== "refused";
}
