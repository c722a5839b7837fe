/**
 * The state of each endpoint as observed by this VM.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as rollout from "@sardinestep/rollout";
import * as serving from "@sardinestep/serving";
import type {
  Address,
  EndpointId,
  ServiceId,
  ZoneId,
} from "@sardinestep/types";
import { EVENT } from "./events.ts";
import type { EndpointLoad, EndpointNotices, WireAdapter } from "./ports.ts";
import { EndpointSpeeds } from "./endpoint_speeds.ts";
import { ProcessReports } from "./process_reports.ts";
import { RateLimits, type RateLimitsOptions } from "./rate_limits.ts";
import type { Rollouts } from "./rollouts.ts";
import type { SiteState } from "./site_state.ts";

/** Load reports older than this are ignored, in milliseconds. */
const MAX_LOAD_REPORT_AGE_MS = 400;
/** Time between two updates from which the process did not run, in milliseconds. */
export const MIN_PAUSE_MS = 1_000;
/** Time in which a VM that did not run gets the records of meanwhile, in ms. */
const CATCH_UP_MS = 2_000;

interface EndpointRuntime {
  health: serving.EndpointHealth;
  inFlight: number;
  load?: EndpointLoad;
  loadAt: number;
  /** Until when it is cold by its own account. */
  coldUntil: number;
  /** Until when it may be cold after a request broke. */
  maybeColdUntil: number;
  /** Whether it rejected this VM's last request. */
  wasRejected: boolean;
}

/** How an endpoint answered. */
export interface AnswerKind {
  /** The answer says that the request did not run. */
  readonly isNotRun: boolean;
  /** VMs that send such requests; set if this one was rejected for want of room. */
  readonly rejectedSenders?: number;
}

/** Options of {@link EndpointTracker}. */
export interface EndpointTrackerOptions {
  readonly site: SiteState;
  readonly rollouts: Rollouts;
  readonly events: logger.EventLog;
  readonly vmId: string;
  readonly coldLimit: serving.ColdLimit;
  /** Whether other VMs reach an endpoint that this VM does not reach. */
  readonly isRelayed: (endpoint: serving.ServingEndpoint) => boolean;
  /** Asks another VM for parts of its shares of rate limits. */
  readonly callLender: RateLimitsOptions["callLender"];
  readonly checkProcess: WireAdapter["checkProcess"];
  readonly metrics: metrics.Metrics;
  /** Called when a request broke. */
  readonly checkPath: (endpoint: serving.ServingEndpoint) => void;
  /** Monotonic time of the process's start; now if unset. */
  readonly startedAt?: number;
}

/** Tracks endpoints and selects those that may receive requests now. */
export class EndpointTracker {
  /** Rate limits that endpoints announce. */
  readonly limits: RateLimits;
  /** How long work takes at each endpoint now. */
  readonly speeds = new EndpointSpeeds();
  /** Which processes run at the addresses of endpoints. */
  readonly processes: ProcessReports;
  readonly #options: EndpointTrackerOptions;
  readonly #runtimes = new Map<EndpointId, EndpointRuntime>();
  readonly #recentSends: serving.SendRate;
  #coldLimit: serving.ColdLimit;
  /** Monotonic time of the last update. */
  #updatedAt = Infinity;
  /** Until when any endpoint may have restarted unnoticed. */
  #catchUpUntil = -Infinity;

