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

/** How many tasks of a gang each worker takes. */
export type Block = ReadonlyMap<WorkerState, number>;

/** What a block must hold. */
export interface BlockRequest {
  readonly tasks: number;
  readonly need: Readonly<Amounts>;
  readonly adjacency: "any" | "rack" | "worker";
  /** Workers to leave alone. */
  readonly avoided: ReadonlySet<WorkerId>;
  /** Whether workers that are promised to guarantees are left alone. */
  readonly isOffPromises?: boolean;
}

/** What a worker has for the request. */
export type RoomOf = (worker: WorkerState) => Readonly<Amounts>;

/** Like workers are compared before the one in the fullest rack is taken. */
const WORKERS_COMPARED = 8;

interface WorkerFit {
  readonly worker: WorkerState;
  readonly fitting: number;
}

/** What a job asks of a block. */
export function requestOf(job: JobState): BlockRequest {
  return {
    tasks: job.specification.tasks,
    need: job.need,
    adjacency: job.specification.adjacency,
    avoided: job.failedOn,
  };
}

/** The tightest block that is free now, by the index. */
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
  for (const rack of index.racksFrom(accelerators)) {
    const block = fillRack(rack.workers, request, { roomOf });
    if (block !== undefined) {
      return block;
    }
  }
  return request.adjacency === "any"
    ? fillRacks(workersOf(index.racksDown()), request, { roomOf })
    : undefined;
}

/** The tightest block among a few racks, with rooms as given. */
export function findBlockAmong(
  racks: readonly (readonly WorkerState[])[],
  request: BlockRequest,
  options: { readonly roomOf: RoomOf },
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

/** A block within one rack; `preferenceOf` says which workers go first. */
export function fillRack(
  workers: readonly WorkerState[],
  request: BlockRequest,
  options: {
    readonly roomOf: RoomOf;
    readonly preferenceOf?: (worker: WorkerState) => number;
  },
): Block | undefined {
  const fits: WorkerFit[] = [];
  let total = 0;
  for (const worker of workers) {
    const fitting = fitOf(worker, request, options.roomOf);
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
  return take(fits, request.tasks);
}

/** A block over several racks, as few as the order given allows. */
export function fillRacks(
  racks: Iterable<readonly WorkerState[]>,
  request: BlockRequest,
  options: { readonly roomOf: RoomOf },
): Block | undefined {
  const fits: WorkerFit[] = [];
  let total = 0;
  for (const workers of racks) {
    for (const worker of workers) {
      const fitting = fitOf(worker, request, options.roomOf);
      if (fitting > 0) {
        fits.push({ worker, fitting });
        total += fitting;
      }
    }
    if (total >= request.tasks) {
      return take(fits, request.tasks);
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
    const worker of index.workersFrom(request.need.accelerators * request.tasks)
  ) {
    if (best !== undefined && worker.indexedFree > best.indexedFree) {
      break;
    }
    if (
      worker.isPlaceable && fitOf(worker, request, roomOf) >= request.tasks
    ) {
      const isFuller = best === undefined ||
        worker.rack.freeAccelerators < best.rack.freeAccelerators;
      best = isFuller ? worker : best;
      compared += 1;
      if (compared >= WORKERS_COMPARED) {
        break;
      }
    }
  }
  return best === undefined ? undefined : new Map([[best, request.tasks]]);
}

function tightestWorker(
  workers: readonly WorkerState[],
  request: BlockRequest,
  options: { readonly roomOf: RoomOf },
): Block | undefined {
  let best: WorkerFit | undefined;
  for (const worker of workers) {
    const fitting = fitOf(worker, request, options.roomOf);
    const isBetter = fitting >= request.tasks &&
      (best === undefined || fitting < best.fitting);
    best = isBetter ? { worker, fitting } : best;
  }
  return best === undefined
    ? undefined
    : new Map([[best.worker, request.tasks]]);
}

function take(fits: readonly WorkerFit[], tasks: number): Block {
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
  options: { readonly roomOf: RoomOf },
): number {
  let total = 0;
  for (const worker of workers) {
    total += fitOf(worker, request, options.roomOf);
  }
  return total;
}

function fitOf(
  worker: WorkerState,
  request: BlockRequest,
  roomOf: RoomOf,
): number {
  const isLeftAlone = request.avoided.has(worker.workerId) ||
    (request.isOffPromises === true && worker.promised.accelerators > 0);
  if (isLeftAlone) {
    return 0;
  }
  const fitting = tasksFitting(roomOf(worker), request.need);
  const isTooWide = worker.status === WorkerStatus.probing &&
    fitting < request.tasks;
  return isTooWide ? 0 : fitting;
}

const NO_ROOM: Readonly<Amounts> = {
  milliCores: 0,
  memoryBytes: 0,
  accelerators: 0,
};

function roomOf(worker: WorkerState): Readonly<Amounts> {
  return worker.isPlaceable ? worker.room() : NO_ROOM;
}

function* workersOf(
  racks: Iterable<RackState>,
): Iterable<readonly WorkerState[]> {
  for (const rack of racks) {
    yield rack.workers;
  }
}
