/**
 * Outages of whole pools.
 *
 * @module
 */

/** Slots assumed for a pool whose capacity is unknown. */
const MIN_SLOTS = 1;

/**
 * An outage of a whole pool, in which no endpoint answers.
 *
 * The remaining duration is unknown; the estimate is the time elapsed so far.
 * Requests with enough time left thus wait for the end of a short interruption,
 * and during a long one new requests are refused at once.
 */
export class Outage {
  #startedAt: number | undefined;
  #slotsBefore = MIN_SLOTS;

  /** Whether the pool is out, that is, every endpoint has failed. */
  get isActive(): boolean {
    return this.#startedAt !== undefined;
  }

  /** Slots that the pool would have without the outage. */
  get slotsBefore(): number {
    return this.#slotsBefore;
  }

  /** Starts the outage; `slots` is the nominal capacity of all endpoints. */
  start(now: number, slots: number): void {
    if (this.#startedAt !== undefined) return;
    this.#startedAt = now;
    this.#slotsBefore = Math.max(MIN_SLOTS, slots);
  }

  /** Ends the outage when an endpoint is usable again. */
  end(): void {
    this.#startedAt = undefined;
  }

  /** Returns the expected time until its end in milliseconds. */
  getRemainingMs(now: number): number {
    return this.#startedAt === undefined ? 0 : now - this.#startedAt;
  }
}
