/**
 * The order in which a planning pass looks at waiting units: guaranteed jobs
 * first, then by urgency, then by age.
 *
 * @module
 */

import type { PlannerInput } from "./planner.ts";
import { urgency } from "./rank.ts";
import { waitingUnits, type WorkUnit } from "./work_unit.ts";

/** All waiting units, the first to be placed first. */
export function rankedUnits(
  { state, nowMs, timeOfDayMs = nowMs }: PlannerInput,
  guaranteedIds: ReadonlySet<string>,
): WorkUnit[] {
  const index = state.inForce!.index;
  const dueByMs = Math.min(nowMs, timeOfDayMs);
  const ranked: { unit: WorkUnit; urgency: number }[] = [];
  for (const job of state.liveJobs.values()) {
    const queue = index.queueNamed(job.queue);
    if (queue === undefined) {
      continue;
    }
    for (const unit of waitingUnits(job, { queue, dueByMs })) {
      ranked.push({
        unit,
        urgency: guaranteedIds.has(job.id) ? Infinity : urgency(unit, nowMs),
      });
    }
  }
  ranked.sort((a, b) =>
    compare(b.urgency, a.urgency) ||
    a.unit.job.acceptedAtMs - b.unit.job.acceptedAtMs
  );
  return ranked.map(({ unit }) => unit);
}

/** Orders numbers; unlike subtraction, treats equal infinities as equal. */
function compare(left: number, right: number): number {
  return left === right ? 0 : left - right;
}
