/**
 * How long a figure of an endpoint's speed remains valid, learned from pairs of
 * figures of the same endpoint.
 *
 * @module
 */

/** Upper bounds of the ages of pairs that are counted together, in milliseconds. */
const AGE_BOUNDS_MS = [50, 100, 200, 400, 800, 1_600, 3_200, 6_400] as const;
/** Age from which a figure says nothing, in milliseconds. */
export const MAX_EVIDENCE_AGE_MS = AGE_BOUNDS_MS[AGE_BOUNDS_MS.length - 1]!;
/** Ratio up to which two figures agree: smaller changes don't alter a placement. */
const AGREEMENT_RATIO = 1.2;
/**
 * Time constant assumed before any pair is observed, in milliseconds: the mean
 * remaining time of slow periods of 0.6 s.
 */
const ASSUMED_DECAY_MS = 300;
/** Factor by which the assumption may be wrong, as its standard deviation. */
const ASSUMED_FACTOR = 4;
/** Time constants that are compared, in milliseconds. */
const DECAYS_MS = Array.from({ length: 19 }, (_, i) => 25 * 2 ** (i / 2));
/** Pairs after which earlier ones are halved, so that new behaviour is learned. */
const MAX_PAIRS = 256;
/** Pairs between two estimates: one takes some 300 logarithms. */
const PAIRS_PER_ESTIMATE = 32;
/** Bound of probabilities, so that one pair can't rule out a time constant. */
const MIN_PROBABILITY = 0.02;

/** Whether two multiples of the usual time are equal for a placement. */
export function isSameSpeed(left: number, right: number): boolean {
  return Math.max(left, right) <= Math.min(left, right) * AGREEMENT_RATIO;
}

class AgreementCount {
  pairs = 0;
  agreeing = 0;
  #ageSum = 0;

  get meanAgeMs(): number {
    return this.#ageSum / this.pairs;
  }

  record(ageMs: number, isAgreeing: boolean): void {
    this.pairs += 1;
    this.#ageSum += ageMs;
    if (isAgreeing) this.agreeing += 1;
    if (this.pairs < MAX_PAIRS) return;
    this.pairs /= 2;
    this.agreeing /= 2;
    this.#ageSum /= 2;
  }
}

/**
 * Learns by age how much a figure still says about the present.
 *
 * The share of agreeing pairs is modelled as an exponential decay from 1 to the
 * share that agrees by chance; the most likely time constant is kept.
 */
export class EvidenceDecay {
  readonly #byAge = AGE_BOUNDS_MS.map(() => new AgreementCount());
  /** Pairs of different endpoints: agreement by chance. */
  readonly #unrelated = new AgreementCount();
  #decayMs = ASSUMED_DECAY_MS;
  #newPairs = 0;

  /** Time constant of the decay, in milliseconds. */
  get decayMs(): number {
    return this.#decayMs;
  }

  /**
   * Records two figures of one endpoint, of which the earlier one was unusual:
   * usual figures agree at any age and say nothing about the decay.
   *
   * @param ageMs Time between them.
   */
  recordPair(ageMs: number, isAgreeing: boolean): void {
    const index = AGE_BOUNDS_MS.findIndex((bound) => ageMs <= bound);
    if (index < 0) return;
    this.#byAge[index]!.record(ageMs, isAgreeing);
    this.#newPairs += 1;
    if (this.#newPairs < PAIRS_PER_ESTIMATE) return;
    this.#newPairs = 0;
    this.#decayMs = this.#pickDecay();
  }

  /** Records an unusual figure and the next one of another endpoint. */
  recordUnrelated(isAgreeing: boolean): void {
    this.#unrelated.record(0, isAgreeing);
  }

  /**
   * Returns the weight of a figure against the mean of all.
   *
   * @param ageMs Age of the figure, in milliseconds.
   * @returns 1 for a new figure, near 0 for one that says nothing.
   * @example
   * ```ts
   * const estimate = mean + decay.getWeight(ageMs) * (reported - mean);
   * ```
   */
  getWeight(ageMs: number): number {
    return Math.exp(-Math.max(0, ageMs) / this.#decayMs);
  }

  #pickDecay(): number {
    const { pairs, agreeing } = this.#unrelated;
    const chance = agreeing / (pairs + 1);
    const counts = this.#byAge.filter((count) => count.pairs > 0);
    let best = ASSUMED_DECAY_MS;
    let bestLikelihood = -Infinity;
    for (const decayMs of DECAYS_MS) {
      const likelihood = getAssumedLikelihood(decayMs) +
        counts.reduce(
          (sum, count) => sum + getLikelihood(count, decayMs, chance),
          0,
        );
      if (likelihood <= bestLikelihood) continue;
      best = decayMs;
      bestLikelihood = likelihood;
    }
    return best;
  }
}

/** Returns the logarithm of the likelihood of a time constant before any pair. */
function getAssumedLikelihood(decayMs: number): number {
  const factor = Math.log(decayMs / ASSUMED_DECAY_MS) /
    Math.log(ASSUMED_FACTOR);
  return -(factor ** 2) / 2;
}

/** Returns the logarithm of the likelihood of some pairs for a time constant. */
function getLikelihood(
  count: AgreementCount,
  decayMs: number,
  chance: number,
): number {
  const weight = Math.exp(-count.meanAgeMs / decayMs);
  const share = Math.min(
    1 - MIN_PROBABILITY,
    Math.max(MIN_PROBABILITY, chance + weight * (1 - chance)),
  );
  return count.agreeing * Math.log(share) +
    (count.pairs - count.agreeing) * Math.log(1 - share);
}
