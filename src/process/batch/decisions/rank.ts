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

import type { TaskDemand } from "../job_spec.ts";
import { type JobRecord, occurrenceCount } from "../job_record.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import type { WorkUnit } from "./work_unit.ts";

/** Cores that one accelerator counts as when work is summed up. */
const CORES_PER_ACCELERATOR = 8;

/** The value of a job by its queue's priority, the most urgent first. */
const PRIORITY_WEIGHTS = [4, 3, 1] as const;

/** The share of its value that a job has if it misses its objective. */
const LATE_VALUE_SHARE = 0.25;

/**
 * Beyond this many times its objective, a job has a tenth of its late value.
 */
export const LATE_LIMIT_FACTOR = 3;

/** The share of a job's value that doesn't depend on its size. */
const BASE_VALUE_SHARE = 0.3;

/** Core-seconds of a typical job; sizes are measured against it. */
const TYPICAL_CORE_SECONDS = 300;

/** The work of `tasks` tasks in core-seconds. */
export function coreSeconds(
  demand: TaskDemand,
  options: { tasks: number; estimateMs: number },
): number {
  const cores = demand.cpuMilli / 1_000 +
    demand.accelerators * CORES_PER_ACCELERATOR;
  return cores * options.tasks * options.estimateMs / 1_000;
}

/** The critical path through a job's steps by its estimates. */
export function criticalPathMs(job: JobRecord): number {
  const ends: number[] = [];
  for (const step of job.spec.steps) {
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
  job: JobRecord,
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

/**
 * The value of one occurrence of a job that is on time, by priority and size.
 */
function valueOf(job: JobRecord, queue: QueueConfiguration): number {
  const last = PRIORITY_WEIGHTS.length - 1;
  const weight = PRIORITY_WEIGHTS[Math.min(queue.priority, last)]!;
  const work = job.spec.steps.reduce(
    (sum, { demand, taskCount, estimateMs }) =>
      sum + coreSeconds(demand, { tasks: taskCount, estimateMs }),
    0,
  );
  const size = Math.min(4, work / TYPICAL_CORE_SECONDS);
  return weight * (BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * size) /
    occurrenceCount(job);
}

/** A job's expected value for each core-second left; higher is placed first. */
export function urgency(unit: WorkUnit, nowMs: number): number {
  const { job, queue, occurrence } = unit;
  const objectiveStartMs = job.spec.recurrence === undefined
    ? job.submittedAtMs
    : job.spec.recurrence.firstAtMs +
      occurrence * job.spec.recurrence.intervalMs;
  const objective = objectiveMs(job, queue);
  const expectedDurationMs = nowMs + criticalPathMs(job) - objectiveStartMs;
  const value = valueOf(job, queue);
  const remaining = Math.max(1, remainingCoreSeconds(job, occurrence));
  if (expectedDurationMs <= objective) {
    return value / remaining;
  }
  const isFarTooLate = expectedDurationMs > objective * LATE_LIMIT_FACTOR;
  return value * (isFarTooLate ? LATE_VALUE_SHARE / 10 : LATE_VALUE_SHARE) /
    remaining;
}
