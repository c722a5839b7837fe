/**
 * Cold and warm state of a fake endpoint, and its recovery after an overload.
 *
 * @module
 */
import type { EndpointSettings } from "./endpoint_settings.ts";

type WarmupSettings = Pick<
  EndpointSettings,
  "coldMs" | "callsToWarm" | "recoverMs" | "coldConcurrency"
>;

/** Starts cold; becomes warm by time or by finished calls. */
export class WarmupState {
  readonly #settings: WarmupSettings;
  #coldSince: number;
  #finishedCalls = 0;
  #isWarm = false;
  #recoversAt = 0;

  constructor(settings: WarmupSettings, now: number) {
    this.#settings = settings;
    this.#coldSince = now;
  }

  /** Whether it is cold, so that its limit is the cold concurrency. */
  isCold(now: number): boolean {
    if (this.#isWarm) return false;
    const { coldMs, callsToWarm } = this.#settings;
    const isWarmByTime = coldMs !== undefined &&
      now - this.#coldSince >= coldMs;
    const isWarmByCalls = callsToWarm !== undefined &&
      this.#finishedCalls >= callsToWarm;
    const isAlwaysWarm = coldMs === undefined && callsToWarm === undefined;
    this.#isWarm = isWarmByTime || isWarmByCalls || isAlwaysWarm;
    return !this.#isWarm;
  }

  /** Whether this number of concurrent calls overloads it. */
  isOverload(concurrent: number, now: number): boolean {
    return concurrent > this.#settings.coldConcurrency && this.isCold(now);
  }

  /** Returns the milliseconds until it accepts calls again after an overload. */
  getRecoveryMs(now: number): number {
    return Math.max(0, this.#recoversAt - now);
  }

  /** Counts a finished call. */
  countFinished(): void {
    this.#finishedCalls += 1;
  }

  /** Restarts the warm-up. */
  setCold(now: number): void {
    this.#isWarm = false;
    this.#finishedCalls = 0;
    this.#coldSince = now;
  }

  /** Refuses calls for the recovery time and is cold afterwards. */
  handleOverload(now: number): void {
    this.#recoversAt = now + this.#settings.recoverMs;
    this.setCold(this.#recoversAt);
  }
}
