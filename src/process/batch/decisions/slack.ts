/**
 * How much later than now a unit may start and still be on time.
 *
 * @module
 */

import { dueAtMs } from "../job_record.ts";
import { criticalPathMs, objectiveMs } from "./job_work.ts";
import type { WorkUnit } from "./work_unit.ts";

/** Whether more than a share of the objective's slack is left. */
export function hasSlackLeft(
  unit: WorkUnit,
  share: number,
  nowMs: number,
): boolean {
  const { job, queue } = unit;
  const slackMs = objectiveMs(job, queue) - criticalPathMs(job);
  return startSlackMs(unit, nowMs) > slackMs * share;
}

/** The time until the job's whole critical path wouldn't fit any more. */
export function startSlackMs(unit: WorkUnit, nowMs: number): number {
  const { job, queue } = unit;
  const objectiveStartMs = Math.max(
    dueAtMs(job, unit.occurrence),
    job.submittedAtMs,
  );
  return objectiveStartMs + objectiveMs(job, queue) - nowMs -
    criticalPathMs(job);
}
