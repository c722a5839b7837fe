/**
 * The decider: events in, actions out.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type {
  CallId,
  EndpointFacts,
  EndpointId,
  RequestFacts,
  RequestId,
  ZoneId,
} from "@sardinestep/types";
import { Err, Ok, type Result } from "ts-results-es";
import { match } from "ts-pattern";
import type { DecisionAction } from "./action.ts";
import type { CallFailureKind, DecisionEvent } from "./event.ts";

/** What a decider is made with. */
export interface DeciderOptions {
  /** Begins every call id, so that ids of several entries differ. */
  readonly callIdPrefix?: string;
  /** The failure domain of this entry, which is used first. */
  readonly zone?: ZoneId;
}

/** What {@link Decider.checkAdmission} is asked. */
export interface AdmissionQuestion {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Uniform in [0, 1). */
  readonly random: number;
  readonly request: RequestFacts;
}

/** A refusal before anything was sent. */
export interface AdmissionRefusal {
  readonly code: CodeName;
  /** When the caller should come back, in milliseconds from now. */
  readonly retryAfterMs: number;
}

/** Gauges for metrics and status. */
export interface DeciderSummary {
  /** Requests waiting for an endpoint, by class. */
  readonly queueLengths: Readonly<Record<string, number>>;
  readonly endpoints: readonly EndpointSummary[];
}

/** Gauges of one endpoint. */
export interface EndpointSummary {
  readonly endpointId: EndpointId;
  /** Calls of this entry that run there. */
  readonly inFlight: number;
  /** Calls at once that this entry allows itself there. */
  readonly limit: number;
  /** Learned time of a call, in milliseconds. */
  readonly latencyMs: number;
}

/** Decides what is done under load; holds its state, does nothing itself. */
export interface Decider {
  /** Takes in one event and returns what is to be done, in order. */
  decide(event: DecisionEvent): readonly DecisionAction[];
  /** Looks whether a request would be admitted now; changes nothing. */
  checkAdmission(
    question: AdmissionQuestion,
  ): Result<void, AdmissionRefusal>;
  /** Gives gauges for metrics and status. */
  getSummary(): DeciderSummary;
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
  return new SimpleDecider(options);
}

/** A call is broken off when nothing arrived for so long. */
const PROGRESS_TIMEOUT_MS = 10_000;
/** Sends of one stage; more would be a retry storm. */
const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;

interface Endpoint {
  facts: EndpointFacts;
  slice: number;
  inFlight: number;
}

interface Running {
  readonly facts: RequestFacts;
  stage: number;
  attempts: number;
  anySent: boolean;
  anyFinished: boolean;
  callId: CallId | undefined;
  readonly tried: Set<EndpointId>;
}

interface Call {
  readonly request: Running;
  readonly endpoint: Endpoint;
}

class SimpleDecider implements Decider {
  readonly #prefix: string;
  readonly #endpoints = new Map<EndpointId, Endpoint>();
  readonly #requests = new Map<RequestId, Running>();
  readonly #calls = new Map<CallId, Call>();
  #queue: Running[] = [];
  #zonesOut = new Set<ZoneId>();
  #callCount = 0;

  constructor(options: DeciderOptions) {
    this.#prefix = options.callIdPrefix ?? "call-";
  }

  decide(event: DecisionEvent): readonly DecisionAction[] {
    const actions: DecisionAction[] = [];
    match(event)
      .with({ kind: "request_arrived" }, (e) => this.#handleArrival(e, actions))
      .with({ kind: "call_progressed" }, () => {})
      .with({ kind: "call_finished" }, (e) => this.#handleFinish(e, actions))
      .with({ kind: "call_failed" }, (e) => this.#handleFailure(e, actions))
      .with({ kind: "caller_gone" }, (e) => this.#handleGone(e, actions))
      .with({ kind: "load_reported" }, () => {})
      .with({ kind: "endpoint_changed" }, (e) => {
        const known = this.#endpoints.get(e.endpoint.endpointId);
        if (known) Object.assign(known, { facts: e.endpoint, slice: e.slice });
        else {
          this.#endpoints.set(e.endpoint.endpointId, {
            facts: e.endpoint,
            slice: e.slice,
            inFlight: 0,
          });
        }
      })
      .with(
        { kind: "endpoint_removed" },
        (e) => this.#endpoints.delete(e.endpointId),
      )
      .with({ kind: "zones_changed" }, (e) => {
        this.#zonesOut = new Set(e.zonesOut);
      })
      .with({ kind: "customers_changed" }, () => {})
      .with({ kind: "ticked" }, () => {})
      .exhaustive();
    this.#startCalls(event.now, actions);
    return actions;
  }

  checkAdmission(question: AdmissionQuestion): Result<void, AdmissionRefusal> {
    if (question.now < question.request.deadlineAt) return Ok(undefined);
    return Err({ code: "DEADLINE_OUT_OF_REACH", retryAfterMs: RETRY_AFTER_MS });
  }

  getSummary(): DeciderSummary {
    const queueLengths: Record<string, number> = {};
    for (const { facts } of this.#queue) {
      queueLengths[facts.requestClass] =
        (queueLengths[facts.requestClass] ?? 0) + 1;
    }
    const endpoints = [...this.#endpoints.values()].map((endpoint) => ({
      endpointId: endpoint.facts.endpointId,
      inFlight: endpoint.inFlight,
      limit: endpoint.slice,
      latencyMs: 0,
    }));
    return { queueLengths, endpoints };
  }

