/**
 * Times in which no endpoint of a pool answers.
 *
 * @module
 */

/** Slots of a pool of which nothing is known. */
const MIN_SLOTS = 1;

/**
 * An outage of a whole pool.
 *
 * Made for a stage that fails outright. How long it will last is unknown; the
 * best guess is that it lasts once more as long as it has lasted. So a short
 * interruption is waited out by requests that have the time, and during a long
 * one new requests are refused at once.
 */
export class Outage {
  #since: number | undefined;
  #slotsBefore = MIN_SLOTS;

  /** Whether no endpoint has answered lately. */
  get isOn(): boolean {
    return this.#since !== undefined;
  }

  /** Slots that the pool had before. */
  get slotsBefore(): number {
    return this.#slotsBefore;
  }

  /** Notes that the last endpoint has failed; `slots` is what all would bear. */
  start(now: number, slots: number): void {
    if (this.#since !== undefined) return;
    this.#since = now;
    this.#slotsBefore = Math.max(MIN_SLOTS, slots);
  }

  /** Notes that an endpoint has answered. */
  end(): void {
    this.#since = undefined;
  }

  /** Expected time until its end in milliseconds. */
  getRestMs(now: number): number {
    return this.#since === undefined ? 0 : now - this.#since;
  }
}
