/**
 * The order in which waiting work gets its turn: by what waiting loses, for
 * each unit of the scarcest resource that the work takes.
 *
 * For the days on which more work waits than fits: the jobs that fit their
 * objective with the least work are served first, and work that is late
 * already yields to work that can still be on time.
 *
 * @module
 */

import type { TaskDemand } from "../job_spec.ts";
import { type JobRecord, occurrenceCount } from "../job_record.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import type { WorkUnit } from "./work_unit.ts";

/** What one accelerator weighs in cores where work is summed up. */
const CORES_PER_ACCELERATOR = 8;

/** What a job is worth by its queue's priority, the most urgent first. */
const PRIORITY_WEIGHTS = [4, 3, 1] as const;

/** The worth of a job that misses its objective, against one that meets it. */
const LATE_SHARE = 0.25;

/** A job that is later than this many times its objective earns nothing. */
export const LATE_LIMIT_FACTOR = 3;

/** The share of its worth that every job has, however small. */
const FLAT_SHARE = 0.3;

/** Core-seconds of a job of middling size, to weigh sizes against. */
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

/** The longest chain of a job's steps by its estimates, in milliseconds. */
export function chainMs(job: JobRecord): number {
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

/** How long after its submission a job is on time. */
export function objectiveMs(
  job: JobRecord,
  queue: QueueConfiguration,
): number {
  return queue.stretch * chainMs(job) + queue.objectiveSlackMs;
}

/** The work of a job that isn't done, in one occurrence. */
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

/** What a job on time is worth, by priority and size. */
function worthOf(job: JobRecord, queue: QueueConfiguration): number {
  const last = PRIORITY_WEIGHTS.length - 1;
  const weight = PRIORITY_WEIGHTS[Math.min(queue.priority, last)]!;
  const work = job.spec.steps.reduce(
    (sum, { demand, taskCount, estimateMs }) =>
      sum + coreSeconds(demand, { tasks: taskCount, estimateMs }),
    0,
  );
  const size = Math.min(4, work / TYPICAL_CORE_SECONDS);
  return weight * (FLAT_SHARE + (1 - FLAT_SHARE) * size) /
    occurrenceCount(job);
}

/** What a unit would lose by waiting, for each core-second; more goes first. */
export function urgency(unit: WorkUnit, nowMs: number): number {
  const { job, queue, occurrence } = unit;
  const dueMs = job.spec.recurrence === undefined
    ? job.submittedAtMs
    : job.spec.recurrence.firstAtMs +
      occurrence * job.spec.recurrence.intervalMs;
  const objective = objectiveMs(job, queue);
  const endMs = nowMs + chainMs(job) - dueMs;
  const worth = worthOf(job, queue);
  const remaining = Math.max(1, remainingCoreSeconds(job, occurrence));
  if (endMs <= objective) {
    return worth / remaining;
  }
  const isHopeless = endMs > objective * LATE_LIMIT_FACTOR;
  return worth * (isHopeless ? LATE_SHARE / 10 : LATE_SHARE) / remaining;
}
