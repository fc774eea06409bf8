/**
 * Chooses workers for the waiting tasks of one step: all tasks of a gang or
 * none, in the data's rack or in one rack where the step prefers that, and on
 * the workers with the least free capacity that fit.
 *
 * @module
 */

import type { StartedTask } from "../batch_command.ts";
import type { StepSpec } from "../job_spec.ts";
import {
  allocate,
  countFitting,
  fits,
  isEligible,
  type WorkerSlot,
} from "./pool_view.ts";
import { type SpeedGroupOptions, speedGroups } from "./speed_preference.ts";

/** The tasks to place, and where they may go. */
export interface PlacementRequest {
  readonly step: StepSpec;
  /** Indices of the waiting tasks. */
  readonly indices: readonly number[];
  /** Workers that must not be used for these tasks. */
  readonly avoided?: ReadonlySet<string>;
  /** How many of the step's tasks run on a worker; counts toward its limit. */
  readonly onWorker: (key: string) => number;
  /**
   * Whether tasks may go outside the data's rack, or a gang to several racks.
   */
  readonly mayUseOtherRacks: boolean;
  /** Absent to treat all workers alike, whatever their speeds. */
  readonly speeds?:
    & Pick<SpeedGroupOptions, "need" | "rules">
    & Required<Pick<SpeedGroupOptions, "pool">>;
}

/** Places tasks on usable slots, and allocates their demand there. */
export function placeTasks(
  slots: readonly WorkerSlot[],
  request: PlacementRequest,
): StartedTask[] {
  const { step } = request;
  const isCandidate = (slot: WorkerSlot) =>
    slot.isUsable && isEligible(step, slot.worker) &&
    request.avoided?.has(slot.key) !== true;
  const candidates = slots.filter(isCandidate);
  const { speeds, indices, mayUseOtherRacks } = request;
  const tasks = indices.length;
  const groups = speeds === undefined ? [candidates] : speedGroups(candidates, {
    ...speeds,
    pool: speeds.pool === slots ? candidates : speeds.pool.filter(isCandidate),
    step,
    tasks,
    mayUseOtherRacks,
  });
  const placed = step.isGang
    ? placeGang(groups, request)
    : placeIndependently(groups, request);
  const byKey = new Map(candidates.map((slot) => [slot.key, slot]));
  placed.forEach(({ worker }) => {
    const slot = byKey.get(worker)!;
    allocate(slot, step.demand);
    slot.startsLeft -= 1;
  });
  return placed;
}

/** Places each task independently; those that don't fit keep waiting. */
function placeIndependently(
  groups: readonly (readonly WorkerSlot[])[],
  request: PlacementRequest,
): StartedTask[] {
  const { step, indices, mayUseOtherRacks } = request;
  const { dataRack } = step;
  const isAtData = ({ worker }: WorkerSlot) =>
    dataRack === undefined || worker.rack === dataRack;
  const placed: StartedTask[] = [];
  const place = (slots: readonly WorkerSlot[]) => {
    placed.push(...fill(slots, request, indices.slice(placed.length)));
  };
  groups.forEach((group) => place(group.filter(isAtData)));
  if (dataRack !== undefined && mayUseOtherRacks) {
    groups.forEach((group) => place(group.filter((slot) => !isAtData(slot))));
  }
  return placed;
}

/**
 * Places all tasks on the first group of workers that fits them, or none. A gang
 * on slow workers of one rack is still faster than one in several racks.
 */
function placeGang(
  groups: readonly (readonly WorkerSlot[])[],
  request: PlacementRequest,
): StartedTask[] {
  const inOrder = [
    ...groups.flatMap((slots) => gangGroups(slots, request)),
    ...request.mayUseOtherRacks && prefersRack(request.step) ? groups : [],
  ];
  for (const group of inOrder) {
    const placed = fill(group, request, request.indices);
    if (placed.length === request.indices.length) {
      return placed;
    }
  }
  return [];
}

function prefersRack({ prefersOneRack, dataRack }: StepSpec): boolean {
  return prefersOneRack || dataRack !== undefined;
}

/** The racks for a gang, the fullest first; all workers if it prefers none. */
function gangGroups(
  slots: readonly WorkerSlot[],
  { step }: PlacementRequest,
): (readonly WorkerSlot[])[] {
  if (!prefersRack(step)) {
    return [slots];
  }
  return [...groupByRack(slots).entries()]
    .filter(([rack]) => step.dataRack === undefined || rack === step.dataRack)
    .map(([, group]) => group)
    .sort((a, b) => freeAccelerators(a) - freeAccelerators(b));
}

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

/** Places as many tasks as fit, on the fullest racks and workers first. */
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
    .filter((slot) => slot.startsLeft > 0 && fits(step.demand, slot.free))
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
    // A gang can't be started in parts.
    const starts = step.isGang ? Infinity : slot.startsLeft;
    const count = countFitting(
      step.demand,
      slot.free,
      Math.min(left, allowed, starts),
    );
    for (let taken = 0; taken < count; taken++) {
      placed.push({ index: indices[placed.length]!, worker: slot.key });
    }
  }
  return placed;
}
