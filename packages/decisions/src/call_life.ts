/**
 * A call from its start to its result or failure.
 *
 * @module
 */
import type { Endpoint } from "./endpoint.ts";
import type { CallFailureKind } from "./event.ts";
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
/** Calls of one stage, so that one bad request does not visit every endpoint. */
const MAX_ATTEMPTS = 3;

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
    hasProgressed: false,
  };
  const pool = state.getPool(endpoint.facts.service);
  request.calls.push(call);
  request.attempts += 1;
  request.anySent = true;
  endpoint.calls.add(call);
  pool.inFlight += 1;
  pool.refresh(endpoint);
  state.calls.set(callId, call);
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
  request.calls = request.calls.filter((each) => each !== call);
  pool.inFlight -= 1;
  pool.refresh(endpoint);
  state.changedPools.add(pool);
}

/** Takes in the result of a call. */
export function handleFinish(state: State, call: TrackedCall): void {
  const { request } = call;
  const size = getStageSize(request.facts, request.stage);
  const latency = state.latency.getStage(getStage(request));
  latency.record(size, state.now - call.startedAt);
  releaseCall(state, call);
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
  const { request } = call;
  releaseCall(state, call);
  request.tried.push(call.endpoint.facts.endpointId);
  const stage = getStage(request);
  if (mayHaveRun(reason) && !stage.repeatable) {
    refuse(state, request, "OUTCOME_UNKNOWN");
    return;
  }
  if (request.calls.length > 0) return;
  if (!mayRetry(request)) {
    refuse(state, request, "STAGE_FAILED");
    return;
  }
  queueStage(state, request);
}

function mayRetry(request: TrackedRequest): boolean {
  return !request.isCallerGone && request.attempts < MAX_ATTEMPTS;
}

/** Whether the endpoint may have done the work in spite of the failure. */
export function mayHaveRun(reason: CallFailureKind): boolean {
  return reason !== "not_sent" && reason !== "refused";
}
