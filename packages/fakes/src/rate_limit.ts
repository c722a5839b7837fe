/**
 * A token bucket for fakes with a rate limit.
 *
 * @module
 */

/** The bucket holds the tokens of this time, so that short bursts pass. */
const BURST_SECONDS = 0.25;
const MS_PER_SECOND = 1000;

/** Grants a number of tokens per second. */
export class RateLimit {
  #perSecond: number;
  #tokens: number;
  #updatedAt: number;

  constructor(perSecond: number, now: number) {
    this.#perSecond = perSecond;
    this.#tokens = this.#getCapacity();
    this.#updatedAt = now;
  }

  /** Sets the tokens per second. */
  setRate(perSecond: number): void {
    this.#perSecond = perSecond;
  }

  /** Takes a token and returns 0, or returns the milliseconds until the next one. */
  acquireToken(now: number): number {
    const refill = (now - this.#updatedAt) / MS_PER_SECOND * this.#perSecond;
    this.#tokens = Math.min(this.#getCapacity(), this.#tokens + refill);
    this.#updatedAt = now;
    if (this.#tokens < 1) {
      return Math.ceil((1 - this.#tokens) / this.#perSecond * MS_PER_SECOND);
    }
    this.#tokens -= 1;
    return 0;
  }

  #getCapacity(): number {
    return Math.max(1, this.#perSecond * BURST_SECONDS);
  }
}
