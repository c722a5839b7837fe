/**
 * The decider: turns events into actions.
 *
 * @module
 */
import type { RequestFacts } from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import type { DecisionAction } from "./action.ts";
import { type AdmissionRefusal, findRefusal } from "./admission.ts";
import {
  handleCallFailure,
  handleCallFinish,
  handleOverdueCall,
} from "./call_lifecycle.ts";
import type { CustomerDemand } from "./demand.ts";
import { startCalls } from "./dispatch.ts";
import type { DecisionEvent } from "./event.ts";
import {
  handleEndpointChange,
  handleEndpointRemoval,
  handleLoadReport,
  handleTick,
  handleZoneChange,
} from "./endpoint_events.ts";
import { handleHedgeTimer } from "./hedging.ts";
import {
  handleCallerGone,
  handleDeadline,
  handleRequestArrival,
  refuseLateRequest,
} from "./request_lifecycle.ts";
import { type DeciderOptions, State } from "./state.ts";
import { buildSummary, type DeciderSummary } from "./summary.ts";
import type { Timer } from "./timers.ts";

/** Input of {@link Decider.checkAdmission}. */
export interface AdmissionQuery {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Uniform in [0, 1). */
  readonly random: number;
  readonly request: RequestFacts;
}

/** Decides how to handle requests and calls; has state but performs no I/O. */
export interface Decider {
  /** Handles one event and returns the actions to execute, in order. */
  decide(event: DecisionEvent): readonly DecisionAction[];
  /** Checks whether a request would be admitted now; changes no state. */
  checkAdmission(query: AdmissionQuery): Result<void, AdmissionRefusal>;
  /** Returns gauges for metrics and status. */
  getSummary(): DeciderSummary;
  /** Returns the customers' demand at this entry, for planning slices. */
  getDemand(now: number): CustomerDemand[];
}

/**
 * Creates a decider.
 *
 * @param options Properties of this entry.
 * @example
 * ```ts
 * const decider = createDecider({ zone: "sudurland-1" });
 * for (const action of decider.decide(event)) execute(action);
 * ```
 */
export function createDecider(options: DeciderOptions = {}): Decider {
  const state = new State(options);
  return {
    decide: (event) => decideEvent(state, event),
    checkAdmission: ({ now, random, request }) => {
      const refusal = findRefusal(state, request, { now, random });
      return refusal ? Err(refusal) : Ok(undefined);
    },
    getSummary: () => buildSummary(state),
    getDemand: (now) => state.demand.getAll(now),
  };
}

function decideEvent(
  state: State,
  event: DecisionEvent,
): readonly DecisionAction[] {
  state.now = event.now;
  state.actions = [];
  if ("random" in event) state.setRandom(event.random);
  applyEvent(state, event);
  applyTimers(state);
  startCalls(state);
  return state.actions;
}

/** A plain switch, since ts-pattern would allocate per match on this hot path. */
function applyEvent(state: State, event: DecisionEvent): void {
  switch (event.kind) {
    case "request_arrived":
      return handleRequestArrival(state, event.request, event.random);
    case "call_progressed": {
      const call = state.calls.get(event.callId);
      if (call) call.hasProgressed = true;
      return;
    }
    case "call_finished": {
      const call = state.calls.get(event.callId);
      return call && handleCallFinish(state, call);
    }
    case "call_failed": {
      const call = state.calls.get(event.callId);
      return call && handleCallFailure(state, call, event.reason);
    }
    case "caller_gone": {
      const request = state.requests.get(event.requestId);
      return request && handleCallerGone(state, request);
    }
    case "load_reported":
      return handleLoadReport(state, event.report);
    case "endpoint_changed":
      return handleEndpointChange(state, event.endpoint, event.slice);
    case "endpoint_removed":
      return handleEndpointRemoval(state, event.endpointId);
    case "zones_changed":
      return handleZoneChange(state, event.zonesOut);
    case "customers_changed":
      return state.customers.update(event.customers);
    case "ticked":
      return handleTick(state);
    default:
      return expectNever(event);
  }
}

function applyTimers(state: State): void {
  for (;;) {
    const timer = state.timers.popDue(state.now);
    if (!timer) return;
    applyTimer(state, timer);
  }
}

function applyTimer(state: State, timer: Timer): void {
  switch (timer.kind) {
    case "give_up": {
      const { request, token } = timer;
      const isWaiting = request.isQueued && request.queueToken === token;
      return isWaiting ? refuseLateRequest(state, request) : undefined;
    }
    case "deadline":
      return handleDeadline(state, timer.request);
    case "overdue":
      return handleOverdueCall(state, timer.call);
    case "hedge":
      return handleHedgeTimer(state, timer.call);
    default:
      return expectNever(timer);
  }
}

function expectNever(value: never): never {
  throw new Error(`Unknown kind "${JSON.stringify(value)}"`);
}
