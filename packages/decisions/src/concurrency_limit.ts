/**
 * Adaptive limit on the concurrent calls to an endpoint.
 *
 * @module
 */

/** Factor of the limit when too many calls are slow. */
const SLOW_DECREASE = 0.85;
/** Factor after a refusal, which is a clearer sign of overload than latency. */
const REFUSAL_DECREASE = 0.7;
/** A call is slow above this ratio of measured to expected time. */
const SLOW_CALL_RATIO = 2;
/** Weight of a new call in the moving average of the share of slow calls. */
const SMOOTHING_FACTOR = 0.2;
/** Share of slow calls that lowers the limit; single stalls stay far below. */
const MAX_SLOW_SHARE = 0.5;
/** The limit grows while the share of slow calls is below this value. */
const MAX_SLOW_SHARE_TO_GROW = 0.25;

/**
 * Concurrency limit with additive increase and multiplicative decrease: it
 * grows by one per round of normal calls and is reduced by a factor at once.
 *
 * Some endpoints handle less than their configured concurrency because of other
 * processes on the machine, long prompts or calls of other entries. Without the
 * limit, calls would wait inside the endpoint, not ordered by deadline or class. The
 * upper bound is the slice, this entry's share of the endpoint's capacity.
 */
export class ConcurrencyLimit {
  #value = Infinity;
  #callsSinceDecrease = 0;
  #slowShare = 0;

  /** Returns the allowed concurrent calls, at least one. */
  getValue(slice: number): number {
    return Math.max(1, Math.floor(Math.min(this.#value, slice)));
  }

  /** Records a finished call; `ratio` is measured over expected time. */
  recordFinish(ratio: number, slice: number): void {
    this.#callsSinceDecrease += 1;
    const slow = ratio > SLOW_CALL_RATIO ? 1 : 0;
    this.#slowShare += SMOOTHING_FACTOR * (slow - this.#slowShare);
    if (this.#slowShare > MAX_SLOW_SHARE) this.#decrease(SLOW_DECREASE, slice);
    else if (this.#slowShare < MAX_SLOW_SHARE_TO_GROW && this.#value < slice) {
      this.#value = Math.min(slice, this.#value + 1 / this.#value);
    }
  }

  /** Records a refusal by the endpoint. */
  recordRefusal(slice: number): void {
    this.#decrease(REFUSAL_DECREASE, slice);
  }

  /** Resets the limit to the slice. */
  reset(): void {
    this.#value = Infinity;
    this.#slowShare = 0;
  }

  /** Decreases at most once per round of calls, which all show one overload. */
  #decrease(factor: number, slice: number): void {
    const value = Math.min(this.#value, slice);
    if (this.#callsSinceDecrease < value) return;
    this.#callsSinceDecrease = 0;
    this.#value = Math.max(1, value * factor);
  }
}
