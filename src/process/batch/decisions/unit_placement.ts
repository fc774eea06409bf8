/**
 * Places one waiting unit on the workers of the planner's view.
 *
 * @module
 */

import { avoidedWorkers } from "./avoided_workers.ts";
import { type PlacementRequest, placeTasks } from "./placement.ts";
import type { PlannerInput, StartItem } from "./planner.ts";
import type { PoolView } from "./pool_view.ts";
import { mayUseOtherRacks, waitOf } from "./rack_wait.ts";
import { startSlackMs } from "./slack.ts";
import { SPEED_RULES } from "./speed_preference.ts";
import type { WorkUnit } from "./work_unit.ts";

/** The planner's input for placing one unit. */
export interface PlacementInput extends PlannerInput {
  readonly guaranteedIds: ReadonlySet<string>;
  /** Whether the unit may use other racks even before its wait is over. */
  readonly mayUseOtherRacks: boolean;
}

/** Starts of the unit's tasks that fit, allocated in the view; none if no task does. */
export function placeUnit(
  view: PoolView,
  unit: WorkUnit,
  input: PlacementInput,
): StartItem | undefined {
  const { job, occurrence, step, nextRun } = unit;
  const slots = view.ofService(unit.queue.service);
  const placed = placeTasks(slots, requestOf(view, unit, input));
  if (placed.length === 0) {
    return undefined;
  }
  return {
    kind: "start",
    jobId: job.id,
    occurrence,
    step,
    run: nextRun,
    tasks: placed,
  };
}

/** Where the unit's waiting tasks may go. */
export function requestOf(
  view: PoolView,
  unit: WorkUnit,
  input: PlacementInput,
): PlacementRequest {
  const { spec, waiting, tasks } = unit;
  return {
    step: spec,
    indices: waiting,
    avoided: avoidedWorkers(view, unit, input),
    onWorker: (key) => tasks.filter((task) => task.worker === key).length,
    mayUseOtherRacks: input.mayUseOtherRacks ||
      mayUseOtherRacks(view, unit, input.nowMs),
    speeds: {
      pool: view.ofService(unit.queue.service),
      rules: input.speedRules ?? SPEED_RULES,
      need: {
        isUrgent: unit.queue.priority === 0,
        mustStart: input.guaranteedIds.has(unit.job.id),
        estimateMs: spec.estimateMs,
        slackMs: startSlackMs(unit, input.nowMs),
        ...waitOf(view, unit, input.nowMs),
      },
    },
  };
}
