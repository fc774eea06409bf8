/**
 * Measures how often the greedy packing of guaranteed shapes rejects shapes
 * that a full search can place, and how often a check that only counts
 * accelerators would accept shapes that can't be placed.
 *
 *     node dist/bench/configuration/packing_completeness.js
 *
 * @module
 */

import process from "node:process";
import { SeededRandom } from "../../src/base/random_source.ts";
import {
  compareShapes,
  type PackingRack,
  packShape,
  type Shape,
} from "../../src/version/document/guarantee_packing.ts";

const CASES = 5_000;
const SEED = 11;

/** The most steps of one full search; a case that needs more is left out. */
const SEARCH_LIMIT = 200_000;

const random = new SeededRandom({ seed: SEED });

function drawInt(least: number, most: number): number {
  return least + random.nextInt(most - least + 1);
}

interface PackingCase {
  readonly racks: number[][];
  readonly shapes: Shape[];
}

/**
 * Draws 2 to 4 racks of 2 to 4 workers with 8 accelerators each, and up to 12
 * shapes that together use at most a random 50 to 100 % of the accelerators.
 */
function makeCase(): PackingCase {
  const racks = Array.from(
    { length: drawInt(2, 4) },
    () => Array<number>(drawInt(2, 4)).fill(8),
  );
  const total = racks.flat().length * 8;
  const targetAccelerators = total * (0.5 + random.nextUnit() * 0.5);
  const shapes: Shape[] = [];
  for (let requested = 0; shapes.length < 12;) {
    const shape = {
      racks: drawInt(1, 2),
      workersPerRack: drawInt(1, 3),
      acceleratorsPerWorker: [2, 4, 8][drawInt(0, 2)] ?? 8,
    };
    requested += shape.racks * shape.workersPerRack *
      shape.acceleratorsPerWorker;
    if (requested > targetAccelerators) {
      break;
    }
    shapes.push(shape);
  }
  return { racks, shapes: shapes.sort(compareShapes) };
}

function isPackedGreedily({ racks, shapes }: PackingCase): boolean {
  const free: PackingRack<undefined>[] = racks.map((rack) =>
    rack.map((accelerators) => ({ item: undefined, accelerators }))
  );
  return shapes.every((shape) => packShape(free, shape) !== undefined);
}

/** Yields every combination of `count` items. */
function* combinations<T>(items: readonly T[], count: number): Iterable<T[]> {
  if (count === 0) {
    yield [];
    return;
  }
  for (let at = 0; at + count <= items.length; at++) {
    for (const rest of combinations(items.slice(at + 1), count - 1)) {
      yield [items[at] as T, ...rest];
    }
  }
}

class FullSearch {
  steps = 0;

  constructor(readonly racks: number[][]) {}

  /** Whether all shapes fit; undefined if the search reached its limit. */
  fits(shapes: readonly Shape[]): boolean | undefined {
    const [shape, ...rest] = shapes;
    if (shape === undefined) {
      return true;
    }
    const indexes = this.racks.map((_, index) => index);
    for (const chosen of combinations(indexes, shape.racks)) {
      const result = this.#place(shape, chosen, rest);
      if (result !== false) {
        return result;
      }
    }
    return false;
  }

  #place(
    shape: Shape,
    [rack, ...others]: readonly number[],
    rest: readonly Shape[],
  ): boolean | undefined {
    if (this.steps++ > SEARCH_LIMIT) {
      return undefined;
    }
    if (rack === undefined) {
      return this.fits(rest);
    }
    const workers = this.racks[rack] as number[];
    const usable = workers.flatMap((free, index) =>
      free >= shape.acceleratorsPerWorker ? [index] : []
    );
    for (const taken of combinations(usable, shape.workersPerRack)) {
      this.#allocate(workers, taken, shape.acceleratorsPerWorker);
      const result = this.#place(shape, others, rest);
      this.#allocate(workers, taken, -shape.acceleratorsPerWorker);
      if (result !== false) {
        return result;
      }
    }
    return false;
  }

  #allocate(workers: number[], taken: readonly number[], count: number): void {
    for (const index of taken) {
      workers[index] = (workers[index] ?? 0) - count;
    }
  }
}

const counts = { fit: 0, greedy: 0, misfit: 0, leftOut: 0 };
for (let at = 0; at < CASES; at++) {
  const testCase = makeCase();
  const isGreedy = isPackedGreedily(testCase);
  const fits = isGreedy || new FullSearch(testCase.racks).fits(testCase.shapes);
  if (fits === undefined) {
    counts.leftOut++;
  } else if (fits) {
    counts.fit++;
    counts.greedy += isGreedy ? 1 : 0;
  } else {
    counts.misfit++;
  }
}
process.stdout.write(
  JSON.stringify({
    cases: CASES,
    seed: SEED,
    ...counts,
    greedyAcceptsOfFitting: Number((counts.greedy / counts.fit).toFixed(4)),
    countAloneWouldAcceptMisfits: counts.misfit,
  }) + "\n",
);
