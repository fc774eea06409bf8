/**
 * The heap that a state takes.
 *
 * @module
 */

import process from "node:process";
import { fitLine, type Line, type Point } from "./fit.ts";

/** Points of several sizes, and the line through them. */
export interface Series {
  readonly points: readonly Point[];
  readonly line: Line;
}

/** Bytes in use, buffers included, after two collections. */
export function heldBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Builds a state of each size and weighs it; the first is built twice. */
export async function weighSizes(
  sizes: readonly number[],
  build: (size: number) => unknown,
): Promise<Series> {
  const points: Point[] = [];
  for (const size of [sizes[0] ?? 1, ...sizes]) {
    points.push({ size, value: weigh(() => build(size)) });
    await new Promise((resolve) => setImmediate(resolve));
  }
  points.shift();
  return { points, line: fitLine(points) };
}

function weigh(build: () => unknown): number {
  const before = heldBytes();
  const kept = [build()];
  const after = heldBytes();
  kept.length = 0;
  return after - before;
}
