/**
 * The amount of a job's work and its time objective, by its estimates.
 *
 * @module
 */

import type { JobSpec, TaskDemand } from "../job_spec.ts";
import type { JobRecord } from "../job_record.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";

/** Cores that one accelerator counts as when work is summed up. */
const CORES_PER_ACCELERATOR = 8;

/** The part of a job's record that its amount of work depends on. */
export type SpecifiedJob = Pick<JobRecord, "spec">;

/** The work of `tasks` tasks in core-seconds. */
export function coreSeconds(
  demand: TaskDemand,
  options: { tasks: number; estimateMs: number },
): number {
  const cores = demand.cpuMilli / 1_000 +
    demand.accelerators * CORES_PER_ACCELERATOR;
  return cores * options.tasks * options.estimateMs / 1_000;
}

/** A pass asks for it several times for each step of a job. */
const criticalPathsMs = new WeakMap<JobSpec, number>();

/** The critical path through a job's steps by its estimates. */
export function criticalPathMs({ spec }: SpecifiedJob): number {
  const known = criticalPathsMs.get(spec);
  if (known !== undefined) {
    return known;
  }
  const pathMs = computeCriticalPathMs(spec);
  criticalPathsMs.set(spec, pathMs);
  return pathMs;
}

function computeCriticalPathMs(spec: JobSpec): number {
  const ends: number[] = [];
  for (const step of spec.steps) {
    const startMs = step.afterSteps.reduce(
      (latest, after) => Math.max(latest, ends[after] ?? 0),
      0,
    );
    ends.push(startMs + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** The time from its submission within which a job is on time. */
export function objectiveMs(
  job: SpecifiedJob,
  queue: QueueConfiguration,
): number {
  return queue.stretch * criticalPathMs(job) + queue.objectiveSlackMs;
}

/** The work that is left in one occurrence of a job, in core-seconds. */
export function remainingCoreSeconds(
  job: JobRecord,
  occurrence: number,
): number {
  const records = job.occurrences[occurrence]?.steps;
  return job.spec.steps.reduce((sum, step, position) => {
    const done = records?.[position]?.doneTasks ?? 0;
    const tasks = step.taskCount - done;
    const { demand, estimateMs } = step;
    return sum + coreSeconds(demand, { tasks, estimateMs });
  }, 0);
}

/** The work of one whole occurrence of a job, in core-seconds. */
export function totalCoreSeconds({ spec }: SpecifiedJob): number {
  return spec.steps.reduce(
    (sum, { demand, taskCount, estimateMs }) =>
      sum + coreSeconds(demand, { tasks: taskCount, estimateMs }),
    0,
  );
}
