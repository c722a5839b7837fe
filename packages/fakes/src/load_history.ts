/**
 * Load reports that lag.
 *
 * @module
 */

/** Load at one moment. */
export interface LoadSample {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  readonly state: "cold" | "warm" | "leaving";
}

/** Samples within the lag are this many, so the history stays short. */
const SAMPLES_PER_LAG = 8;

/** Remembers load for as long as reports lag. */
export class LoadHistory {
  readonly #lagMs: number;
  readonly #samples: LoadSample[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /**
   * Adds a sample and drops those that nobody will see again. A sample right
   * after another replaces it, so that the last state before a quiet time is
   * always there.
   */
  add(sample: LoadSample): void {
    const newest = this.#samples[this.#samples.length - 1];
    if (newest && sample.at - newest.at < this.#lagMs / SAMPLES_PER_LAG) {
      this.#samples.pop();
      this.#samples.push({ ...sample, at: newest.at });
      return;
    }
    this.#samples.push(sample);
    const seenUpTo = sample.at - this.#lagMs;
    while (this.#samples.length > 1 && this.#samples[1].at <= seenUpTo) {
      this.#samples.shift();
    }
  }

  /** Gives the newest sample that is at least as old as the lag. */
  getLagged(now: number): LoadSample {
    const seenUpTo = now - this.#lagMs;
    return this.#samples.findLast((sample) => sample.at <= seenUpTo) ??
      this.#samples[0];
  }
}
