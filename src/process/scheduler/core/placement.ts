/**
 * Finds the tightest block of workers for a whole gang.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import { type Amounts, tasksFitting } from "./amounts.ts";
import type { JobState } from "./job_state.ts";
import type { RackIndex } from "./rack_index.ts";
import {
  type RackState,
  type WorkerState,
  WorkerStatus,
} from "./worker_state.ts";

/** Number of tasks of a gang on each worker. */
export type Block = ReadonlyMap<WorkerState, number>;

/** What a block must provide. */
export interface BlockRequest {
  readonly tasks: number;
  readonly need: Readonly<Amounts>;
  readonly adjacency: "any" | "rack" | "worker";
  /** Workers to exclude. */
  readonly avoided: ReadonlySet<WorkerId>;
  /** Whether workers assigned to guarantees are excluded. */
  readonly avoidsGuarantees?: boolean;
}

/** The resources that a worker offers for a request. */
export type AvailableOf = (worker: WorkerState) => Readonly<Amounts>;

/** Equally free workers compared to find one in the fullest rack. */
const COMPARED_WORKERS_LIMIT = 8;

interface WorkerFit {
  readonly worker: WorkerState;
  readonly fitting: number;
}

/** The block request of a job. */
export function requestOf(job: JobState): BlockRequest {
  return {
    tasks: job.specification.tasks,
    need: job.need,
    adjacency: job.specification.adjacency,
    avoided: job.failedOn,
  };
}

/** The tightest free block, found with the index. */
export function findFreeBlock(
  index: RackIndex,
  request: BlockRequest,
): Block | undefined {
  const accelerators = request.need.accelerators * request.tasks;
  if (accelerators > index.freeAccelerators) {
    return undefined;
  }
  if (request.adjacency === "worker" || request.tasks === 1) {
    return findFreeWorker(index, request);
  }
  for (const rack of index.racksWithFree(accelerators)) {
    const block = fillRack(rack.workers, request, {
      availableOf: placeableAmounts,
    });
    if (block !== undefined) {
      return block;
    }
  }
  return request.adjacency === "any"
    ? fillRacks(workersOf(index.racksByMostFree()), request, {
      availableOf: placeableAmounts,
    })
    : undefined;
}

/** The tightest block in a few racks, by what `availableOf` offers. */
export function findBlockAmong(
  racks: readonly (readonly WorkerState[])[],
  request: BlockRequest,
  options: { readonly availableOf: AvailableOf },
): Block | undefined {
  if (request.adjacency === "worker" || request.tasks === 1) {
    return tightestWorker(racks.flat(), request, options);
  }
  const byTightness = racks
    .map((workers) => ({
      workers,
      fitting: countFits(workers, request, options),
    }))
    .sort((left, right) => left.fitting - right.fitting);
  for (const { workers, fitting } of byTightness) {
    if (fitting >= request.tasks) {
      return fillRack(workers, request, options);
    }
  }
  const emptiestFirst = byTightness.reverse().map((rack) => rack.workers);
  return request.adjacency === "any"
    ? fillRacks(emptiestFirst, request, options)
    : undefined;
}

/** A block in one rack; workers with a lower `preferenceOf` go first. */
export function fillRack(
  workers: readonly WorkerState[],
  request: BlockRequest,
  options: {
    readonly availableOf: AvailableOf;
    readonly preferenceOf?: (worker: WorkerState) => number;
  },
): Block | undefined {
  const fits: WorkerFit[] = [];
  let total = 0;
  for (const worker of workers) {
    const fitting = fittingTasks(worker, request, options.availableOf);
    if (fitting > 0) {
      fits.push({ worker, fitting });
      total += fitting;
    }
  }
  if (total < request.tasks) {
    return undefined;
  }
  const { preferenceOf } = options;
  fits.sort(
    preferenceOf === undefined
      ? (left, right) => left.fitting - right.fitting
      : (left, right) => preferenceOf(left.worker) - preferenceOf(right.worker),
  );
  return distributeTasks(fits, request.tasks);
}

