/**
 * Runs a scenario against one policy, without sockets and in stepped time.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import * as decisions from "@sardinestep/decisions";
import type {
  CallFailureKind,
  Decider,
  DecisionAction,
  DecisionEvent,
} from "@sardinestep/decisions";
import { match } from "ts-pattern";
import { buildArrivals, type SimRequest } from "./arrivals.ts";
import { EventQueue } from "./event_queue.ts";
import {
  buildOutcome,
  type RequestRecord,
  type RunOutcome,
} from "./outcome.ts";
import { createRandom } from "./random.ts";
import type { Fault, Scenario, SimEndpointSpec } from "./scenario.ts";
import { type SimCall, SimEndpoint } from "./sim_endpoint.ts";

/** Makes the decider of one entry. */
export type PolicyFactory = (options: PolicyOptions) => Decider;

/** What a policy knows of the entry that it decides for. */
export interface PolicyOptions {
  readonly zone: string;
  readonly entry: number;
}

/** Time between ticks of each decider. */
const TICK_MS = 20;
/** One way inside a zone and between zones. */
const NEAR_MS = 0.3;
const FAR_MS = 1.3;
/** How long news of an endpoint's state takes to all entries. */
const ANNOUNCE_LAG_MS = 200;
/** How long it takes when the endpoint itself says nothing. */
const UNANNOUNCED_LAG_MS = 1_000;
/** How long an endpoint that fell over is down. */
const RESTART_MS = 3_000;
/** A stalled call takes so many times its time. */
const STALL_FACTOR = 10;
/** Share of a streamed call after which its first part arrives. */
const FIRST_PART = 0.2;
/** Time between plans of slices. */
const SLICE_PLAN_MS = 1_000;
const GOLDEN_RATIO = 0.618033988749895;
/** The run goes on after the last arrival until everything is answered. */
const DRAIN_MS = 60_000;

interface OpenCall {
  readonly call: SimCall;
  readonly endpoint: SimEndpoint;
  readonly record: RequestRecord;
  readonly stageName: string;
}

/**
 * Runs a scenario.
 *
 * @param scenario Arrivals, endpoints and faults.
 * @param createPolicy Makes one decider for each entry.
 */
export function runScenario(
  scenario: Scenario,
  createPolicy: PolicyFactory,
): RunOutcome {
  return new Simulation(scenario, createPolicy).run();
}

class Simulation {
  readonly #scenario: Scenario;
  readonly #queue = new EventQueue();
  readonly #random;
  readonly #deciders: Decider[];
  readonly #endpoints = new Map<string, SimEndpoint>();
  readonly #records = new Map<string, RequestRecord>();
  readonly #calls = new Map<string, OpenCall>();
  readonly #costByStage = new Map<string, number>();
  #zonesOut: string[] = [];
  #slices: readonly decisions.EntrySlice[] | undefined;
  #callCount = 0;

