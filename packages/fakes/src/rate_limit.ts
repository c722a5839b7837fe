/**
 * A token bucket for stand-ins that refuse beyond a rate.
 *
 * @module
 */

/** The bucket holds what is granted in this time, so short bursts pass. */
const BURST_SECONDS = 0.25;
const SECOND_MS = 1000;

/** Grants so many takes a second. */
export class RateLimit {
  #perSecond: number;
  #tokens: number;
  #updatedAt: number;

  constructor(perSecond: number, now: number) {
    this.#perSecond = perSecond;
    this.#tokens = this.#getCapacity();
    this.#updatedAt = now;
  }

  /** Replaces the rate. */
  setRate(perSecond: number): void {
    this.#perSecond = perSecond;
  }

  /** Takes a token; otherwise gives the milliseconds until there is one. */
  decideWait(now: number): number {
    const grown = (now - this.#updatedAt) / SECOND_MS * this.#perSecond;
    this.#tokens = Math.min(this.#getCapacity(), this.#tokens + grown);
    this.#updatedAt = now;
    if (this.#tokens < 1) {
      return Math.ceil((1 - this.#tokens) / this.#perSecond * SECOND_MS);
    }
    this.#tokens -= 1;
    return 0;
  }

  #getCapacity(): number {
    return Math.max(1, this.#perSecond * BURST_SECONDS);
  }
}
