/**
 * Measures the heap that a state takes.
 *
 * @module
 */

import process from "node:process";
import { fitLine, type Line, type Point } from "./fit.ts";

/** Measurements of several sizes, and the line fitted to them. */
export interface Series {
  readonly points: readonly Point[];
  readonly line: Line;
}

/** Heap bytes in use after two garbage collections, array buffers included. */
export function bytesInUse(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/**
 * Builds a state of each size and measures its heap in bytes. The first size is
 * built once more as a warm-up, whose measurement is discarded.
 */
export async function measureHeapBySize(
  sizes: readonly number[],
  build: (size: number) => unknown,
): Promise<Series> {
  const points: Point[] = [];
  for (const size of [sizes[0] ?? 1, ...sizes]) {
    points.push({ size, value: measureHeap(() => build(size)) });
    await new Promise((resolve) => setImmediate(resolve));
  }
  points.shift();
  return { points, line: fitLine(points) };
}

function measureHeap(build: () => unknown): number {
  const before = bytesInUse();
  const retained = [build()];
  const after = bytesInUse();
  retained.length = 0;
  return after - before;
}
