/**
 * Randomness as the code sees it: passed in and seeded.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded source of random numbers. */
export interface RandomSource {
  /** A whole number from 0 up to, but not including, `bound`. */
  nextInt(bound: number): number;
  /** A number from 0 up to, but not including, 1. */
  nextUnit(): number;
}

const UNIT_STEPS = 2 ** 31;

/** Random numbers by `pure-rand`; the same seed gives the same numbers. */
export class SeededRandom implements RandomSource {
  #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(options: { seed: number }) {
    this.#generator = xoroshiro128plus(options.seed);
  }

  nextInt(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  nextUnit(): number {
    return this.nextInt(UNIT_STEPS) / UNIT_STEPS;
  }
}