  #handleArrival(
    event: Extract<DecisionEvent, { kind: "request_arrived" }>,
    actions: DecisionAction[],
  ): void {
    const facts = event.request;
    const refusal = this.checkAdmission(event);
    if (refusal.isErr()) {
      actions.push({
        kind: "refuse",
        requestId: facts.requestId,
        ...refusal.error,
        anySent: false,
      });
      return;
    }
    const request: Running = {
      facts,
      stage: facts.firstStage,
      attempts: 0,
      anySent: false,
      anyFinished: false,
      callId: undefined,
      tried: new Set(),
    };
    this.#requests.set(facts.requestId, request);
    this.#queue.push(request);
  }

  #handleFinish(
    event: Extract<DecisionEvent, { kind: "call_finished" }>,
    actions: DecisionAction[],
  ): void {
    const request = this.#releaseCall(event.callId);
    if (!request) return;
    request.stage += 1;
    request.attempts = 0;
    request.anyFinished = true;
    request.tried.clear();
    if (request.stage < request.facts.stages.length) {
      this.#queue.push(request);
      return;
    }
    this.#requests.delete(request.facts.requestId);
    actions.push({ kind: "complete", requestId: request.facts.requestId });
  }

  #handleFailure(
    event: Extract<DecisionEvent, { kind: "call_failed" }>,
    actions: DecisionAction[],
  ): void {
    const endpointId = this.#calls.get(event.callId)?.endpoint.facts.endpointId;
    const request = this.#releaseCall(event.callId);
    if (!request || endpointId === undefined) return;
    const stage = request.facts.stages[request.stage];
    if (mayHaveRun(event.reason) && stage && !stage.repeatable) {
      this.#refuse(request, "OUTCOME_UNKNOWN", actions);
      return;
    }
    if (request.attempts >= MAX_ATTEMPTS) {
      this.#refuse(request, "STAGE_FAILED", actions);
      return;
    }
    request.tried.add(endpointId);
    this.#queue.push(request);
  }

  #handleGone(
    event: Extract<DecisionEvent, { kind: "caller_gone" }>,
    actions: DecisionAction[],
  ): void {
    const request = this.#requests.get(event.requestId);
    if (!request) return;
    const stage = request.facts.stages[request.stage];
    // A started call that may not be repeated is never cancelled.
    if (request.callId !== undefined && !stage?.repeatable) return;
    this.#queue = this.#queue.filter((waiting) => waiting !== request);
    this.#requests.delete(event.requestId);
    if (request.callId === undefined) return;
    actions.push({ kind: "cancel_call", callId: request.callId });
    this.#releaseCall(request.callId);
  }

  #startCalls(now: number, actions: DecisionAction[]): void {
    const waiting = this.#queue;
    this.#queue = [];
    for (const request of waiting) {
      if (now >= request.facts.deadlineAt) {
        const code = request.anySent
          ? "DEADLINE_EXCEEDED"
          : "DEADLINE_OUT_OF_REACH";
        this.#refuse(request, code, actions);
        continue;
      }
      const endpoint = this.#findEndpoint(request);
      if (endpoint) this.#startCall(request, endpoint, actions);
      else this.#queue.push(request);
    }
  }

  #findEndpoint(request: Running): Endpoint | undefined {
    const service = request.facts.stages[request.stage]?.service;
    let best: Endpoint | undefined;
    for (const endpoint of this.#endpoints.values()) {
      const { facts } = endpoint;
      if (facts.service !== service) continue;
      if (!mayTakeWork(facts) || this.#zonesOut.has(facts.zone)) continue;
      if (request.tried.has(facts.endpointId)) continue;
      if (endpoint.inFlight >= endpoint.slice) continue;
      if (!best || endpoint.inFlight < best.inFlight) best = endpoint;
    }
    return best;
  }

  #startCall(
    request: Running,
    endpoint: Endpoint,
    actions: DecisionAction[],
  ): void {
    this.#callCount += 1;
    const callId = `${this.#prefix}${this.#callCount}`;
    endpoint.inFlight += 1;
    request.attempts += 1;
    request.anySent = true;
    request.callId = callId;
    this.#calls.set(callId, { request, endpoint });
    actions.push({
      kind: "start_call",
      callId,
      requestId: request.facts.requestId,
      stage: request.stage,
      endpointId: endpoint.facts.endpointId,
      progressTimeoutMs: PROGRESS_TIMEOUT_MS,
      isHedge: false,
    });
  }

  #releaseCall(callId: CallId): Running | undefined {
    const call = this.#calls.get(callId);
    if (!call) return undefined;
    this.#calls.delete(callId);
    call.endpoint.inFlight -= 1;
    call.request.callId = undefined;
    return call.request;
  }

  #refuse(
    request: Running,
    code: CodeName,
    actions: DecisionAction[],
  ): void {
    const { requestId } = request.facts;
    this.#requests.delete(requestId);
    actions.push({
      kind: "refuse",
      requestId,
      code,
      retryAfterMs: RETRY_AFTER_MS,
      anySent: request.anySent,
    });
  }
}

function mayHaveRun(reason: CallFailureKind): boolean {
  return reason !== "not_sent" && reason !== "refused";
}

function mayTakeWork(facts: EndpointFacts): boolean {
  return facts.state === "cold" || facts.state === "warming" ||
    facts.state === "warm";
}
