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

  /** Tells whether a new sample is due; cheap, for it is asked per call. */
  isDue(now: number): boolean {
    const newest = this.#samples[this.#samples.length - 1];
    return !newest || now - newest.at >= this.#lagMs / SAMPLES_PER_LAG;
  }

  /** Adds a sample and drops those that nobody will see again. */
  add(sample: LoadSample): void {
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
