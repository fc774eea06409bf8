/**
 * Handles the runtime's events about gangs and their tasks.
 *
 * @module
 */

import type { CoreContext } from "./core_context.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { isLive, JobPhase, type JobState } from "./job_state.ts";
import type { Quarantine } from "./quarantine.ts";
import { JobOutcome } from "./scheduler_decision.ts";
import {
  type GangStarted,
  type GangStartFailed,
  type GangStopped,
  type TaskEnded,
  TaskOutcome,
  type WorkerUsageReported,
} from "./scheduler_event.ts";
import type { WorkerState } from "./worker_state.ts";

/** Delay before a job is started again; doubled from its second failure on. */
const RETRY_DELAY_MS = 1_000;
const RETRY_DELAY_LIMIT_MS = 60_000;
/** Fraction of its processors that a throttled gang keeps. */
const THROTTLED_CORES_FRACTION = 0.5;
/** Least expected run time assumed when overruns are determined. */
const MIN_EXPECTED_RUN_MS = 10_000;

/** Handles events about gangs, their tasks and their resource usage. */
export class GangEventHandler {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #quarantine: Quarantine;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      quarantine: Quarantine;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#quarantine = options.quarantine;
  }

  started(event: GangStarted): void {
    const job = this.#currentJob(event);
    if (job?.phase === JobPhase.starting) {
      job.phase = JobPhase.running;
      job.startedAtMs = event.atMs;
      this.scheduleOverrunTimers(job);
    }
  }

  startFailed(event: GangStartFailed): void {
    const job = this.#currentJob(event);
    this.#clearStaleAttempt(event);
    const isReleased = job?.phase === JobPhase.starting ||
      job?.phase === JobPhase.stopping;
    if (job === undefined || !isReleased) {
      return;
    }
    // A start that was being stopped anyway doesn't count against the workers.
    const suspects = job.phase === JobPhase.starting ? event.workerIds : [];
    for (const workerId of suspects) {
      const worker = this.#context.index.workers.get(workerId);
      if (worker !== undefined) {
        this.#quarantine.recordFailure(worker, job);
      }
    }
    this.#delayRetry(job, 0);
    this.#lifecycle.finishStop(job);
  }

  stopped(event: GangStopped): void {
    this.#clearStaleAttempt(event);
    const job = this.#currentJob(event);
    if (job === undefined || !isLive(job)) {
      return;
    }
    if (job.phase !== JobPhase.stopping) {
      this.#delayRetry(job, 0);
    }
    this.#lifecycle.finishStop(job);
  }

  taskEnded(event: TaskEnded): void {
    const job = this.#currentJob(event);
    const isKnown = job !== undefined && isLive(job) &&
      event.taskIndex < job.specification.tasks &&
      !job.endedTasks.has(event.taskIndex);
    if (!isKnown) {
      return;
    }
    job.endedTasks.add(event.taskIndex);
    const worker = this.#context.index.workers.get(event.workerId);
    switch (event.outcome) {
      case TaskOutcome.succeeded:
        this.#taskSucceeded(job, worker);
        return;
      case TaskOutcome.failed:
        this.#taskFailed(job, worker);
        return;
      case TaskOutcome.checkpointed:
      case TaskOutcome.stopped:
      case TaskOutcome.lost:
        this.breakGang(job);
        return;
    }
  }

  usageReported(event: WorkerUsageReported): void {
    for (const usage of event.usages) {
      const job = this.#currentJob(usage);
      if (job?.phase !== JobPhase.running) {
        continue;
      }
      const checkpointedAtMs = usage.checkpointedAtMs ?? 0;
      job.checkpointedAtMs = Math.max(
        job.checkpointedAtMs ?? 0,
        checkpointedAtMs,
      );
      this.#context.estimator.observeUsage(job.specification, usage);
    }
  }

  /** Stops the remaining tasks of a gang that lost one. */
  breakGang(job: JobState): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    this.#delayRetry(job, 0);
    this.#stopRemaining(job, {});
  }

  /** Schedules the throttling and the stop of a gang that overruns. */
  scheduleOverrunTimers(job: JobState): void {
    const { policy, estimator } = this.#context;
    const jobClass = policy.jobClass(job.specification.jobClass);
    const spread = estimator.runTimeSpread(job.specification);
    const expectedMs = Math.max(
      MIN_EXPECTED_RUN_MS,
      job.expectedRunMs * spread,
    );
    const startedAtMs = job.startedAtMs ?? this.#context.nowMs;
    const throttleAtMs = startedAtMs + expectedMs * jobClass.throttleFactor;
    const stopAtMs = startedAtMs + expectedMs * jobClass.stopFactor;
    this.#scheduleIfRunning(throttleAtMs, job, (late) => this.#throttle(late));
    this.#scheduleIfRunning(stopAtMs, job, (late) => this.#stopOverrun(late));
  }

  /** Schedules an action; it is skipped unless this attempt runs then. */
  #scheduleIfRunning(
    atMs: number,
    job: JobState,
    action: (job: JobState) => void,
  ): void {
    const { attempt } = job;
    this.#context.scheduleForJob(atMs, job.specification.jobId, (late) => {
      if (late.attempt === attempt && late.phase === JobPhase.running) {
        action(late);
      }
    });
  }

  #taskSucceeded(job: JobState, worker: WorkerState | undefined): void {
    job.succeededTasks += 1;
    if (worker !== undefined) {
      this.#quarantine.recordSuccess(worker);
    }
    if (job.succeededTasks < job.specification.tasks) {
      return;
    }
    const { nowMs, estimator } = this.#context;
    if (job.startedAtMs !== undefined && job.attainedAcceleratorMs === 0) {
      estimator.observeRun(job.specification, nowMs - job.startedAtMs);
    }
    this.#lifecycle.releaseCapacity(job);
    this.#lifecycle.end(job, JobOutcome.succeeded);
  }

  #taskFailed(job: JobState, worker: WorkerState | undefined): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    job.failures += 1;
    if (worker !== undefined) {
      this.#quarantine.recordFailure(worker, job);
    }
    const { attemptsLimit } = this.#context.policy
      .jobClass(job.specification.jobClass);
    const isLast = job.failures >= attemptsLimit;
    this.#delayRetry(job, job.failures);
    this.#stopRemaining(job, isLast ? { outcome: JobOutcome.failed } : {});
  }

  #stopRemaining(job: JobState, options: { outcome?: JobOutcome }): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    const hasEnded = job.endedTasks.size === job.specification.tasks;
    if (hasEnded) {
      job.outcomeAfterStop = options.outcome;
      this.#lifecycle.finishStop(job);
      return;
    }
    this.#lifecycle.stop(job, { reason: "gangBroken", ...options });
  }

  #throttle(job: JobState): void {
    if (job.isGuaranteed || job.isThrottled) {
      return;
    }
    job.isThrottled = true;
    this.#context.emit({
      kind: "throttleGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      coresFraction: THROTTLED_CORES_FRACTION,
    });
  }

  #stopOverrun(job: JobState): void {
    const ranMs = this.#context.nowMs - (job.startedAtMs ?? 0);
    this.#context.estimator.observeRun(job.specification, ranMs);
    const { checkpointMs } = this.#context.policy
      .jobClass(job.specification.jobClass);
    this.#lifecycle.stop(job, {
      reason: "overrun",
      outcome: JobOutcome.overran,
      checkpointDeadlineMs: this.#context.nowMs + checkpointMs,
    });
  }

  #delayRetry(job: JobState, failures: number): void {
    const delayMs = Math.min(
      RETRY_DELAY_LIMIT_MS,
      RETRY_DELAY_MS * 2 ** Math.max(0, failures - 1),
    );
    job.retryAtMs = this.#context.nowMs + delayMs;
  }

  #currentJob(
    event: { readonly jobId: string; readonly attempt: number },
  ): JobState | undefined {
    const job = this.#context.jobs.get(event.jobId);
    return job?.attempt === event.attempt ? job : undefined;
  }

  #clearStaleAttempt(
    event: { readonly jobId: string; readonly attempt: number },
  ): void {
    const key = attemptKey(event.jobId, event.attempt);
    for (const worker of this.#context.staleWorkers.get(key) ?? []) {
      worker.staleAttempts.delete(key);
      this.#context.index.refresh(worker);
    }
    if (this.#context.staleWorkers.delete(key)) {
      this.#context.recordFreedCapacity();
    }
  }
}

/** The key that identifies an attempt of a job. */
export function attemptKey(jobId: string, attempt: number): string {
  return `${jobId}#${attempt}`;
}
