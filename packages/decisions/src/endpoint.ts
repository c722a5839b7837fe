/**
 * An endpoint as one entry sees it.
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

const TAKES_WORK: Readonly<Record<EndpointState, boolean>> = {
  cold: true,
  warming: true,
  warm: true,
  silent: false,
  leaving: false,
  gone: false,
};

/** Calls, bounds and learned condition of an endpoint. */
export class Endpoint {
  facts: EndpointFacts;
  /** Calls at once that this entry may have there. */
  slice: number;
  /** Whether operators have taken its zone out. */
  isZoneOut = false;
  /** Calls of this entry that run there, oldest first. */
  readonly calls = new Set<TrackedCall>();
  readonly health = new EndpointHealth();
  readonly load = new ReportedLoad();
  /** Mean time of its calls in milliseconds, 0 before the first. */
  latencyMs = 0;
  /** Position among the pool's open endpoints; -1 when it is not open. */
  openIndex = -1;
  /** Calls at once that the pool counts on. */
  slots = 0;
  /** Whether the pool counts it as one that is not on probation. */
  isTrusted = false;
  readonly #limit = new ConcurrencyLimit();
  readonly #warmUp = new WarmUp();
  /** Its own report says that it leaves though its facts do not. */
  isReportedLeaving = false;
  /** Its own report says that it is cold though its facts do not. */
  #isReportedCold = false;
  #changedAt = -Infinity;

  constructor(facts: EndpointFacts, slice: number) {
    this.facts = facts;
    this.slice = slice;
    this.#updateWarmUp(undefined);
  }

  /** Calls of this entry that run there. */
  get inFlight(): number {
    return this.calls.size;
  }

  /** Calls of all entries there, as far as is known. */
  get totalLoad(): number {
    return this.inFlight + this.load.others;
  }

  /**
   * Whether new work may go there at all.
   *
   * Made for endpoints and zones that leave: the news counts from the event on,
   * whatever their load says. What runs there is finished.
   */
  mayTakeWork(): boolean {
    return TAKES_WORK[this.facts.state] && !this.isReportedLeaving &&
      !this.isZoneOut;
  }

  /** Calls at once that this entry allows itself there now. */
  getLimit(now: number): number {
    if (!this.mayTakeWork() || !this.health.isOpen(now)) return 0;
    const slice = Math.min(this.slice, this.#getWarmBound());
    if (slice <= 0) return 0;
    if (this.health.isProbed) return 1;
    return this.#limit.getValue(slice);
  }

  /** Takes in newer facts; a new run of the endpoint is a fresh start. */
  update(facts: EndpointFacts, slice: number, now: number): void {
    const before = this.facts;
    this.facts = facts;
    this.slice = slice;
    const isOtherRun = before.instance !== "" &&
      facts.instance !== before.instance;
    if (isOtherRun) {
      this.#changedAt = now;
      this.health.reset();
      this.load.reset();
      this.#limit.reset();
    }
    if (!isOtherRun && facts.state === before.state) return;
    this.#isReportedCold = false;
    this.isReportedLeaving = false;
    this.#updateWarmUp(isOtherRun ? undefined : before.state);
    // Another run has started cold, whatever its facts say meanwhile.
    if (isOtherRun) this.#startWarmUp();
  }

  /**
   * Takes in its own report.
   *
   * Made for an endpoint that turns cold without an announcement: another run
   * or a cold state in its report shrinks its bound at once, before the news
   * comes by way of control. Reports from before the last change of the facts
   * are late ones of the former run. A report that it leaves counts as well.
   */
  applyReport(report: LoadReport, now: number): void {
    // A clock that is ahead of the reader's must not make a report the last.
    const measuredAt = Math.min(now, report.measuredAt);
    if (measuredAt < this.#changedAt) return;
    const isOtherRun = this.facts.instance !== "" &&
      report.instance !== this.facts.instance;
    const isCold = report.state === ENDPOINT_STATE.cold &&
      this.facts.state !== ENDPOINT_STATE.cold;
    this.#isReportedCold = isOtherRun || isCold;
    this.isReportedLeaving = !isOtherRun && !TAKES_WORK[report.state];
    this.load.apply({ ...report, measuredAt }, this.inFlight);
  }

  /** Takes in a finished call; `ratio` is its time relative to the expected. */
  recordFinish(
    ratio: number,
    options: { elapsedMs: number; now: number },
  ): void {
    const wasProbed = this.health.failures > 0;
    this.health.recordFinish(ratio, options);
    this.#limit.recordFinish(ratio, this.slice);
    this.#warmUp.recordFinish();
    // What failed may have started again, and then it is cold.
    if (wasProbed) this.#startWarmUp();
    if (this.#warmUp.bound >= this.slice) this.#stopWarmUp();
    const gap = options.elapsedMs - this.latencyMs;
    this.latencyMs += this.latencyMs === 0 ? gap : 0.1 * gap;
  }

  /** Takes in that the endpoint said no. */
  recordRefusal(): void {
    this.#limit.recordRefusal(this.slice);
  }

  #getWarmBound(): number {
    const { coldConcurrency, warmConcurrency, state } = this.facts;
    if (this.#isReportedCold) {
      // This entry's part of the cold bound, until it is told its slice.
      return Math.floor(coldConcurrency * this.slice / warmConcurrency);
    }
    if (state === ENDPOINT_STATE.cold) return coldConcurrency;
    return this.#warmUp.bound;
  }

  #updateWarmUp(before: EndpointState | undefined): void {
    const { state } = this.facts;
    if (state === ENDPOINT_STATE.warming) this.#startWarmUp();
    else if (state === ENDPOINT_STATE.warm && before !== undefined) {
      this.#warmUp.stop();
    }
  }

  /** From this entry's part of the cold bound, but for its only warmer. */
  #startWarmUp(): void {
    const { coldConcurrency, warmConcurrency, state } = this.facts;
    const isShared = state === ENDPOINT_STATE.warm;
    const part = isShared ? this.slice / warmConcurrency : 1;
    this.#warmUp.start(Math.max(1, Math.floor(coldConcurrency * part)));
  }

  #stopWarmUp(): void {
    if (this.facts.state === ENDPOINT_STATE.warm) this.#warmUp.stop();
  }
}
