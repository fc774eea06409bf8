/**
 * Fits straight lines to measured points.
 *
 * @module
 */

/** A line: the value added per unit of size, and the value at size 0. */
export interface Line {
  readonly slope: number;
  readonly base: number;
}

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** Least-squares fit of a line to the points. */
export function fitLine(points: readonly Point[]): Line {
  const meanSize = meanOf(points.map(({ size }) => size));
  const meanValue = meanOf(points.map(({ value }) => value));
  let products = 0;
  let squares = 0;
  for (const { size, value } of points) {
    products += (size - meanSize) * (value - meanValue);
    squares += (size - meanSize) ** 2;
  }
  const slope = squares === 0 ? 0 : products / squares;
  return {
    slope: rounded(slope),
    base: rounded(meanValue - slope * meanSize),
  };
}

/** Rounds to three decimals. */
export function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
