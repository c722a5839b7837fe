/**
 * Seeded random number generator.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns numbers in [0, 1), the same sequence for the same seed. */
export type RandomSource = () => number;

/** Creates a random source from a seed. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
