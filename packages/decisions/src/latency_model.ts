/**
 * Learned latency of calls by stage and size of work.
 *
 * @module
 */
import type { StageSpec } from "@sardinestep/types";

/** Weight of a new sample: about the last twenty calls count. */
const SMOOTHING = 0.05;
/** A stalled call counts at most so many times what was expected. */
const MAX_RATIO = 4;
/** Relative spread that is assumed before any call was measured. */
const INITIAL_DEVIATION = 0.3;
/** Mean absolute deviations above the mean that about 95% of calls stay under. */
const SAFE_DEVIATIONS = 2;
/** Calls after which a class of sizes stands for itself. */
const MIN_SAMPLES = 5;

interface Estimate {
  /** Milliseconds for each unit of size. */
  unitMs: number;
  samples: number;
}

/**
 * Latency of one stage. Sizes fall into classes by powers of two, for time
 * need not be proportional to size.
 */
export class StageLatency {
  readonly #all: Estimate;
  readonly #bySize = new Map<number, Estimate>();
  #deviation = INITIAL_DEVIATION;

  constructor(expectedMs: number) {
    this.#all = { unitMs: expectedMs, samples: 0 };
  }

  /** Mean time of a call in milliseconds. */
  getExpected(size: number): number {
    const estimate = this.#bySize.get(getSizeClass(size));
    const isLearned = estimate !== undefined && estimate.samples >= MIN_SAMPLES;
    return size * (isLearned ? estimate.unitMs : this.#all.unitMs);
  }

  /** Time in milliseconds that about 95% of calls stay under. */
  getSafe(size: number): number {
    return this.getExpected(size) * (1 + SAFE_DEVIATIONS * this.#deviation);
  }

  /** Takes in a finished call. */
  record(size: number, elapsedMs: number): void {
    const expected = this.getExpected(size);
    const ratio = Math.min(MAX_RATIO, elapsedMs / Math.max(expected, 0.001));
    const unitMs = ratio * expected / size;
    this.#deviation += SMOOTHING * (Math.abs(ratio - 1) - this.#deviation);
    updateEstimate(this.#all, unitMs);
    const sizeClass = getSizeClass(size);
    const known = this.#bySize.get(sizeClass);
    if (known) updateEstimate(known, unitMs);
    else this.#bySize.set(sizeClass, { unitMs, samples: 1 });
  }
}

function getSizeClass(size: number): number {
  return Math.floor(Math.log2(Math.max(size, 0.001)));
}

function updateEstimate(estimate: Estimate, unitMs: number): void {
  estimate.samples += 1;
  const weight = Math.max(SMOOTHING, 1 / (estimate.samples + 1));
  estimate.unitMs += weight * (unitMs - estimate.unitMs);
}

/** Latencies of all stages. */
export class LatencyModel {
  readonly #byName = new Map<string, StageLatency>();
  /** Spares the hot path from building names. */
  readonly #bySpec = new WeakMap<StageSpec, StageLatency>();

  /** Gives a stage's latency; configured time is the start. */
  getStage(spec: StageSpec): StageLatency {
    const known = this.#bySpec.get(spec);
    if (known) return known;
    const name = `${spec.service}/${spec.name}`;
    const latency = this.#byName.get(name) ?? new StageLatency(spec.expectedMs);
    this.#byName.set(name, latency);
    this.#bySpec.set(spec, latency);
    return latency;
  }
}
