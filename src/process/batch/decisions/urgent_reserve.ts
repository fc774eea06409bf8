/**
 * Keeps accelerators free for urgent work that may be submitted.
 *
 * Load condition: bursts of urgent work on a pool that less urgent work fills.
 *
 * @module
 */

import type { PlannerOptions } from "./planner.ts";
import type { PoolView } from "./pool_view.ts";
import { hasSlackLeft } from "./slack.ts";
import type { WorkUnit } from "./work_unit.ts";

/** The planner's parameters that the reserve depends on. */
export type ReserveSettings = Required<
  Pick<
    PlannerOptions,
    "urgentReserveShare" | "urgentFloorShare" | "slackShareToWait"
  >
>;

/**
 * Whether a less urgent unit waits to keep accelerators free for urgent work
 * that may be submitted. While it has time it leaves the urgent reserve free;
 * after that it leaves the smaller floor free, unless it is lasting or so wide
 * that it could never start then.
 */
export function mustWait(
  view: PoolView,
  unit: WorkUnit,
  { settings, nowMs }: { settings: ReserveSettings; nowMs: number },
): boolean {
  if (unit.queue.priority === 0) {
    return false;
  }
  const { total, free } = view.acceleratorsOf(unit.queue.service);
  const { accelerators } = unit.spec.demand;
  const needed = unit.spec.isGang
    ? accelerators * unit.waiting.length
    : accelerators;
  const leavesFree = (share: number) => free - needed >= total * share;
  if (hasSlackLeft(unit, settings.slackShareToWait, nowMs)) {
    return !leavesFree(settings.urgentReserveShare);
  }
  const { urgentFloorShare } = settings;
  const canLeaveFloorFree = needed <= total * (1 - urgentFloorShare);
  return canLeaveFloorFree && !unit.spec.isLasting &&
    !leavesFree(urgentFloorShare);
}
