/**
 * How many calls at once an endpoint serves well, found by feedback.
 *
 * @module
 */

/** Part that is kept when an endpoint shows that it has too much. */
const DECREASE = 0.85;
/** After a refusal, which is plainer than latency. */
const DECREASE_REFUSED = 0.7;
/** A call this much slower than expected shows too much load. */
const HIGH_RATIO = 2;
/** Weight of a new call in the part of slow calls. */
const SMOOTHING = 0.2;
/** Part of slow calls that is too much; single stalls stay far below. */
const HIGH_PART = 0.5;
/** Below that there is room to try more. */
const LOW_PART = 0.25;

/**
 * A limit that grows by one for each round of calls that went well and shrinks
 * at once by a part.
 *
 * Made for endpoints that bear less than their facts say: a neighbour on the
 * same machine, long prompts, other entries. Without it their calls wait inside
 * the endpoint, where no deadline or class orders them. The slice stays the
 * upper end, since it is this entry's part of what the endpoint bears.
 */
export class ConcurrencyLimit {
  #value = Infinity;
  #callsSinceDecrease = 0;
  #slowPart = 0;

  /** Calls at once, at least one. */
  getValue(slice: number): number {
    return Math.max(1, Math.floor(Math.min(this.#value, slice)));
  }

  /** Takes in a finished call; `ratio` is its time relative to the expected. */
  recordFinish(ratio: number, slice: number): void {
    this.#callsSinceDecrease += 1;
    const slow = ratio > HIGH_RATIO ? 1 : 0;
    this.#slowPart += SMOOTHING * (slow - this.#slowPart);
    if (this.#slowPart > HIGH_PART) this.#decrease(DECREASE, slice);
    else if (this.#slowPart < LOW_PART && this.#value < slice) {
      this.#value = Math.min(slice, this.#value + 1 / this.#value);
    }
  }

  /** Takes in a refusal by the endpoint. */
  recordRefusal(slice: number): void {
    this.#decrease(DECREASE_REFUSED, slice);
  }

  /** Begins again at the slice. */
  reset(): void {
    this.#value = Infinity;
    this.#slowPart = 0;
  }

  /** Once a round of calls: what follows at once is the same news. */
  #decrease(part: number, slice: number): void {
    const value = Math.min(this.#value, slice);
    if (this.#callsSinceDecrease < value) return;
    this.#callsSinceDecrease = 0;
    this.#value = Math.max(1, value * part);
  }
}
