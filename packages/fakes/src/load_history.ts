/**
 * History of load samples, for reports that lag.
 *
 * @module
 */

/** Load at one point in time. */
export interface LoadSample {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  readonly state: "cold" | "warm" | "leaving";
}

/** Samples kept within the lag, which bounds the history. */
const SAMPLES_PER_LAG = 8;

/** Keeps load samples for as long as reports lag. */
export class LoadHistory {
  readonly #lagMs: number;
  readonly #samples: LoadSample[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /**
   * Adds a sample and drops those that can no longer be reported. A sample
   * shortly after another replaces it, so that the last state before a period
   * without changes is always kept.
   */
  add(sample: LoadSample): void {
    const newest = this.#samples[this.#samples.length - 1];
    if (newest && sample.at - newest.at < this.#lagMs / SAMPLES_PER_LAG) {
      this.#samples.pop();
      this.#samples.push({ ...sample, at: newest.at });
      return;
    }
    this.#samples.push(sample);
    const visibleUntil = sample.at - this.#lagMs;
    while (this.#samples.length > 1 && this.#samples[1].at <= visibleUntil) {
      this.#samples.shift();
    }
  }

  /** Returns the newest sample that is at least as old as the lag. */
  getLagged(now: number): LoadSample {
    const visibleUntil = now - this.#lagMs;
    return this.#samples.findLast((sample) => sample.at <= visibleUntil) ??
      this.#samples[0];
  }
}
