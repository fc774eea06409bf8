/**
 * Decides which workers a unit avoids after failures of its tasks there.
 *
 * @module
 */

import type { TaskRef, WorkerKey } from "../batch_command.ts";
import { placeTasks } from "./placement.ts";
import type { PoolView } from "./pool_view.ts";
import type { WorkUnit } from "./work_unit.ts";

/**
 * Workers on which one of the unit's waiting tasks failed before; none if the
 * other workers couldn't hold any of its tasks, or all tasks of a gang, even
 * when empty.
 */
export function avoidedWorkers(
  view: PoolView,
  unit: WorkUnit,
  input: {
    failedOn: (task: TaskRef) => ReadonlySet<WorkerKey> | undefined;
  },
): ReadonlySet<WorkerKey> {
  const avoided = new Set<WorkerKey>();
  for (const index of unit.waiting) {
    const { job, occurrence, step } = unit;
    const task = { jobId: job.id, occurrence, step, index };
    input.failedOn(task)?.forEach((key) => avoided.add(key));
  }
  if (avoided.size === 0) {
    return avoided;
  }
  const others = view.ofService(unit.queue.service)
    .filter((slot) => slot.isUsable && !avoided.has(slot.key))
    .map((slot) => ({
      ...slot,
      free: { ...slot.worker.capacity },
      startsLeft: Infinity,
    }));
  const placed = placeTasks(others, {
    step: unit.spec,
    indices: unit.waiting,
    onWorker: () => 0,
    mayUseOtherRacks: true,
  });
  return placed.length > 0 ? avoided : new Set();
}
