/**
 * What it costs a caller if a job is delayed, refused or stopped, in the value
 * that the operators' configuration gives its queue.
 *
 * Load condition: more work than capacity. Rank, preemption and admission use
 * the same costs, so that the job that one of them favours isn't turned away by
 * another.
 *
 * @module
 */

import type { JobRecord } from "../job_record.ts";
import type { JobSpec, StepSpec } from "../job_spec.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import {
  coreSeconds,
  criticalPathMs,
  objectiveMs,
  totalCoreSeconds,
} from "./job_work.ts";

/** Values of jobs of typical size that are on time, by priority. */
const DEFAULT_ON_TIME_VALUES = [4, 3, 1] as const;

/** The share of its value that a job has if it misses its objective. */
const DEFAULT_LATE_VALUE_SHARE = 0.25;

/**
 * Beyond this many times its objective, a job has a tenth of its late value.
 */
const LATE_LIMIT_FACTOR = 3;

/** The share of a job's value that doesn't depend on its size. */
const BASE_VALUE_SHARE = 0.3;

/** Core-seconds of a typical job; sizes are measured against it. */
const TYPICAL_CORE_SECONDS = 300;

/** Run time that the resume costs; the least that the stop of a run loses. */
const RESUME_COST_MS = 300;

/** One occurrence of a job, whose value and lateness are computed. */
export interface ValuedJob {
  readonly job: Pick<JobRecord, "spec" | "submittedAtMs">;
  readonly queue: QueueConfiguration;
  readonly occurrence: number;
}

/** The value of a typical job of the queue that is on time. */
export function onTimeValueOf(queue: QueueConfiguration): number {
  const last = DEFAULT_ON_TIME_VALUES.length - 1;
  return queue.onTimeValue ??
    DEFAULT_ON_TIME_VALUES[Math.min(queue.priority, last)]!;
}

/** The share of their value that late jobs of the queue have. */
export function lateValueShareOf(queue: QueueConfiguration): number {
  return queue.lateValueShare ?? DEFAULT_LATE_VALUE_SHARE;
}

/** The value of one occurrence that is on time, by its queue and size. */
export function onTimeValue(
  { job, queue }: Pick<ValuedJob, "job" | "queue">,
): number {
  const size = Math.min(4, totalCoreSeconds(job) / TYPICAL_CORE_SECONDS);
  return onTimeValueOf(queue) *
    (BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * size) /
    (job.spec.recurrence?.count ?? 1);
}

/** The value that an occurrence has if it ends at this time. */
export function valueAtEnd(valued: ValuedJob, endsAtMs: number): number {
  const value = onTimeValue(valued);
  const tookMs = endsAtMs - dueFromMs(valued);
  const objective = objectiveMs(valued.job, valued.queue);
  if (tookMs <= objective) {
    return value;
  }
  const share = lateValueShareOf(valued.queue);
  const isFarTooLate = tookMs > objective * LATE_LIMIT_FACTOR;
  return value * (isFarTooLate ? share / 10 : share);
}

/** The value that an occurrence has if all of it starts now. */
export function completionValue(valued: ValuedJob, nowMs: number): number {
  return valueAtEnd(valued, nowMs + criticalPathMs(valued.job));
}

/**
 * The expected cost of delaying an occurrence by a time, compared with a start
 * now. Estimates are off by up to nine tenths, so the value is taken to be lost
 * in proportion to the part of the remaining slack that the delay uses up, and
 * not only once all of it is gone.
 */
export function delayCost(
  valued: ValuedJob,
  { nowMs, delayMs }: { nowMs: number; delayMs: number },
): number {
  const { job, queue } = valued;
  const value = onTimeValue(valued);
  const lateValue = value * lateValueShareOf(queue);
  const farLoss = lateValue - lateValue / 10;
  const objective = objectiveMs(job, queue);
  const tookMs = nowMs + criticalPathMs(job) - dueFromMs(valued);
  const slackMs = objective - tookMs;
  const lateLimitMs = objective * LATE_LIMIT_FACTOR - tookMs;
  if (slackMs >= 0) {
    return (value - lateValue) * shareUsed(delayMs, slackMs) +
      farLoss * shareUsed(delayMs - slackMs, lateLimitMs - slackMs);
  }
  return lateLimitMs >= 0 ? farLoss * shareUsed(delayMs, lateLimitMs) : 0;
}

/**
 * The cost of refusing a job: the value that it would have if it started now.
 * Its caller may give up, or return when it is late.
 */
export function rejectionCost(
  options: {
    spec: JobSpec;
    queue: QueueConfiguration;
    submittedAtMs: number;
    nowMs: number;
  },
): number {
  const { spec, queue, submittedAtMs, nowMs } = options;
  const count = spec.recurrence?.count ?? 1;
  const valued = { job: { spec, submittedAtMs }, queue, occurrence: 0 };
  return count * completionValue(valued, nowMs);
}

/**
 * Run time that is lost if a run is stopped now: that since its start, or the
 * resume from its last checkpoint.
 */
export function discardedMs(
  step: Pick<StepSpec, "isCheckpointing">,
  ranMs: number,
): number {
  return step.isCheckpointing
    ? RESUME_COST_MS
    : Math.max(RESUME_COST_MS, ranMs);
}

/** Core-seconds of work that is lost if one run is stopped now. */
export function discardedCoreSeconds(step: StepSpec, ranMs: number): number {
  const estimateMs = discardedMs(step, ranMs);
  return coreSeconds(step.demand, { tasks: 1, estimateMs });
}

/**
 * The cost of stopping a run: its job is delayed by the run time that is thrown
 * away, and by the time until the run can be started again.
 */
export function stopCost(
  valued: ValuedJob,
  run: { step: StepSpec; startedAtMs: number; nowMs: number; waitMs: number },
): number {
  const { step, startedAtMs, nowMs, waitMs } = run;
  const ranMs = Math.max(0, nowMs - startedAtMs);
  return delayCost(valued, {
    nowMs: startedAtMs,
    delayMs: discardedMs(step, ranMs) + waitMs,
  });
}

/** What a job that ended at this time lost by being late. */
export function latenessCost(valued: ValuedJob, endedAtMs: number): number {
  return onTimeValue(valued) - valueAtEnd(valued, endedAtMs);
}

/** The share of a span, 0 to 1, that a delay uses up. */
function shareUsed(delayMs: number, spanMs: number): number {
  if (delayMs <= 0) {
    return 0;
  }
  return spanMs <= 0 ? 1 : Math.min(1, delayMs / spanMs);
}

/** From when the objective of an occurrence counts. */
function dueFromMs({ job, occurrence }: ValuedJob): number {
  const { recurrence } = job.spec;
  return recurrence === undefined
    ? job.submittedAtMs
    : recurrence.firstAtMs + occurrence * recurrence.intervalMs;
}
