/**
 * Where the waiting tasks of one step go: a gang whole or not at all, near its
 * data and in one rack where that matters, on the tightest workers that fit.
 *
 * @module
 */

import type { StartedTask } from "../batch_command.ts";
import type { StepSpec } from "../job_spec.ts";
import {
  countFitting,
  fits,
  isEligible,
  take,
  type WorkerSlot,
} from "./pool_view.ts";

/** What is to be placed. */
export interface PlacementRequest {
  readonly step: StepSpec;
  /** The tasks that wait. */
  readonly indices: readonly number[];
  /** Workers that aren't used for these tasks. */
  readonly avoided?: ReadonlySet<string>;
  /** Tasks of the step on each worker already, for the limit by worker. */
  readonly onWorker: (key: string) => number;
  /** Whether a slower place away from the data is better than waiting. */
  readonly mayLeaveRack: boolean;
}

/** Places tasks on usable slots, and takes what they need. */
export function placeTasks(
  slots: readonly WorkerSlot[],
  request: PlacementRequest,
): StartedTask[] {
  const { step } = request;
  const candidates = slots.filter((slot) =>
    slot.isUsable && isEligible(step, slot.worker) &&
    request.avoided?.has(slot.key) !== true
  );
  const placed = step.isGang
    ? placeGang(candidates, request)
    : placeApart(candidates, request);
  const byKey = new Map(candidates.map((slot) => [slot.key, slot]));
  placed.forEach(({ worker }) => take(byKey.get(worker)!, step.demand));
  return placed;
}

/** Each task by itself; those that don't fit keep waiting. */
function placeApart(
  slots: readonly WorkerSlot[],
  request: PlacementRequest,
): StartedTask[] {
  const { step, indices } = request;
  const { dataRack } = step;
  const home = dataRack === undefined
    ? slots
    : slots.filter((slot) => slot.worker.rack === dataRack);
  const placed = fill(home, request, indices);
  if (dataRack === undefined || !request.mayLeaveRack) {
    return placed;
  }
  const away = slots.filter((slot) => slot.worker.rack !== dataRack);
  return [...placed, ...fill(away, request, indices.slice(placed.length))];
}

/** All tasks in the best group of workers that takes them all, or none. */
function placeGang(
  slots: readonly WorkerSlot[],
  request: PlacementRequest,
): StartedTask[] {
  for (const group of gangGroups(slots, request)) {
    const placed = fill(group, request, request.indices);
    if (placed.length === request.indices.length) {
      return placed;
    }
  }
  return [];
}

/** Groups of workers in the order in which they are tried for a gang. */
function gangGroups(
  slots: readonly WorkerSlot[],
  { step, mayLeaveRack }: PlacementRequest,
): (readonly WorkerSlot[])[] {
  const needsRack = step.prefersOneRack || step.dataRack !== undefined;
  if (!needsRack) {
    return [slots];
  }
  const racks = [...groupByRack(slots).entries()]
    .filter(([rack]) => step.dataRack === undefined || rack === step.dataRack)
    .map(([, group]) => group)
    .sort((a, b) => freeAccelerators(a) - freeAccelerators(b));
  return mayLeaveRack ? [...racks, slots] : racks;
}

/** Slots by rack. */
export function groupByRack(
  slots: readonly WorkerSlot[],
): Map<string, WorkerSlot[]> {
  const racks = new Map<string, WorkerSlot[]>();
  for (const slot of slots) {
    const rack = racks.get(slot.worker.rack) ?? [];
    rack.push(slot);
    racks.set(slot.worker.rack, rack);
  }
  return racks;
}

function freeAccelerators(slots: readonly WorkerSlot[]): number {
  return slots.reduce((sum, slot) => sum + slot.free.accelerators, 0);
}

/** Puts as many tasks as fit on the fullest racks and workers first. */
function fill(
  slots: readonly WorkerSlot[],
  request: PlacementRequest,
  indices: readonly number[],
): StartedTask[] {
  const { step, onWorker } = request;
  const placed: StartedTask[] = [];
  const freeInRack = new Map(
    [...groupByRack(slots)].map(([rack, group]) => [
      rack,
      freeAccelerators(group),
    ]),
  );
  const rackOrder = (a: WorkerSlot, b: WorkerSlot) =>
    freeInRack.get(a.worker.rack)! - freeInRack.get(b.worker.rack)!;
  const fitting = slots
    .filter((slot) => fits(step.demand, slot.free))
    .sort((a, b) =>
      rackOrder(a, b) ||
      a.free.accelerators - b.free.accelerators ||
      a.free.cpuMilli - b.free.cpuMilli ||
      (a.key < b.key ? -1 : 1)
    );
  for (const slot of fitting) {
    const left = indices.length - placed.length;
    const allowed = (step.tasksPerWorkerLimit ?? Infinity) -
      onWorker(slot.key);
    const count = countFitting(step.demand, slot.free, Math.min(left, allowed));
    for (let taken = 0; taken < count; taken++) {
      placed.push({ index: indices[placed.length]!, worker: slot.key });
    }
  }
  return placed;
}
