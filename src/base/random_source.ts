/**
 * Random numbers, injected and seeded so that runs can be reproduced.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers. */
export interface RandomSource {
  /** An integer from 0 up to, but not including, `bound`. */
  nextInt(bound: number): number;
  /** A number from 0 up to, but not including, 1. */
  nextUnit(): number;
}

const UNIT_STEPS = 2 ** 31;

/** Random numbers from `pure-rand`; equal seeds give equal sequences. */
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
