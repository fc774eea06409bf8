/**
 * What the executor tells about gangs and their tasks.
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

/** The wait before another try after a failure; doubled with each. */
const RETRY_DELAY_MS = 1_000;
const RETRY_DELAY_LIMIT_MS = 60_000;
/** The slowest that an overrunning gang is made. */
const THROTTLED_CORES_FRACTION = 0.5;
/** Overruns are counted from at least this much run time. */
const LEAST_EXPECTED_MS = 10_000;

/** The handling of the executor's reports. */
export class GangEvents {
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
    const job = this.#current(event);
    if (job?.phase === JobPhase.starting) {
      job.phase = JobPhase.running;
      job.startedAtMs = event.atMs;
      this.watchRun(job);
    }
  }

  startFailed(event: GangStartFailed): void {
    const job = this.#current(event);
    this.#clearStale(event);
    const isReleased = job?.phase === JobPhase.starting ||
      job?.phase === JobPhase.stopping;
    if (job === undefined || !isReleased) {
      return;
    }
    // A start that was to be stopped anyway says nothing about the workers.
    const suspects = job.phase === JobPhase.starting ? event.workerIds : [];
    for (const workerId of suspects) {
      const worker = this.#context.index.workers.get(workerId);
      if (worker !== undefined) {
        this.#quarantine.noteFailure(worker, job);
      }
    }
    this.#delayRetry(job, 0);
    this.#lifecycle.finishStop(job);
  }

  stopped(event: GangStopped): void {
    this.#clearStale(event);
    const job = this.#current(event);
    if (job === undefined || !isLive(job)) {
      return;
    }
    if (job.phase !== JobPhase.stopping) {
      this.#delayRetry(job, 0);
    }
    this.#lifecycle.finishStop(job);
  }

  taskEnded(event: TaskEnded): void {
    const job = this.#current(event);
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
      const job = this.#current(usage);
      if (job?.phase !== JobPhase.running) {
        continue;
      }
      const seenMs = usage.checkpointedAtMs ?? 0;
      job.checkpointedAtMs = Math.max(job.checkpointedAtMs ?? 0, seenMs);
      this.#context.corrections.observeUsage(job.specification, usage);
    }
  }

  /** Stops what is left of a gang that lost a task. */
  breakGang(job: JobState): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    this.#delayRetry(job, 0);
    this.#stopRest(job, {});
  }

  /** Sets the moments at which a running gang counts as overrunning. */
  watchRun(job: JobState): void {
    const { policy, corrections } = this.#context;
    const jobClass = policy.jobClass(job.specification.jobClass);
    const spread = corrections.spreadOf(job.specification);
    const expectedMs = Math.max(LEAST_EXPECTED_MS, job.expectedRunMs * spread);
    const startedAtMs = job.startedAtMs ?? this.#context.nowMs;
    const throttleAtMs = startedAtMs + expectedMs * jobClass.throttleFactor;
    const stopAtMs = startedAtMs + expectedMs * jobClass.stopFactor;
    this.#atIfRunning(throttleAtMs, job, (late) => this.#throttle(late));
    this.#atIfRunning(stopAtMs, job, (late) => this.#stopOverrun(late));
  }

  /** Sets an action for the case that the same attempt still runs then. */
  #atIfRunning(
    atMs: number,
    job: JobState,
    action: (job: JobState) => void,
  ): void {
    const { attempt } = job;
    this.#context.atForJob(atMs, job.specification.jobId, (late) => {
      if (late.attempt === attempt && late.phase === JobPhase.running) {
        action(late);
      }
    });
  }

  #taskSucceeded(job: JobState, worker: WorkerState | undefined): void {
    job.succeededTasks += 1;
    if (worker !== undefined) {
      this.#quarantine.noteSuccess(worker);
    }
    if (job.succeededTasks < job.specification.tasks) {
      return;
    }
    const { nowMs, corrections } = this.#context;
    if (job.startedAtMs !== undefined && job.attainedAcceleratorMs === 0) {
      corrections.observeRun(job.specification, nowMs - job.startedAtMs);
    }
    this.#lifecycle.giveBack(job);
    this.#lifecycle.end(job, JobOutcome.succeeded);
  }

  #taskFailed(job: JobState, worker: WorkerState | undefined): void {
    if (job.phase === JobPhase.stopping) {
      return;
    }
    job.failures += 1;
    if (worker !== undefined) {
      this.#quarantine.noteFailure(worker, job);
    }
    const { attemptsLimit } = this.#context.policy
      .jobClass(job.specification.jobClass);
    const isLast = job.failures >= attemptsLimit;
    this.#delayRetry(job, job.failures);
    this.#stopRest(job, isLast ? { outcome: JobOutcome.failed } : {});
  }

  #stopRest(job: JobState, options: { outcome?: JobOutcome }): void {
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
    this.#context.decide({
      kind: "throttleGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      coresFraction: THROTTLED_CORES_FRACTION,
    });
  }

  #stopOverrun(job: JobState): void {
    const ranMs = this.#context.nowMs - (job.startedAtMs ?? 0);
    this.#context.corrections.observeRun(job.specification, ranMs);
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

  #current(
    event: { readonly jobId: string; readonly attempt: number },
  ): JobState | undefined {
    const job = this.#context.jobs.get(event.jobId);
    return job?.attempt === event.attempt ? job : undefined;
  }

  #clearStale(
    event: { readonly jobId: string; readonly attempt: number },
  ): void {
    const key = staleKey(event.jobId, event.attempt);
    for (const worker of this.#context.staleWorkers.get(key) ?? []) {
      worker.staleAttempts.delete(key);
      this.#context.index.refresh(worker);
    }
    if (this.#context.staleWorkers.delete(key)) {
      this.#context.roomFreed();
    }
  }
}

/** Names an attempt of a job. */
export function staleKey(jobId: string, attempt: number): string {
  return `${jobId}#${attempt}`;
}
