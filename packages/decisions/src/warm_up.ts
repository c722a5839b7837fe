/**
 * Concurrency limit of an endpoint that is warming up.
 *
 * @module
 */

/**
 * Finished calls per increase of the limit by one. Caches fill and batches grow
 * with calls, not with time; at four calls per step an engine with eight slots
 * reaches its full load after about thirty calls.
 */
const CALLS_PER_STEP = 4;

/**
 * A concurrency limit that grows with finished calls.
 *
 * After a restart or an outage an endpoint is cold and idle, so load-based
 * policies prefer it. At full load at once it would fail, and its work would
 * return to the other endpoints.
 */
export class WarmUp {
  #limit = Infinity;
  #finishedCalls = 0;

  /** Allowed concurrent calls; infinite when the endpoint is not warming up. */
  get limit(): number {
    return this.#limit;
  }

  /** Restarts the warm-up at a limit. */
  start(limit: number): void {
    this.#limit = limit;
    this.#finishedCalls = 0;
  }

  /** Removes the limit. */
  stop(): void {
    this.#limit = Infinity;
  }

  /** Records a finished call. */
  recordFinish(): void {
    if (this.#limit === Infinity) return;
    this.#finishedCalls += 1;
    if (this.#finishedCalls < CALLS_PER_STEP) return;
    this.#finishedCalls = 0;
    this.#limit += 1;
  }
}