  constructor(scenario: Scenario, createPolicy: PolicyFactory) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed + 1);
    this.#deciders = Array.from(
      { length: scenario.entries },
      (_, entry) => createPolicy({ entry, zone: this.#getZone(entry) }),
    );
  }

  run(): RunOutcome {
    this.#addEndpoints();
    this.#addCustomers();
    const arrivals = buildArrivals(this.#scenario);
    for (const request of arrivals) this.#addArrival(request);
    for (const fault of this.#scenario.faults) {
      this.#queue.add(fault.at, () => this.#applyFault(fault));
    }
    this.#addTicks();
    if (this.#scenario.isSlicedByDemand) this.#addSlicePlans();
    this.#queue.runUntil(this.#scenario.durationMs + DRAIN_MS);
    return buildOutcome(this.#scenario, {
      records: [...this.#records.values()],
      endpoints: this.#endpoints.values(),
      costByStage: this.#costByStage,
      calls: this.#callCount,
    });
  }

  #getZone(entry: number): string {
    const { zones } = this.#scenario;
    return zones[entry % zones.length] ?? "";
  }

  #addEndpoints(): void {
    for (const spec of this.#scenario.endpoints) {
      const endpoint = new SimEndpoint(spec);
      this.#endpoints.set(spec.endpointId, endpoint);
      this.#announce(endpoint, 0);
      this.#addReports(endpoint);
    }
  }

  #addCustomers(): void {
    const { entries } = this.#scenario;
    const customers = this.#scenario.customers.map((each) => ({
      ...each,
      maxConcurrency: Math.ceil(each.maxConcurrency / entries),
    }));
    this.#queue.add(0, () => {
      this.#deciders.forEach((_, entry) =>
        this.#tell(entry, {
          kind: "customers_changed",
          now: this.#queue.now,
          customers,
        })
      );
    });
  }

  #addArrival(request: SimRequest): void {
    const record: RequestRecord = { request, spentMs: 0 };
    this.#records.set(request.facts.requestId, record);
    this.#queue.add(request.facts.arrivedAt, () => {
      this.#tell(request.entry, {
        kind: "request_arrived",
        now: this.#queue.now,
        random: this.#random.getUniform(),
        request: request.facts,
      });
    });
  }

  #addTicks(): void {
    const endAt = this.#scenario.durationMs + DRAIN_MS;
    this.#deciders.forEach((_, entry) => {
      const tick = () => {
        const { now } = this.#queue;
        const random = this.#random.getUniform();
        this.#tell(entry, { kind: "ticked", now, random });
        if (now + TICK_MS < endAt) this.#queue.add(now + TICK_MS, tick);
      };
      this.#queue.add(entry, tick);
    });
  }

  /** Plans slices by demand each second, as control would from gossip. */
  #addSlicePlans(): void {
    const { entries, endpoints, customers, durationMs } = this.#scenario;
    const capacities: Record<string, number> = {};
    for (const { service, concurrency } of endpoints) {
      capacities[service] = (capacities[service] ?? 0) + concurrency;
    }
    const plan = () => {
      const { now } = this.#queue;
      const demands = this.#deciders.map((each) => each.getDemand(now));
      this.#slices = decisions.planSlices({ customers, demands, capacities });
      for (let entry = 0; entry < entries; entry++) {
        this.#tell(entry, {
          kind: "customers_changed",
          now,
          customers: this.#slices[entry]?.customers ?? [],
        });
      }
      for (const each of this.#endpoints.values()) this.#announce(each, 0);
      if (now < durationMs) this.#queue.add(now + SLICE_PLAN_MS, plan);
    };
    this.#queue.add(SLICE_PLAN_MS, plan);
  }

  /** An entry's whole number of calls; remainders are spread over endpoints. */
  #getSlice(spec: SimEndpointSpec, entry: number): number {
    const { entries, endpoints } = this.#scenario;
    const part = this.#slices?.[entry]?.parts[spec.service];
    if (part === undefined) return Math.ceil(spec.concurrency / entries);
    const offset = endpoints.indexOf(spec) * GOLDEN_RATIO % 1;
    return Math.max(1, Math.floor(spec.concurrency * part + offset));
  }

  #addReports(endpoint: SimEndpoint): void {
    const { reportIntervalMs, reportLagMs, reportLoss, durationMs } =
      this.#scenario;
    const send = () => {
      const { now } = this.#queue;
      const report = {
        endpointId: endpoint.spec.endpointId,
        instance: endpoint.instance,
        state: endpoint.state,
        measuredAt: now,
        running: endpoint.running.size,
        waiting: endpoint.waiting.length,
      };
      const isLost = this.#random.getUniform() < reportLoss;
      const isSilent = endpoint.isDown || endpoint.failure === "unreachable";
      if (!isLost && !isSilent) {
        this.#queue.add(now + reportLagMs, () =>
          this.#tellAll({
            kind: "load_reported",
            now: this.#queue.now,
            report,
          }));
      }
      if (now < durationMs + DRAIN_MS) {
        this.#queue.add(now + reportIntervalMs, send);
      }
    };
    this.#queue.add(this.#random.getUniform() * reportIntervalMs, send);
  }

  #tellAll(event: DecisionEvent): void {
    this.#deciders.forEach((_, entry) => this.#tell(entry, event));
  }

  #tell(entry: number, event: DecisionEvent): void {
    const actions = this.#deciders[entry]?.decide(event) ?? [];
    for (const action of actions) this.#carryOut(entry, action);
  }

  #carryOut(entry: number, action: DecisionAction): void {
    match(action)
      .with({ kind: "start_call" }, (start) => this.#startCall(entry, start))
      .with({ kind: "cancel_call" }, ({ callId }) => this.#cancelCall(callId))
      .with(
        { kind: "complete" },
        ({ requestId }) => this.#answer(requestId, "OK"),
      )
      .with(
        { kind: "refuse" },
        ({ requestId, code }) => this.#answer(requestId, code),
      )
      .exhaustive();
  }

  #answer(requestId: string, code: CodeName): void {
    const record = this.#records.get(requestId);
    if (!record || record.answer) {
      throw new Error(`Request "${requestId}" was answered twice`);
    }
    record.answer = { at: this.#queue.now, code };
  }

  #startCall(
    entry: number,
    start: Extract<DecisionAction, { kind: "start_call" }>,
  ): void {
    const record = this.#records.get(start.requestId);
    const endpoint = this.#endpoints.get(start.endpointId);
    if (!record || !endpoint) throw new Error("Call of unknown request");
    this.#callCount += 1;
    const { facts, workMs } = record.request;
    const call: SimCall = {
      callId: start.callId,
      entry,
      workMs: workMs[start.stage] ?? 0,
      prefixHash: facts.prefixHash,
      startedAt: undefined,
      finishAt: 0,
      state: "sent",
      hasProgressed: false,
    };
    const stageName = facts.stages[start.stage]?.name ?? "";
    this.#calls.set(start.callId, { call, endpoint, record, stageName });
    const delay = this.#getDelay(entry, endpoint);
    this.#queue.add(
      this.#queue.now + delay,
      () => this.#arriveCall(call, endpoint),
    );
    this.#queue.add(this.#queue.now + start.progressTimeoutMs, () => {
      if (!call.hasProgressed) this.#failCall(call, endpoint, "timeout");
    });
  }

  #getDelay(entry: number, endpoint: SimEndpoint): number {
    return this.#getZone(entry) === endpoint.spec.zone ? NEAR_MS : FAR_MS;
  }

  #arriveCall(call: SimCall, endpoint: SimEndpoint): void {
    if (call.state === "over") return;
    if (endpoint.isDown || endpoint.failure === "unreachable") {
      this.#failLater(call, endpoint, "not_sent");
      return;
    }
    if (endpoint.failure === "refusing") {
      this.#failLater(call, endpoint, "refused");
      return;
    }
    call.state = "waiting";
    endpoint.waiting.push(call);
    if (endpoint.isOverwhelmed()) this.#fallOver(endpoint);
    else this.#startWaiting(endpoint);
  }

  #startWaiting(endpoint: SimEndpoint): void {
    if (endpoint.failure === "hanging") return;
    for (;;) {
      const call = endpoint.startNext(this.#queue.now);
      if (!call) return;
      this.#runCall(call, endpoint);
    }
  }

  #runCall(call: SimCall, endpoint: SimEndpoint): void {
    const { now } = this.#queue;
    if (this.#random.getUniform() < this.#scenario.stallShare) {
      call.finishAt = now + (call.finishAt - now) * STALL_FACTOR;
    }
    const serviceMs = call.finishAt - now;
    if (endpoint.failure === "breaking") {
      this.#queue.add(
        now + serviceMs / 2,
        () => this.#failCall(call, endpoint, "broken"),
      );
      return;
    }
    if (endpoint.spec.role === "generator") {
      this.#queue.add(now + serviceMs * FIRST_PART, () => {
        this.#progressCall(call, endpoint);
      });
    }
    this.#queue.add(call.finishAt, () => this.#finishCall(call, endpoint));
  }

  #progressCall(call: SimCall, endpoint: SimEndpoint): void {
    if (call.state !== "running" || endpoint.failure === "hanging") return;
    call.hasProgressed = true;
    this.#tell(call.entry, {
      kind: "call_progressed",
      now: this.#queue.now,
      callId: call.callId,
    });
  }

  #finishCall(call: SimCall, endpoint: SimEndpoint): void {
    if (call.state !== "running" || endpoint.failure === "hanging") return;
    const workerMs = this.#closeCall(call, endpoint);
    call.hasProgressed = true;
    const stateBefore = endpoint.state;
    endpoint.recordFinish(call);
    if (endpoint.state !== stateBefore) this.#announce(endpoint);
    this.#startWaiting(endpoint);
    const delay = this.#getDelay(call.entry, endpoint);
    this.#queue.add(this.#queue.now + delay, () => {
      if (!this.#calls.delete(call.callId)) return;
      this.#tell(call.entry, {
        kind: "call_finished",
        now: this.#queue.now,
        random: this.#random.getUniform(),
        callId: call.callId,
        workerMs,
        outputTokens: 0,
      });
    });
  }

  /** Ends a call inside its endpoint and counts the time that it took there. */
  #closeCall(call: SimCall, endpoint: SimEndpoint): number {
    const open = this.#calls.get(call.callId);
    const workerMs = call.startedAt === undefined
      ? 0
      : this.#queue.now - call.startedAt;
    call.state = "over";
    endpoint.running.delete(call);
    const at = endpoint.waiting.indexOf(call);
    if (at >= 0) endpoint.waiting.splice(at, 1);
    if (open) {
      open.record.spentMs += workerMs;
      const cost = this.#costByStage.get(open.stageName) ?? 0;
      this.#costByStage.set(open.stageName, cost + workerMs / 1000);
    }
    return workerMs;
  }

  #failLater(
    call: SimCall,
    endpoint: SimEndpoint,
    reason: CallFailureKind,
  ): void {
    const delay = this.#getDelay(call.entry, endpoint);
    this.#queue.add(
      this.#queue.now + delay,
      () => this.#failCall(call, endpoint, reason),
    );
  }

  #failCall(
    call: SimCall,
    endpoint: SimEndpoint,
    reason: CallFailureKind,
  ): void {
    if (call.state === "over") return;
    this.#closeCall(call, endpoint);
    if (this.#calls.delete(call.callId)) {
      this.#tell(call.entry, {
        kind: "call_failed",
        now: this.#queue.now,
        random: this.#random.getUniform(),
        callId: call.callId,
        reason,
      });
    }
    if (!endpoint.isDown) this.#startWaiting(endpoint);
  }

  #cancelCall(callId: string): void {
    const open = this.#calls.get(callId);
    if (!open) return;
    if (open.call.state !== "over") this.#closeCall(open.call, open.endpoint);
    this.#calls.delete(callId);
    if (!open.endpoint.isDown) this.#startWaiting(open.endpoint);
  }

  #fallOver(endpoint: SimEndpoint): void {
    endpoint.fallOvers += 1;
    this.#restart(endpoint, RESTART_MS);
  }

  #restart(endpoint: SimEndpoint, downMs: number): void {
    endpoint.isDown = downMs > 0;
    endpoint.turnCold();
    for (const call of [...endpoint.running, ...endpoint.waiting]) {
      this.#failCall(call, endpoint, "broken");
    }
    if (downMs === 0) return;
    this.#queue.add(this.#queue.now + downMs, () => {
      endpoint.isDown = false;
      this.#announce(endpoint);
    });
  }

  /** Tells all entries of an endpoint's state; a cold one has one warmer. */
  #announce(endpoint: SimEndpoint, lagMs = ANNOUNCE_LAG_MS): void {
    const { spec, state, instance } = endpoint;
    const { entries, endpoints } = this.#scenario;
    const warmer = endpoints.indexOf(spec) % entries;
    this.#queue.add(this.#queue.now + lagMs, () => {
      this.#deciders.forEach((_, entry) => {
        const isShared = state === "warm";
        const share = isShared ? this.#getSlice(spec, entry) : 0;
        const whole = state === "cold"
          ? spec.coldConcurrency
          : spec.concurrency;
        this.#tell(entry, {
          kind: "endpoint_changed",
          now: this.#queue.now,
          random: this.#random.getUniform(),
          endpoint: {
            endpointId: spec.endpointId,
            service: spec.service,
            role: spec.role,
            zone: spec.zone,
            address: spec.endpointId,
            instance,
            state,
            coldConcurrency: spec.coldConcurrency,
            warmConcurrency: spec.concurrency,
          },
          slice: !isShared && entry === warmer ? whole : share,
        });
      });
    });
  }

  #applyFault(fault: Fault): void {
    match(fault)
      .with({ kind: "set_slowness" }, ({ endpointIds, factor }) => {
        for (const endpoint of this.#getEndpoints(endpointIds)) {
          endpoint.slowness = factor;
        }
      })
      .with({ kind: "set_failure" }, ({ endpointIds, mode }) => {
        for (const endpoint of this.#getEndpoints(endpointIds)) {
          const wasHanging = endpoint.failure === "hanging";
          endpoint.failure = mode;
          if (wasHanging) this.#restart(endpoint, 0);
        }
      })
      .with({ kind: "turn_cold" }, ({ endpointIds }) => {
        for (const endpoint of this.#getEndpoints(endpointIds)) {
          this.#restart(endpoint, 0);
          this.#announce(endpoint, UNANNOUNCED_LAG_MS);
        }
      })
      .with({ kind: "zone_out" }, ({ zone }) => {
        this.#zonesOut = [...this.#zonesOut, zone];
        this.#announceZones();
      })
      .with({ kind: "zone_in" }, ({ zone }) => {
        this.#zonesOut = this.#zonesOut.filter((each) => each !== zone);
        this.#restartZone(zone);
        this.#announceZones();
      })
      .exhaustive();
  }

  #getEndpoints(endpointIds: readonly string[]): SimEndpoint[] {
    return endpointIds.flatMap((id) => this.#endpoints.get(id) ?? []);
  }

  #announceZones(): void {
    const zonesOut = this.#zonesOut;
    this.#queue.add(this.#queue.now + ANNOUNCE_LAG_MS, () => {
      this.#tellAll({
        kind: "zones_changed",
        now: this.#queue.now,
        random: this.#random.getUniform(),
        zonesOut,
      });
    });
  }

  /** Endpoints of a zone that comes back have just started. */
  #restartZone(zone: string): void {
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.spec.zone !== zone) continue;
      this.#restart(endpoint, 0);
      this.#announce(endpoint, 0);
    }
  }
}
