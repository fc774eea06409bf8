/**
 * Straight lines through measured points.
 *
 * @module
 */

/** A line: what one unit of the size adds, and what is there at none. */
export interface Line {
  readonly slope: number;
  readonly base: number;
}

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** The line with the least squared distances to the points. */
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

/** To three decimals. */
export function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
