/**
 * Endpoint time that a piece takes in calls made while others wait.
 *
 * Answers a queue whose calls are not full or whose hosts are slow: with the
 * configured time of full calls, a plan keeps more groups than can be on time.
 *
 * @module
 */

/** Share of the past that remains after each call: the last 20 or so count. */
const DECAY = 0.95;
/**
 * Largest ratio to the time in full calls; calls of a queue were 0.8 full, and hosts
 * are slowed by up to 2.5.
 */
const MAX_RATIO = 3;

/** Measures the time of a piece relative to that in a full call as configured. */
export class PieceWork {
  #workMs = 0;
  #fullCallMs = 0;

  /**
   * Records a call that left groups waiting.
   *
   * @param tookMs Time of the call, in milliseconds.
   * @param fullCallMs Time of its pieces in a full call, in milliseconds.
   */
  record(tookMs: number, fullCallMs: number): void {
    this.#workMs = this.#workMs * DECAY + tookMs;
    this.#fullCallMs = this.#fullCallMs * DECAY + fullCallMs;
  }

  /** Returns the ratio of the measured time to that in a full call; 1 to 3. */
  getRatio(): number {
    if (this.#fullCallMs <= 0) return 1;
    return Math.min(MAX_RATIO, Math.max(1, this.#workMs / this.#fullCallMs));
  }
}
