/**
 * A time-stepped simulation of one roll-out over many VMs.
 *
 * It simulates VMs that each receive a part of the requests and learn about the
 * rest by exchanging updates, a report store that may be unavailable, endpoints
 * of two versions, and faults that affect both. Decisions are made by the
 * production code. Not modelled: stages, queues, cold starts, message loss.
 *
 * @module
 */
import * as rollout from "@sardinestep/rollout";
import { createRandom, type Random } from "../decisions/random.ts";
import { type EndpointFault, EndpointModel } from "./endpoint_model.ts";
import { ReportStore } from "./report_store.ts";

/** Defect of the new version. */
export const BAD_VERSION = {
  errors: "errors",
  slow: "slow",
  underLoad: "underLoad",
  oneRoute: "oneRoute",
  late: "late",
} as const;
/** A value of {@link BAD_VERSION}. */
export type BadVersion = typeof BAD_VERSION[keyof typeof BAD_VERSION];

/** Fault during the roll-out that affects both versions alike. */
export const SIDE_FAULT = {
  none: "none",
  /** A quarter of the endpoints of each version fails for some seconds. */
  crash: "crash",
  /** One endpoint of each version fails half of its requests. */
  grey: "grey",
  /** Three answers of ten are lost for some seconds. */
  answersLost: "answersLost",
  /** A burst: everything takes three times as long for some seconds. */
  burst: "burst",
} as const;
/** A value of {@link SIDE_FAULT}. */
export type SideFault = typeof SIDE_FAULT[keyof typeof SIDE_FAULT];

/** Parameters of one simulated roll-out. */
export interface RolloutScenario {
  readonly seed: number;
  readonly vms: number;
  readonly requestsPerSecond: number;
  /** Endpoints of each version. */
  readonly endpoints: number;
  readonly durationMs: number;
  readonly badVersion?: BadVersion;
  readonly sideFault: SideFault;
  readonly settings: rollout.RolloutSettings;
  readonly policy?: rollout.VerdictPolicy;
  /** Period in which the report store is unavailable. */
  readonly storeOutage?: { readonly fromMs: number; readonly toMs: number };
  /** Concurrent requests from which an endpoint counts as loaded. */
  readonly loadedRequests?: number;
  /** Requests that an endpoint runs at the same time, as it registers them. */
  readonly slots?: number;
  /** When all VMs restart and lose their state. */
  readonly restartAtMs?: number;
}

/** Result of one simulated roll-out. */
export interface RolloutOutcome {
  /** Requests that the service received while the order was in force. */
  readonly requests: number;
  /** Those of them that were sent to the new version. */
  readonly exposed: number;
  readonly badAnswers: number;
  /** Time of the last request sent to the new version, in milliseconds. */
  readonly lastSentMs: number;
  /** When the new version had given {@link BAD_ANSWER_LIMIT} bad answers, in ms. */
  readonly limitReachedAtMs: number;
  readonly reports: readonly rollout.RolloutStatus[];
  /** When the final state was reported, in milliseconds. */
  readonly settledAtMs: number;
  /** Requests still running at the present version when it was stopped. */
  readonly interruptedRequests: number;
}

/** Bad answers after which the time to the last send is bounded. */
export const BAD_ANSWER_LIMIT = 50;

const ZONES = 3;
const AGGREGATORS = 2;
const MS_PER_SECOND = 1_000;
const STEP_MS = 100;
const EXCHANGE_STEPS = 3;
/** All VMs receive the order within this time. */
const MAX_ORDER_DELAY_MS = 900;
const SESSIONS = 400;
const ROUTES = [
  { name: "audit", share: 0.25, usualMs: 220 },
  { name: "note", share: 0.5, usualMs: 90 },
  { name: "reply", share: 0.25, usualMs: 60 },
] as const;

interface ModelVm {
  readonly vmId: string;
  readonly zone: string;
  readonly receivesOrderAtMs: number;
  startId: number;
  run?: rollout.RolloutRun;
}

interface RunningSend {
  readonly vm: ModelVm;
  readonly run: rollout.RolloutRun;
  readonly endpoint: EndpointModel;
  readonly send: rollout.SentRequest;
  readonly endsAtMs: number;
  readonly outcome: rollout.SentRequestOutcome;
}

