/**
 * State of an endpoint as seen by one entry.
 *
 * @module
 */
import {
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointState,
  type LoadReport,
} from "@sardinestep/types";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { EndpointHealth } from "./endpoint_health.ts";
import { ReportedLoad } from "./reported_load.ts";
import type { TrackedCall } from "./tracked.ts";
import { WarmUp } from "./warm_up.ts";

const ACCEPTS_CALLS: Readonly<Record<EndpointState, boolean>> = {
  cold: true,
  warming: true,
  warm: true,
  silent: false,
  leaving: false,
  gone: false,
};

/** Running calls, concurrency limits and measured health of an endpoint. */
export class Endpoint {
  facts: EndpointFacts;
  /** Concurrent calls that this entry may have; its share of the capacity. */
  slice: number;
  /** Whether operators have taken its zone out of service. */
  isZoneOut = false;
  /** Running calls of this entry, oldest first. */
  readonly calls = new Set<TrackedCall>();
  readonly health = new EndpointHealth();
  readonly reportedLoad = new ReportedLoad();
  /** Moving average of its call times in milliseconds, 0 before the first. */
  latencyMs = 0;
  /** Index in the pool's list of available endpoints, -1 if not available. */
  availableIndex = -1;
  /** Its limit on concurrent calls, as counted in the pool's `slots`. */
  slots = 0;
  /** Whether the pool counts it as healthy. */
  isHealthy = false;
  readonly #concurrencyLimit = new ConcurrencyLimit();
  readonly #warmUp = new WarmUp();
  /** Whether its own report, but not yet its facts, says that it is leaving. */
  isReportedLeaving = false;
  /** Whether its own report, but not yet its facts, says that it is cold. */
  #isReportedCold = false;
  #restartedAt = -Infinity;

  constructor(facts: EndpointFacts, slice: number) {
    this.facts = facts;
    this.slice = slice;
    this.#updateWarmUp(undefined);
  }

  /** Number of running calls of this entry. */
  get inFlight(): number {
    return this.calls.size;
  }

  /** Estimated running and waiting calls of all entries. */
  get totalLoad(): number {
    return this.inFlight + this.reportedLoad.otherCalls;
  }

  /**
   * Returns whether the endpoint may get new calls in its current state.
   *
   * The departure of an endpoint or zone takes effect with its event, whatever
   * later load reports say. Running calls are finished.
   */
  mayTakeWork(): boolean {
    return ACCEPTS_CALLS[this.facts.state] && !this.isReportedLeaving &&
      !this.isZoneOut;
  }

  /** Returns the current limit on concurrent calls of this entry. */
  getLimit(now: number): number {
    if (!this.mayTakeWork() || !this.health.mayTakeCalls(now)) return 0;
    const slice = Math.min(this.slice, this.#getWarmUpLimit());
    if (slice <= 0) return 0;
    if (this.health.isOnProbation) return 1;
    return this.#concurrencyLimit.getValue(slice);
  }

  /** Applies newer facts; a new instance resets the measured state. */
  update(facts: EndpointFacts, slice: number, now: number): void {
    const previous = this.facts;
    this.facts = facts;
    this.slice = slice;
    const isNewInstance = previous.instance !== "" &&
      facts.instance !== previous.instance;
    if (isNewInstance) {
      this.#restartedAt = now;
      this.health.reset();
      this.reportedLoad.reset();
      this.#concurrencyLimit.reset();
    }
    if (!isNewInstance && facts.state === previous.state) return;
    this.#isReportedCold = false;
    this.isReportedLeaving = false;
    this.#updateWarmUp(isNewInstance ? undefined : previous.state);
    // A new instance starts cold, even if its facts already say otherwise.
    if (isNewInstance) this.#startWarmUp();
  }

  /**
   * Applies its own load report.
   *
   * An endpoint may become cold without an announcement: a new instance or a
   * cold state in the report lowers the limit before the update from control
   * arrives. A report that it is leaving also takes effect. Reports measured
   * before the last change of instance are from the previous instance and ignored.
   */
  applyReport(report: LoadReport, now: number): void {
    // A report from a clock that is ahead must not suppress all later reports.
    const measuredAt = Math.min(now, report.measuredAt);
    if (measuredAt < this.#restartedAt) return;
    const isNewInstance = this.facts.instance !== "" &&
      report.instance !== this.facts.instance;
    const isCold = report.state === ENDPOINT_STATE.cold &&
      this.facts.state !== ENDPOINT_STATE.cold;
    this.#isReportedCold = isNewInstance || isCold;
    this.isReportedLeaving = !isNewInstance && !ACCEPTS_CALLS[report.state];
    this.reportedLoad.apply({ ...report, measuredAt }, this.inFlight);
  }

  /** Records a finished call; `ratio` is measured over expected time. */
  recordFinish(
    ratio: number,
    options: { elapsedMs: number; now: number },
  ): void {
    const hadFailed = this.health.failures > 0;
    this.health.recordFinish(ratio, options);
    this.#concurrencyLimit.recordFinish(ratio, this.slice);
    this.#warmUp.recordFinish();
    // After a failure the endpoint may have restarted, and is cold then.
    if (hadFailed) this.#startWarmUp();
    if (this.#warmUp.limit >= this.slice) this.#stopWarmUp();
    const difference = options.elapsedMs - this.latencyMs;
    this.latencyMs += this.latencyMs === 0 ? difference : 0.1 * difference;
  }

  /** Records that the endpoint refused a call. */
  recordRefusal(): void {
    this.#concurrencyLimit.recordRefusal(this.slice);
  }

  #getWarmUpLimit(): number {
    const { coldConcurrency, warmConcurrency, state } = this.facts;
    if (this.#isReportedCold) {
      // This entry's share of the cold limit, until the new slice arrives.
      return Math.floor(coldConcurrency * this.slice / warmConcurrency);
    }
    if (state === ENDPOINT_STATE.cold) return coldConcurrency;
    return this.#warmUp.limit;
  }

  #updateWarmUp(previous: EndpointState | undefined): void {
    const { state } = this.facts;
    if (state === ENDPOINT_STATE.warming) this.#startWarmUp();
    else if (state === ENDPOINT_STATE.warm && previous !== undefined) {
      this.#warmUp.stop();
    }
  }

  /**
   * Starts at the cold limit, or at this entry's share of it if the endpoint's
   * facts say warm, because other entries then send calls too.
   */
  #startWarmUp(): void {
    const { coldConcurrency, warmConcurrency, state } = this.facts;
    const isShared = state === ENDPOINT_STATE.warm;
    const share = isShared ? this.slice / warmConcurrency : 1;
    this.#warmUp.start(Math.max(1, Math.floor(coldConcurrency * share)));
  }

  #stopWarmUp(): void {
    if (this.facts.state === ENDPOINT_STATE.warm) this.#warmUp.stop();
  }
}