  /** @param options Site state, roll-outs, log and limits. */
  constructor(options: EndpointTrackerOptions) {
    this.#options = options;
    this.#coldLimit = options.coldLimit;
    this.limits = new RateLimits(options);
    this.processes = new ProcessReports({
      ...options,
      handleReplaced: (endpoint) =>
        this.#assumeCold(endpoint, performance.now()),
    });
    this.#recentSends = new serving.SendRate(
      serving.COLD_WINDOW_MS,
      options.startedAt ?? performance.now(),
    );
  }

  /** Whether any endpoint has reported the speed of its host. */
  get hasHostSpeeds(): boolean {
    return this.speeds.hasReports;
  }

  /** Sets the rate limit for cold endpoints. */
  setColdLimit(limit: serving.ColdLimit): void {
    this.#coldLimit = limit;
  }

  /**
   * Returns the endpoints of a service for one side of its roll-out, without those
   * that are draining or in a zone that is out of service.
   */
  getUsableEndpoints(
    service: ServiceId,
    side: rollout.Side = rollout.SIDE.present,
  ): serving.ServingEndpoint[] {
    const { site, rollouts } = this.#options;
    return site.getUsableServiceEndpoints(service)
      .filter((endpoint) => rollouts.mayUse(endpoint, side));
  }

  /** Returns the endpoints of a service at which streams of their version may go on. */
  getResumeEndpoints(service: ServiceId): serving.ServingEndpoint[] {
    const { site, rollouts } = this.#options;
    return site.getUsableServiceEndpoints(service)
      .filter((endpoint) =>
        rollouts.mayResume(endpoint) && !this.processes.isReplaced(endpoint)
      );
  }

  /** Returns the endpoints that may run pieces of stages now. */
  getCallEndpoints(service: ServiceId): serving.ServingEndpoint[] {
    const { rollouts } = this.#options;
    const sides = rollouts.planCallSides(service);
    return sides.flatMap((side) => this.getUsableEndpoints(service, side));
  }

  /**
   * Returns the candidates for a request. Cold and rate-limited endpoints are
   * included within this VM's share of their rate, paused ones are not.
   *
   * @param service The service, if it is configured.
   * @param endpoints Its endpoints that the request may use.
   */
  getCandidates(
    service: serving.ServiceSpec | undefined,
    endpoints: readonly serving.ServingEndpoint[],
  ): serving.PlacementCandidate[] {
    const now = performance.now();
    return endpoints
      .filter((endpoint) =>
        this.#maySendCold(endpoint, service, now) &&
        this.limits.getWaitMs(endpoint, now) === 0 &&
        this.#hasBrittleRoom(endpoint, now)
      )
      .map((endpoint) => this.#buildCandidate(endpoint, now));
  }

  /**
   * Returns the time until rate limits and pauses let this VM send to any endpoint
   * of a service, in milliseconds; infinite where only other VMs may send.
   */
  getLimitWaitMs(service: ServiceId): number {
    const now = performance.now();
    const waits = this.getUsableEndpoints(service)
      .map((endpoint) => this.limits.getWaitMs(endpoint, now));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /**
   * Counts a call that releases results, if it may start: rate limits and pauses
   * apply to every call.
   *
   * @param address Address of the endpoint; an unknown one has no limit.
   * @param maySend Whether limits and pauses let the call start.
   * @returns Whether the call may start.
   */
  startRelease(
    address: Address,
    maySend: (endpoint: serving.ServingEndpoint, now: number) => boolean,
  ): boolean {
    const endpoint = this.#options.site.findEndpointByAddress(address);
    if (endpoint === undefined) return true;
    if (!maySend(endpoint, performance.now())) return false;
    this.limits.recordSend(endpoint);
    return true;
  }

  /** Finds an endpoint that is still registered. */
  find(id: EndpointId): serving.ServingEndpoint | undefined {
    return this.#options.site.findEndpoint(id);
  }

  /** Whether an endpoint is avoided because this VM's requests to it failed. */
  isAvoided(id: EndpointId, now: number): boolean {
    return this.#runtimes.get(id)?.health.isAvoided(now) ?? false;
  }

  /** Records that a request is sent to an endpoint. */
  recordStart(endpoint: serving.ServingEndpoint): void {
    const runtime = this.#getRuntime(endpoint);
    runtime.inFlight += 1;
    this.limits.recordSend(endpoint);
    this.speeds.recordSend(endpoint.id);
    // It may be cold before any record or answer says so.
    this.#recentSends.record(endpoint.id, performance.now());
  }

  /** Records the end of a request, with its evidence if it gave any. */
  recordEnd(
    endpoint: serving.ServingEndpoint,
    evidence: serving.Evidence | undefined,
  ): void {
    const runtime = this.#getRuntime(endpoint);
    runtime.inFlight -= 1;
    if (evidence !== undefined) this.recordEvidence(endpoint, evidence);
  }

  /** Records what an answer shows about the health of its endpoint. */
  recordEvidence(
    endpoint: serving.ServingEndpoint,
    evidence: serving.Evidence,
  ): void {
    const isBroken = evidence === serving.EVIDENCE.broken;
    if (isBroken && this.#options.isRelayed(endpoint)) return;
    if (isBroken) this.#options.checkPath(endpoint);
    const runtime = this.#getRuntime(endpoint);
    const now = performance.now();
    const wasAvoided = runtime.health.isAvoided(now);
    runtime.health.record(evidence, now);
    if (isBroken) this.#assumeCold(endpoint, now);
    if (wasAvoided || !runtime.health.isAvoided(now)) return;
    this.#options.events.write(EVENT.endpointAvoided, {
      endpointId: endpoint.id,
      service: endpoint.service,
      evidence,
      failedShare: runtime.health.failedShare,
    });
  }

  /**
   * Drops the evidence against an endpoint that other VMs reach: the links of this VM
   * broke its requests.
   */
  dropEvidence(endpoint: serving.ServingEndpoint): void {
    const runtime = this.#getRuntime(endpoint);
    runtime.health = new serving.EndpointHealth();
    runtime.maybeColdUntil = -Infinity;
  }

  /**
   * Records what an endpoint states about itself in an answer.
   *
   * @param endpoint The endpoint that answered.
   * @param notices What it states.
   * @param kind Whether the request ran, or was rejected.
   */
  recordNotices(
    endpoint: serving.ServingEndpoint,
    notices: EndpointNotices,
    { isNotRun, rejectedSenders }: AnswerKind,
  ): void {
    const { load, coldMs, limitPerSecond, pauseMs, isLeaving } = notices;
    const runtime = this.#getRuntime(endpoint);
    if (!isNotRun || notices.brittlePerSecond !== undefined) {
      this.limits.recordBrittle(endpoint, notices.brittlePerSecond);
    }
    if (!isNotRun) runtime.wasRejected = false;
    if (rejectedSenders !== undefined) {
      runtime.wasRejected = true;
      this.limits.recordRejection(endpoint, rejectedSenders);
    }
    // An answer without a rate limit removes a known one. A "not run" answer may
    // omit the header although the limit still holds.
    if (!isNotRun || limitPerSecond !== undefined) {
      this.limits.recordAnswer(endpoint, limitPerSecond);
    }
    if (pauseMs !== undefined) this.limits.recordPause(endpoint, pauseMs);
    if (load !== undefined) this.recordLoad(endpoint, load);
    if (coldMs !== undefined) this.recordCold(endpoint, coldMs);
    if (isLeaving) {
      const { id: endpointId, bornMs } = endpoint;
      this.#options.site.recordLeaving({ endpointId, bornMs }, "answer");
    }
  }

  /** The same for an endpoint that is known by its address only. */
  recordNoticesOf(address: Address, notices: EndpointNotices): void {
    const endpoint = this.#options.site.findEndpointByAddress(address);
    if (endpoint === undefined) return;
    this.recordNotices(endpoint, notices, { isNotRun: true });
  }

  /** Records the load that an endpoint reported. */
  recordLoad(endpoint: serving.ServingEndpoint, load: EndpointLoad): void {
    const runtime = this.#getRuntime(endpoint);
    runtime.load = load;
    runtime.loadAt = performance.now();
    this.speeds.recordLoad(endpoint.id, load, runtime.loadAt);
  }

  /** Records that an endpoint is cold for the given time. */
  recordCold(endpoint: serving.ServingEndpoint, coldMs: number): void {
    if (coldMs <= 0) return;
    const runtime = this.#getRuntime(endpoint);
    const until = performance.now() + coldMs;
    if (!isCold(runtime, performance.now())) {
      this.#options.events.write(EVENT.endpointCold, {
        endpointId: endpoint.id,
        service: endpoint.service,
        coldMs: Math.round(coldMs),
      });
    }
    runtime.coldUntil = Math.max(runtime.coldUntil, until);
  }

  /** Removes endpoints that are gone and records cold starts. */
  update(): void {
    const now = performance.now();
    this.#checkPause(now);
    this.#updatedAt = now;
    const registered = this.#options.site.getEndpoints();
    const ids = new Set(registered.map(({ endpoint }) => endpoint.id));
    for (const [id, runtime] of this.#runtimes) {
      if (!ids.has(id) && runtime.inFlight <= 0) this.#runtimes.delete(id);
    }
    this.limits.keep(ids);
    this.speeds.keep(ids);
    this.processes.keep(ids);
    this.#options.site.leaving.keep(ids, now);
    this.#recentSends.keep(ids);
    for (const { endpoint, ageMs } of registered) {
      // Not only after a restart: an endpoint may become cold at any time.
      this.recordCold(endpoint, endpoint.coldMs - ageMs);
    }
  }

  /**
   * Treats an endpoint as cold for the usual time after a broken request, or the report
   * of another process: it may have crashed and restart cold before any record of the
   * crash arrives.
   */
  #assumeCold(endpoint: serving.ServingEndpoint, now: number): void {
    const spec = this.#options.site.table?.services.get(endpoint.service);
    if (spec === undefined || spec.coldStartMs <= 0) return;
    const runtime = this.#getRuntime(endpoint);
    runtime.maybeColdUntil = now + spec.coldStartMs;
  }

  /**
   * Whether the process did not run until just now: an endpoint may have restarted
   * meanwhile. Requests that waited are handled before the timers of the next update.
   */
  #checkPause(now: number): boolean {
    if (now - this.#updatedAt > MIN_PAUSE_MS) {
      this.#catchUpUntil = now + CATCH_UP_MS;
    }
    return now < this.#catchUpUntil;
  }

  #maySendCold(
    endpoint: serving.ServingEndpoint,
    service: serving.ServiceSpec | undefined,
    now: number,
  ): boolean {
    if (service === undefined || service.coldPerSecond <= 0) return true;
    const { site, vmId } = this.#options;
    const runtime = this.#getRuntime(endpoint);
    const isLimited = isCold(runtime, now) || this.#checkPause(now) ||
      site.isZoneRecentlyReturned(endpoint.zone, now);
    if (!isLimited) return true;
    const requests = serving.planColdShare({
      endpointId: endpoint.id,
      vmId,
      members: site.senders,
      perSecond: service.coldPerSecond,
      bound: this.#coldLimit,
    });
    const windowMs = serving.COLD_WINDOW_MS;
    return this.#recentSends.maySend(endpoint.id, now, { requests, windowMs });
  }

  /** Whether a request would not have to wait at a brittle endpoint. */
  #hasBrittleRoom(endpoint: serving.ServingEndpoint, now: number): boolean {
    if (this.limits.getBrittleBound(endpoint) === undefined) return true;
    const { site, vmId } = this.#options;
    const { inFlight, load, loadAt, wasRejected } = this.#getRuntime(endpoint);
    const isFresh = now - loadAt < MAX_LOAD_REPORT_AGE_MS;
    if (isFresh && load !== undefined && load.slots > 0) {
      if (load.running + load.waiting > load.slots) return false;
    }
    return inFlight < serving.planBrittleShare({
      slots: endpoint.slots,
      senders: site.countSenders(vmId),
      wasRejected,
    });
  }

  #buildCandidate(
    endpoint: serving.ServingEndpoint,
    now: number,
  ): serving.PlacementCandidate {
    const runtime = this.#getRuntime(endpoint);
    const isFresh = now - runtime.loadAt < MAX_LOAD_REPORT_AGE_MS;
    const load = isFresh ? runtime.load : undefined;
    return {
      id: endpoint.id,
      zone: endpoint.zone,
      slots: endpoint.slots,
      inFlight: runtime.inFlight,
      reported: load === undefined ? undefined : load.running + load.waiting,
      isAvoided: runtime.health.isAvoided(now),
    };
  }

  #getRuntime(endpoint: serving.ServingEndpoint): EndpointRuntime {
    const known = this.#runtimes.get(endpoint.id);
    if (known !== undefined) return known;
    const runtime: EndpointRuntime = {
      health: new serving.EndpointHealth(),
      inFlight: 0,
      loadAt: -Infinity,
      coldUntil: -Infinity,
      maybeColdUntil: -Infinity,
      wasRejected: false,
    };
    this.#runtimes.set(endpoint.id, runtime);
    return runtime;
  }
}

function isCold(runtime: EndpointRuntime, now: number): boolean {
  return Math.max(runtime.coldUntil, runtime.maybeColdUntil) > now;
}

/** Returns the zones of some endpoints. */
export function getZones(
  endpoints: readonly serving.ServingEndpoint[],
): ReadonlySet<ZoneId> {
  return new Set(endpoints.map((endpoint) => endpoint.zone));
}
