/**
 * How long work waits for room in one rack, or near its data, before it takes
 * a slower place.
 *
 * For gangs that need a rack which small work fills, on busy days; and for
 * quiet ones, on which nothing should wait beside free workers.
 *
 * @module
 */

import { dueAtMs } from "../job_record.ts";
import type { PoolView } from "./pool_view.ts";
import type { WorkUnit } from "./work_unit.ts";

/** How long a step waits for room near its data, in parts of its estimate. */
const DATA_PATIENCE_FACTOR = 2;

/**
 * While most of the pool is free nothing waits for a rack for longer: a job
 * has to run within 3 s beside free workers (docs/platform_rules.md), and half
 * a second is left for the commit and the order.
 */
const IDLE_RACK_WAIT_MS = 2_500;

/**
 * A slower place is taken when the data's rack is gone or too small, or after
 * a wait as long as the work itself.
 */
export function mayLeaveRack(
  view: PoolView,
  unit: WorkUnit,
  nowMs: number,
): boolean {
  const { spec, queue } = unit;
  if (!spec.prefersOneRack && spec.dataRack === undefined) {
    return true;
  }
  const patienceMs = Math.min(
    spec.estimateMs * DATA_PATIENCE_FACTOR,
    isMostlyFree(view, queue.service) ? IDLE_RACK_WAIT_MS : Infinity,
  );
  if (waitedMs(unit, nowMs) > patienceMs) {
    return true;
  }
  const rooms = new Map<string, number>();
  for (const slot of view.ofService(queue.service)) {
    const { rack, capacity } = slot.worker;
    const counts = slot.isUsable &&
      (spec.dataRack === undefined || rack === spec.dataRack);
    if (counts) {
      const { accelerators, cpuMilli } = spec.demand;
      const tasks = Math.min(
        accelerators === 0 ? Infinity : capacity.accelerators / accelerators,
        cpuMilli === 0 ? Infinity : capacity.cpuMilli / cpuMilli,
      );
      rooms.set(rack, (rooms.get(rack) ?? 0) + Math.floor(tasks));
    }
  }
  const largest = Math.max(0, ...rooms.values());
  return largest < (spec.isGang ? spec.taskCount : 1);
}

/** How long the unit could have started, had there been room. */
export function waitedMs(unit: WorkUnit, nowMs: number): number {
  return nowMs -
    Math.max(unit.job.acceptedAtMs, dueAtMs(unit.job, unit.occurrence));
}

/** Whether at least half of the accelerators that can be used are free. */
function isMostlyFree(view: PoolView, service: string): boolean {
  const { total, free } = view.acceleratorsOf(service);
  return free * 2 >= total;
}
