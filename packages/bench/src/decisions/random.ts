/**
 * Seeded random numbers for the simulation.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A stream of random numbers that is the same in every run. */
export interface Random {
  /** Uniform in [0, 1). */
  getUniform(): number;
  /** Exponential with the given mean. */
  getExponential(mean: number): number;
  /** Log-normal with mean 1 and the given deviation of its logarithm. */
  getLogNormal(sigma: number): number;
}

/**
 * Creates a stream of random numbers.
 *
 * @param seed Any whole number.
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const getUniform = () => uniformFloat64(generator);
  return {
    getUniform,
    getExponential: (mean) => -Math.log(1 - getUniform()) * mean,
    getLogNormal(sigma) {
      if (sigma === 0) return 1;
      const radius = Math.sqrt(-2 * Math.log(1 - getUniform()));
      const normal = radius * Math.cos(2 * Math.PI * getUniform());
      return Math.exp(sigma * normal - sigma * sigma / 2);
    },
  };
}