/** A block over as many of the racks, taken in order, as are needed. */
export function fillRacks(
  racks: Iterable<readonly WorkerState[]>,
  request: BlockRequest,
  options: { readonly availableOf: AvailableOf },
): Block | undefined {
  const fits: WorkerFit[] = [];
  let total = 0;
  for (const workers of racks) {
    for (const worker of workers) {
      const fitting = fittingTasks(worker, request, options.availableOf);
      if (fitting > 0) {
        fits.push({ worker, fitting });
        total += fitting;
      }
    }
    if (total >= request.tasks) {
      return distributeTasks(fits, request.tasks);
    }
  }
  return undefined;
}

function findFreeWorker(
  index: RackIndex,
  request: BlockRequest,
): Block | undefined {
  let best: WorkerState | undefined;
  let compared = 0;
  for (
    const worker of index.workersWithFree(
      request.need.accelerators * request.tasks,
    )
  ) {
    if (best !== undefined && worker.indexedFree > best.indexedFree) {
      break;
    }
    if (
      worker.isPlaceable &&
      fittingTasks(worker, request, placeableAmounts) >= request.tasks
    ) {
      const isFuller = best === undefined ||
        worker.rack.freeAccelerators < best.rack.freeAccelerators;
      best = isFuller ? worker : best;
      compared += 1;
      if (compared >= COMPARED_WORKERS_LIMIT) {
        break;
      }
    }
  }
  return best === undefined ? undefined : new Map([[best, request.tasks]]);
}

function tightestWorker(
  workers: readonly WorkerState[],
  request: BlockRequest,
  options: { readonly availableOf: AvailableOf },
): Block | undefined {
  let best: WorkerFit | undefined;
  for (const worker of workers) {
    const fitting = fittingTasks(worker, request, options.availableOf);
    const isBetter = fitting >= request.tasks &&
      (best === undefined || fitting < best.fitting);
    best = isBetter ? { worker, fitting } : best;
  }
  return best === undefined
    ? undefined
    : new Map([[best.worker, request.tasks]]);
}

function distributeTasks(fits: readonly WorkerFit[], tasks: number): Block {
  const block = new Map<WorkerState, number>();
  let left = tasks;
  for (const { worker, fitting } of fits) {
    if (left === 0) {
      break;
    }
    const taken = Math.min(left, fitting);
    block.set(worker, taken);
    left -= taken;
  }
  return block;
}

function countFits(
  workers: readonly WorkerState[],
  request: BlockRequest,
  options: { readonly availableOf: AvailableOf },
): number {
  let total = 0;
  for (const worker of workers) {
    total += fittingTasks(worker, request, options.availableOf);
  }
  return total;
}

function fittingTasks(
  worker: WorkerState,
  request: BlockRequest,
  availableOf: AvailableOf,
): number {
  const isExcluded = request.avoided.has(worker.workerId) ||
    (request.avoidsGuarantees === true &&
      worker.guaranteeCapacity.accelerators > 0);
  if (isExcluded) {
    return 0;
  }
  const fitting = tasksFitting(availableOf(worker), request.need);
  const needsMoreWorkers = worker.status === WorkerStatus.probing &&
    fitting < request.tasks;
  return needsMoreWorkers ? 0 : fitting;
}

const ZERO_AMOUNTS: Readonly<Amounts> = {
  milliCores: 0,
  memoryBytes: 0,
  accelerators: 0,
};

function placeableAmounts(worker: WorkerState): Readonly<Amounts> {
  return worker.isPlaceable ? worker.available() : ZERO_AMOUNTS;
}

function* workersOf(
  racks: Iterable<RackState>,
): Iterable<readonly WorkerState[]> {
  for (const rack of racks) {
    yield rack.workers;
  }
}
