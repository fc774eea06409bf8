/**
 * Ranks waiting work by the job's value for each core-second that it still
 * needs.
 *
 * When more work waits than fits, jobs that can meet their objective with the
 * least remaining work come first, and jobs that are already late come after
 * those that can still be on time.
 *
 * @module
 */

import { completionValue } from "./delay_cost.ts";
import { remainingCoreSeconds } from "./job_work.ts";
import type { WorkUnit } from "./work_unit.ts";

/** A job's expected value for each core-second left; higher is placed first. */
export function urgency(unit: WorkUnit, nowMs: number): number {
  const { job, occurrence } = unit;
  const remaining = Math.max(1, remainingCoreSeconds(job, occurrence));
  return completionValue(unit, nowMs) / remaining;
}
