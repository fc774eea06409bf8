/**
 * Decides how long work waits for capacity in one rack, or in its data's rack,
 * before it may be placed in other racks, where it runs more slowly.
 *
 * On a busy pool the wait lets a gang get a rack that small jobs fill; on a
 * mostly idle pool it is short, so that no job waits while workers are free.
 *
 * @module
 */

import { dueAtMs } from "../job_record.ts";
import type { PoolView } from "./pool_view.ts";
import type { WorkUnit } from "./work_unit.ts";

/** How long a step waits for its rack, as a multiple of its estimate. */
const RACK_WAIT_FACTOR = 2;

/**
 * The longest wait for a rack, or for workers of one speed class, while most of
 * the pool is free: a job has to run
 * within 3 s if workers are free (docs/platform_rules.md), and 0.5 s of that
 * is left for the commit and the start order.
 */
const IDLE_POOL_WAIT_MS = 2_500;

/**
 * Whether a unit may be placed outside its preferred rack: it prefers none, it
 * has waited for longer than its limit, or no rack that it may use is large
 * enough even when empty.
 */
export function mayUseOtherRacks(
  view: PoolView,
  unit: WorkUnit,
  nowMs: number,
): boolean {
  const { spec, queue } = unit;
  if (!spec.prefersOneRack && spec.dataRack === undefined) {
    return true;
  }
  const limitMs = Math.min(
    spec.estimateMs * RACK_WAIT_FACTOR,
    idleWaitLimitMs(view, queue.service),
  );
  if (waitedMs(unit, nowMs) > limitMs) {
    return true;
  }
  const tasksByRack = new Map<string, number>();
  for (const slot of view.ofService(queue.service)) {
    const { rack, capacity } = slot.worker;
    const isCandidate = slot.isUsable &&
      (spec.dataRack === undefined || rack === spec.dataRack);
    if (isCandidate) {
      const { accelerators, cpuMilli, memoryMb } = spec.demand;
      const tasks = Math.min(
        accelerators === 0 ? Infinity : capacity.accelerators / accelerators,
        cpuMilli === 0 ? Infinity : capacity.cpuMilli / cpuMilli,
        memoryMb === 0 ? Infinity : capacity.memoryMb / memoryMb,
      );
      tasksByRack.set(rack, (tasksByRack.get(rack) ?? 0) + Math.floor(tasks));
    }
  }
  const largestRackTasks = Math.max(0, ...tasksByRack.values());
  return largestRackTasks < (spec.isGang ? spec.taskCount : 1);
}

/** Time since the job was accepted and the unit's occurrence was due. */
export function waitedMs(unit: WorkUnit, nowMs: number): number {
  return nowMs -
    Math.max(unit.job.acceptedAtMs, dueAtMs(unit.job, unit.occurrence));
}

/** How long a unit has waited, and may wait for preferred workers. */
export function waitOf(
  view: PoolView,
  unit: WorkUnit,
  nowMs: number,
): { waitedMs: number; waitLimitMs: number } {
  return {
    waitedMs: waitedMs(unit, nowMs),
    waitLimitMs: idleWaitLimitMs(view, unit.queue.service),
  };
}

function idleWaitLimitMs(view: PoolView, service: string): number {
  return isMostlyFree(view, service) ? IDLE_POOL_WAIT_MS : Infinity;
}

/** Whether at least half of the accelerators of usable workers are free. */
function isMostlyFree(view: PoolView, service: string): boolean {
  const { total, free } = view.acceleratorsOf(service);
  return free * 2 >= total;
}
