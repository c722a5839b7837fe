/**
 * Whether an endpoint stand-in is cold, and what that does to it.
 *
 * @module
 */
import type { EndpointSettings } from "./endpoint_settings.ts";

type WarmthSettings = Pick<
  EndpointSettings,
  "coldMs" | "callsToWarm" | "recoverMs" | "coldConcurrency"
>;

/** Cold at the start; warm by time or by finished calls. */
export class Warmth {
  readonly #settings: WarmthSettings;
  #coldSince: number;
  #finishedCalls = 0;
  #isWarm = false;
  #downUntil = 0;

  constructor(settings: WarmthSettings, now: number) {
    this.#settings = settings;
    this.#coldSince = now;
  }

  /** Tells whether it bears only its cold concurrency now. */
  isCold(now: number): boolean {
    if (this.#isWarm) return false;
    const { coldMs, callsToWarm } = this.#settings;
    const warmByTime = coldMs !== undefined && now - this.#coldSince >= coldMs;
    const warmByCalls = callsToWarm !== undefined &&
      this.#finishedCalls >= callsToWarm;
    const isAlwaysWarm = coldMs === undefined && callsToWarm === undefined;
    this.#isWarm = warmByTime || warmByCalls || isAlwaysWarm;
    return !this.#isWarm;
  }

  /** Tells whether so many calls at once are too many now. */
  isTooMuch(concurrent: number, now: number): boolean {
    return concurrent > this.#settings.coldConcurrency && this.isCold(now);
  }

  /** Milliseconds until it takes calls again after it fell over. */
  getDownMs(now: number): number {
    return Math.max(0, this.#downUntil - now);
  }

  /** Counts a finished call. */
  countFinished(): void {
    this.#finishedCalls += 1;
  }

  /** Begins the cold start anew. */
  setCold(now: number): void {
    this.#isWarm = false;
    this.#finishedCalls = 0;
    this.#coldSince = now;
  }

  /** Fell over: it refuses for a while and is cold again. */
  handleOverload(now: number): void {
    this.#downUntil = now + this.#settings.recoverMs;
    this.setCold(this.#downUntil);
  }
}