/** Simulates a roll-out until some seconds after its end. */
export function runRollout(scenario: RolloutScenario): RolloutOutcome {
  return new RolloutModel(scenario).run();
}

class RolloutModel {
  readonly #scenario: RolloutScenario;
  readonly #random: Random;
  readonly #order: rollout.RolloutOrder;
  readonly #vms: readonly ModelVm[];
  readonly #present: readonly EndpointModel[];
  readonly #target: readonly EndpointModel[];
  readonly #store: ReportStore;
  #running: RunningSend[] = [];
  #nextArrivalMs = 0;
  #requests = 0;
  #exposed = 0;
  #badAnswers = 0;
  #limitReachedAtMs = Infinity;
  #lastSentMs = 0;
  #settledAtMs = Infinity;
  #interruptedRequests = 0;

  constructor(scenario: RolloutScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#store = new ReportStore(scenario.storeOutage);
    this.#order = {
      service: "engine",
      target: "v2",
      durationMs: scenario.durationMs,
      position: 7,
    };
    this.#vms = Array.from({ length: scenario.vms }, (_, i) => ({
      vmId: `vm-${i}`,
      zone: `zone-${i % ZONES}`,
      receivesOrderAtMs: this.#random.getUniform() * MAX_ORDER_DELAY_MS,
      startId: 1,
    }));
    this.#present = this.#createEndpoints("old");
    this.#target = this.#createEndpoints("new");
  }

  run(): RolloutOutcome {
    const { durationMs, restartAtMs = Infinity } = this.#scenario;
    for (let now = 0; now < durationMs * 1.3; now += STEP_MS) {
      if (now >= restartAtMs && now - STEP_MS < restartAtMs) this.#restart();
      this.#endSends(now);
      this.#sendRequests(now);
      this.#updateVms(now);
      if (now % (STEP_MS * EXCHANGE_STEPS) === 0) this.#exchangeAll(now);
      this.#report(now);
    }
    return {
      requests: this.#requests,
      exposed: this.#exposed,
      badAnswers: this.#badAnswers,
      lastSentMs: this.#lastSentMs,
      limitReachedAtMs: this.#limitReachedAtMs,
      reports: this.#store.reports,
      settledAtMs: this.#settledAtMs,
      interruptedRequests: this.#interruptedRequests,
    };
  }

  #createEndpoints(name: string): EndpointModel[] {
    const { endpoints, sideFault, badVersion } = this.#scenario;
    return Array.from({ length: endpoints }, (_, i) =>
      new EndpointModel({
        id: `${name}-${i}-${this.#scenario.seed}`,
        fault: getEndpointFault(sideFault, i, endpoints),
        badVersion: name === "new" ? badVersion : undefined,
        loadedRequests: this.#scenario.loadedRequests,
      }));
  }

  #restart(): void {
    for (const vm of this.#vms) {
      vm.run = undefined;
      vm.startId += 1;
    }
    this.#running = [];
  }

  #updateVms(now: number): void {
    for (const vm of this.#vms) {
      if (now < vm.receivesOrderAtMs) continue;
      vm.run ??= new rollout.RolloutRun({
        order: this.#order,
        vmId: vm.vmId,
        startId: vm.startId,
        zone: vm.zone,
        settings: this.#scenario.settings,
        policy: this.#scenario.policy,
        now,
      });
      vm.run.updatePhase({
        target: this.#target.map((endpoint) => endpoint.id),
        present: this.#present.length,
        targetSlots: this.#scenario.slots,
      }, now);
    }
  }

  /** VMs exchange with two aggregators of their zone, which exchange across zones. */
  #exchangeAll(now: number): void {
    const aggregators = this.#vms.slice(0, ZONES * AGGREGATORS);
    for (const vm of this.#vms) {
      for (const other of aggregators) {
        const isPartner = vm.zone === other.zone || aggregators.includes(vm);
        if (vm !== other && isPartner) exchangeUpdates(vm, other, now);
      }
    }
  }

  #sendRequests(now: number): void {
    const { requestsPerSecond, durationMs } = this.#scenario;
    while (this.#nextArrivalMs < now + STEP_MS) {
      if (now < durationMs) this.#requests += 1;
      this.#sendRequest(now);
      this.#nextArrivalMs += this.#random.getExponential(
        MS_PER_SECOND / requestsPerSecond,
      );
    }
  }

  #sendRequest(now: number): void {
    const vm = this.#vms[this.#pickIndex(this.#vms.length)]!;
    const route = this.#pickRoute();
    const session = `${route.name}-${this.#pickIndex(SESSIONS)}`;
    const side = vm.run?.pickSide(session, now) ?? rollout.SIDE.present;
    const candidates = side === rollout.SIDE.target
      ? this.#target.filter((target) => vm.run!.mayUse(target.id))
      : this.#present;
    const endpoint = candidates[this.#pickIndex(candidates.length)]!;
    const isTarget = side === rollout.SIDE.target;
    if (isTarget) {
      this.#lastSentMs = now;
      if (now < this.#scenario.durationMs) this.#exposed += 1;
    }
    const answer = endpoint.answer({ route, now, random: this.#random });
    const { run } = vm;
    if (run === undefined) return;
    const send = { side, route: route.name, endpointId: endpoint.id };
    run.recordSent(send);
    endpoint.running += 1;
    this.#running.push({
      vm,
      run,
      endpoint,
      send,
      endsAtMs: now + answer.answerMs,
      outcome: answer.outcome,
    });
    if (isTarget && answer.isBad) this.#recordBadAnswer(now + answer.answerMs);
  }

  #recordBadAnswer(atMs: number): void {
    this.#badAnswers += 1;
    if (this.#badAnswers === BAD_ANSWER_LIMIT) this.#limitReachedAtMs = atMs;
  }

  #endSends(now: number): void {
    const hasEnded = (running: RunningSend) => running.endsAtMs <= now;
    for (const ended of this.#running.filter(hasEnded)) {
      ended.endpoint.running -= 1;
      ended.run.recordEnd(ended.send, ended.outcome);
    }
    this.#running = this.#running.filter((running) => !hasEnded(running));
  }

  /** One VM of each zone reads and writes reports. */
  #report(now: number): void {
    for (const { run } of this.#vms.slice(0, ZONES)) {
      if (run === undefined || run.isSettled) continue;
      const status = this.#store.read(now);
      if (status === "outage") continue;
      const clocks = { now, unixMs: now };
      run.recordReport(status.newest, clocks);
      const next = run.planReport(status.newest, clocks);
      if (next === undefined) continue;
      if (this.#store.append(next, status.end, now)) {
        run.recordReport(next, clocks);
        this.#recordFinalState(next, now);
      }
    }
  }

  #recordFinalState(status: rollout.RolloutStatus, now: number): void {
    if (rollout.getFinalState(status) === undefined) return;
    this.#settledAtMs = Math.min(this.#settledAtMs, now);
    if (status.state !== rollout.ROLLOUT_STATE.succeeded) return;
    this.#interruptedRequests = this.#running
      .filter(({ send }) => send.side === rollout.SIDE.present).length;
  }

  #pickRoute(): typeof ROUTES[number] {
    let remaining = this.#random.getUniform();
    return ROUTES.find(({ share }) => (remaining -= share) < 0) ?? ROUTES[0];
  }

  #pickIndex(length: number): number {
    return Math.floor(this.#random.getUniform() * length);
  }
}

function exchangeUpdates(vm: ModelVm, other: ModelVm, now: number): void {
  if (vm.run === undefined || other.run === undefined) return;
  other.run.mergeUpdate(vm.run.getUpdate(now), now);
  vm.run.mergeUpdate(other.run.getUpdate(now), now);
}

function getEndpointFault(
  fault: SideFault,
  index: number,
  endpoints: number,
): EndpointFault {
  switch (fault) {
    case "none":
      return "none";
    case "crash":
      return index < endpoints / 4 ? "crash" : "none";
    case "grey":
      return index === 0 ? "grey" : "none";
    case "answersLost":
      return "answersLost";
    case "burst":
      return "burst";
  }
}
