/**
 * Histogram of durations in which recent samples weigh more.
 *
 * @module
 */

/** Number of buckets; with 4 bytes each, a histogram takes 256 bytes. */
const BUCKETS = 64;
/** Upper bound of the first bucket, in milliseconds. */
const FIRST_BOUND_MS = 20;
/** Ratio of the bounds of adjacent buckets; the last bound is about 8 s. */
const BOUND_RATIO = 1.1;
/**
 * Factor between the weights of consecutive samples. A histogram reflects about the
 * last 32 samples: a 0.8 quantile of fewer is mostly noise, and a VM that gets four
 * requests a second of a route follows a change of load within 8 s.
 */
const WEIGHT_GROWTH = 1 / (1 - 1 / 32);
/** Weight of a sample at which all weights are scaled down. */
const MAX_WEIGHT = 1e6;
/** Samples before a quantile is given; fewer don't bound a 0.8 quantile. */
const MIN_SAMPLES = 8;

/**
 * Counts durations in geometric buckets. Weights decay by sample, not by time, so
 * that a quantile stays known while no sample arrives.
 */
export class DecayedHistogram {
  readonly #weights = new Float32Array(BUCKETS);
  #sampleWeight = 1;
  #samples = 0;

  /** Records a duration in milliseconds; negative ones count as 0. */
  recordMs(durationMs: number): void {
    if (Number.isNaN(durationMs)) return;
    this.#sampleWeight *= WEIGHT_GROWTH;
    this.#weights[getBucket(durationMs)]! += this.#sampleWeight;
    this.#samples = Math.min(MIN_SAMPLES, this.#samples + 1);
    if (this.#sampleWeight < MAX_WEIGHT) return;
    for (let i = 0; i < BUCKETS; i++) this.#weights[i]! /= this.#sampleWeight;
    this.#sampleWeight = 1;
  }

  /**
   * Returns a quantile in milliseconds, interpolated within its bucket.
   *
   * @param quantile Between 0 and 1.
   * @returns Undefined before {@link MIN_SAMPLES} samples.
   */
  getQuantileMs(quantile: number): number | undefined {
    if (this.#samples < MIN_SAMPLES) return undefined;
    const total = this.#weights.reduce((sum, weight) => sum + weight, 0);
    let left = total * quantile;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      const weight = this.#weights[bucket]!;
      if (weight > 0 && left <= weight) {
        const lowMs = bucket === 0 ? 0 : getBoundMs(bucket - 1);
        return lowMs + (getBoundMs(bucket) - lowMs) * left / weight;
      }
      left -= weight;
    }
    return getBoundMs(BUCKETS - 1);
  }
}

function getBoundMs(bucket: number): number {
  return FIRST_BOUND_MS * BOUND_RATIO ** bucket;
}

function getBucket(durationMs: number): number {
  if (durationMs <= FIRST_BOUND_MS) return 0;
  const bucket = Math.ceil(
    Math.log(durationMs / FIRST_BOUND_MS) / Math.log(BOUND_RATIO),
  );
  return Math.min(BUCKETS - 1, bucket);
}
