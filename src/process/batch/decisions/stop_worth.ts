/**
 * Decides whether an urgent job is worth the stops that it needs.
 *
 * Load condition: bursts of urgent jobs on a pool that is full of long runs
 * without checkpoints, where being late costs the urgent jobs little.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import { delayCost, stopCost } from "./delay_cost.ts";
import { criticalPathMs, objectiveMs } from "./job_work.ts";
import type { OpenRun } from "./pool_view.ts";
import type { WorkUnit } from "./work_unit.ts";

/** For which queues' urgent jobs stops are weighed. */
export const StopWeighing = {
  /** Those whose configured late share is high enough. */
  whereConfigured: "whereConfigured",
  always: "always",
  never: "never",
} as const;

/** One of the values of {@link StopWeighing}. */
export type StopWeighing = typeof StopWeighing[keyof typeof StopWeighing];

/**
 * The smallest late share with which stops are weighed. With 0.7 the load tool's
 * callers gained by it, with 0.2 and 0.3 they lost.
 */
const WEIGHED_LATE_SHARE_MIN = 0.5;

/** Whether stops for the queue's urgent jobs are weighed. */
export function weighsStopsFor(
  { lateValueShare }: QueueConfiguration,
  stopWeighing: StopWeighing,
): boolean {
  switch (stopWeighing) {
    case StopWeighing.always:
      return true;
    case StopWeighing.never:
      return false;
    case StopWeighing.whereConfigured:
      return lateValueShare !== undefined &&
        lateValueShare >= WEIGHED_LATE_SHARE_MIN;
  }
}

/** The configuration and the moment of the decision. */
export interface StopContext {
  readonly state: BatchState;
  readonly nowMs: number;
}

/** What it costs the caller of one job to stop some of its runs. */
export interface JobStops {
  cost: number;
  runs: number;
}

/**
 * The costs of stopping runs for a unit, by job: a job is delayed by the run
 * that is set back most. Jobs of unknown queues have no value.
 */
export function costsOfStops(
  unit: WorkUnit,
  runs: readonly OpenRun[],
  { state, nowMs }: StopContext,
): Map<JobId, JobStops> {
  const waitMs = criticalPathMs(unit.job);
  const costs = new Map<JobId, JobStops>();
  for (const { job, occurrence, step, startedAtMs } of runs) {
    const queue = state.inForce?.index.queueNamed(job.queue);
    const spec = job.spec.steps[step]!;
    const cost = queue === undefined ? 0 : stopCost(
      { job, queue, occurrence },
      { step: spec, startedAtMs, nowMs, waitMs },
    );
    const stops = costs.get(job.id) ?? { cost: 0, runs: 0 };
    stops.cost = Math.max(stops.cost, cost);
    stops.runs += 1;
    costs.set(job.id, stops);
  }
  return costs;
}

/** Whether stops cost no more than what the unit's job loses by being late. */
export function areWorthwhile(
  costs: ReadonlyMap<JobId, JobStops>,
  unit: WorkUnit,
  nowMs: number,
): boolean {
  const { job, queue } = unit;
  // A delay by its whole slack makes any job late.
  const delayMs = Math.max(0, objectiveMs(job, queue) - criticalPathMs(job));
  const cost = [...costs.values()].reduce((sum, each) => sum + each.cost, 0);
  return cost <= delayCost(unit, { nowMs, delayMs });
}
