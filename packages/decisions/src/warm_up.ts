/**
 * How many calls at once an endpoint bears while it warms up.
 *
 * @module
 */

/**
 * Finished calls after which a warming endpoint gets one call more. Its caches
 * fill and its batches grow with calls, not with time; four for each step
 * bring an engine with eight slots to its full load in about thirty calls.
 */
const CALLS_PER_STEP = 4;

/**
 * A bound that grows with finished calls.
 *
 * Made for endpoints that return after a restart or an outage. An idle cold
 * endpoint looks best to every policy by load; given its full load at once it
 * falls over, and its work falls back on the others.
 */
export class WarmUp {
  #bound = Infinity;
  #finished = 0;

  /** Calls at once; infinite when it is not warming. */
  get bound(): number {
    return this.#bound;
  }

  /** Begins again at a bound. */
  start(bound: number): void {
    this.#bound = bound;
    this.#finished = 0;
  }

  /** Lifts the bound. */
  stop(): void {
    this.#bound = Infinity;
  }

  /** Counts a finished call. */
  recordFinish(): void {
    if (this.#bound === Infinity) return;
    this.#finished += 1;
    if (this.#finished < CALLS_PER_STEP) return;
    this.#finished = 0;
    this.#bound += 1;
  }
}
