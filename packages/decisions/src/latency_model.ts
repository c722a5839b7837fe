/**
 * Learned latency of calls by stage and size of work.
 *
 * @module
 */
import type { StageSpec } from "@sardinestep/types";

/** Weight of a new sample; averages over about the last twenty calls. */
const SMOOTHING_FACTOR = 0.05;
/** Maximum ratio of measured to expected time; a stalled call counts less. */
const MAX_SAMPLE_RATIO = 4;
/** Relative mean absolute deviation assumed before the first sample. */
const INITIAL_DEVIATION = 0.3;
/** Mean absolute deviations from the mean to about the 95th percentile. */
const P95_DEVIATIONS = 2;
/** Samples after which a size class has its own estimate. */
const MIN_SAMPLES = 5;

interface Estimate {
  /** Milliseconds per unit of size. */
  msPerUnit: number;
  samples: number;
}

/**
 * Latency of one stage. Sizes are grouped into classes by powers of two, since
 * time is not necessarily proportional to size.
 */
export class StageLatency {
  readonly #allSizes: Estimate;
  readonly #bySize = new Map<number, Estimate>();
  #deviation = INITIAL_DEVIATION;

  constructor(expectedMs: number) {
    this.#allSizes = { msPerUnit: expectedMs, samples: 0 };
  }

  /** Returns the mean time of a call in milliseconds. */
  getMeanMs(size: number): number {
    const estimate = this.#bySize.get(getSizeClass(size));
    const isLearned = estimate !== undefined && estimate.samples >= MIN_SAMPLES;
    return size * (isLearned ? estimate.msPerUnit : this.#allSizes.msPerUnit);
  }

  /** Returns the estimated 95th percentile of the time in milliseconds. */
  getP95Ms(size: number): number {
    return this.getMeanMs(size) * (1 + P95_DEVIATIONS * this.#deviation);
  }

  /** Records a finished call. */
  record(size: number, elapsedMs: number): void {
    const expected = this.getMeanMs(size);
    const ratio = Math.min(
      MAX_SAMPLE_RATIO,
      elapsedMs / Math.max(expected, 0.001),
    );
    const msPerUnit = ratio * expected / size;
    this.#deviation += SMOOTHING_FACTOR *
      (Math.abs(ratio - 1) - this.#deviation);
    updateEstimate(this.#allSizes, msPerUnit);
    const sizeClass = getSizeClass(size);
    const existing = this.#bySize.get(sizeClass);
    if (existing) updateEstimate(existing, msPerUnit);
    else this.#bySize.set(sizeClass, { msPerUnit, samples: 1 });
  }
}

function getSizeClass(size: number): number {
  return Math.floor(Math.log2(Math.max(size, 0.001)));
}

function updateEstimate(estimate: Estimate, msPerUnit: number): void {
  estimate.samples += 1;
  const weight = Math.max(SMOOTHING_FACTOR, 1 / (estimate.samples + 1));
  estimate.msPerUnit += weight * (msPerUnit - estimate.msPerUnit);
}

/** Latencies of all stages. */
export class LatencyModel {
  readonly #byName = new Map<string, StageLatency>();
  /** Avoids building names on the hot path. */
  readonly #bySpec = new WeakMap<StageSpec, StageLatency>();

  /** Returns the latency of a stage, initially its configured expected time. */
  getStage(spec: StageSpec): StageLatency {
    const cached = this.#bySpec.get(spec);
    if (cached) return cached;
    const name = `${spec.service}/${spec.name}`;
    const latency = this.#byName.get(name) ?? new StageLatency(spec.expectedMs);
    this.#byName.set(name, latency);
    this.#bySpec.set(spec, latency);
    return latency;
  }
}
