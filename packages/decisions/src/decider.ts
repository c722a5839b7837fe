/**
 * The decider: events in, actions out.
 *
 * @module
 */
import type { RequestFacts } from "@sardinestep/types";
import type { Result } from "ts-results-es";
import type { DecisionAction } from "./action.ts";
import { type AdmissionRefusal, checkAdmission } from "./admission.ts";
import { handleFailure, handleFinish, handleOverdue } from "./call_life.ts";
import type { CustomerDemand } from "./demand.ts";
import { startCalls } from "./dispatch.ts";
import type { DecisionEvent } from "./event.ts";
import {
  handleEndpointChange,
  handleEndpointRemoval,
  handleReport,
  handleTick,
  handleZones,
} from "./fleet.ts";
import { handleHedge } from "./hedging.ts";
import {
  giveUpWaiting,
  handleArrival,
  handleCallerGone,
  handleDeadline,
} from "./request_life.ts";
import { type DeciderOptions, State } from "./state.ts";
import { buildSummary, type DeciderSummary } from "./summary.ts";
import type { Timer } from "./timers.ts";

/** What {@link Decider.checkAdmission} is asked. */
export interface AdmissionQuestion {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Uniform in [0, 1). */
  readonly random: number;
  readonly request: RequestFacts;
}

/** Decides what is done under load; keeps its state, does nothing itself. */
export interface Decider {
  /** Takes in one event and returns what is to be done, in order. */
  decide(event: DecisionEvent): readonly DecisionAction[];
  /** Looks whether a request would be admitted now; changes nothing. */
  checkAdmission(question: AdmissionQuestion): Result<void, AdmissionRefusal>;
  /** Gives gauges for metrics and status. */
  getSummary(): DeciderSummary;
  /** Gives customers' demand here, for whoever plans the entries' slices. */
  getDemand(now: number): CustomerDemand[];
}

/**
 * Creates a decider.
 *
 * @param options Facts about this entry.
 * @example
 * ```ts
 * const decider = createDecider({ zone: "sudurland-1" });
 * for (const action of decider.decide(event)) carryOut(action);
 * ```
 */
export function createDecider(options: DeciderOptions = {}): Decider {
  const state = new State(options);
  return {
    decide: (event) => decideEvent(state, event),
    checkAdmission: ({ now, random, request }) =>
      checkAdmission(state, request, { now, random }),
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

/** A plain switch: this is the hot path, and ts-pattern allocates per match. */
function applyEvent(state: State, event: DecisionEvent): void {
  switch (event.kind) {
    case "request_arrived":
      return handleArrival(state, event.request, event.random);
    case "call_progressed": {
      const call = state.calls.get(event.callId);
      if (call) call.hasProgressed = true;
      return;
    }
    case "call_finished": {
      const call = state.calls.get(event.callId);
      return call && handleFinish(state, call);
    }
    case "call_failed": {
      const call = state.calls.get(event.callId);
      return call && handleFailure(state, call, event.reason);
    }
    case "caller_gone": {
      const request = state.requests.get(event.requestId);
      return request && handleCallerGone(state, request);
    }
    case "load_reported":
      return handleReport(state, event.report);
    case "endpoint_changed":
      return handleEndpointChange(state, event.endpoint, event.slice);
    case "endpoint_removed":
      return handleEndpointRemoval(state, event.endpointId);
    case "zones_changed":
      return handleZones(state, event.zonesOut);
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
      return isWaiting ? giveUpWaiting(state, request) : undefined;
    }
    case "deadline":
      return handleDeadline(state, timer.request);
    case "overdue":
      return handleOverdue(state, timer.call);
    case "hedge":
      return handleHedge(state, timer.call);
    default:
      return expectNever(timer);
  }
}

function expectNever(value: never): never {
  throw new Error(`Unknown kind "${JSON.stringify(value)}"`);
}
