/**
 * Seeded random numbers.
 *
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Gives numbers from 0 up to 1, the same for the same seed. */
export type RandomSource = () => number;

/** Creates a source from a seed. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
