/**
 * Random service times with a long tail.
 *
 * @module
 */

import type { RandomSource } from "../../src/base/mod.ts";

/** Draws from a log-normal distribution with the given mean. */
export class ServiceTimes {
  readonly #random: RandomSource;
  readonly #meanMs: number;
  readonly #spread: number;

  /**
   * `spread` is the standard deviation of the logarithm. With 0 every time
   * equals the mean; 0.5 is usual.
   */
  constructor(
    options: { random: RandomSource; meanMs: number; spread: number },
  ) {
    this.#random = options.random;
    this.#meanMs = options.meanMs;
    this.#spread = options.spread;
  }

  next(): number {
    const spread = this.#spread;
    return this.#meanMs * Math.exp(spread * this.#normal() - spread ** 2 / 2);
  }

  #normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#random.nextUnit()));
    return radius * Math.cos(2 * Math.PI * this.#random.nextUnit());
  }
}
