/**
 * Determines which gangs still run after a change of leader, from the job
 * records and from the workers' reports. Nothing starts before that is known.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import { amountsOf } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import { attemptKey, type GangEventHandler } from "./gang_event_handler.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import type { JobRecord } from "./job_record.ts";
import { JobPhase, type JobState, newJobState } from "./job_state.ts";
import { JobOutcome } from "./scheduler_decision.ts";
import { type TaskEnded, type TaskReference } from "./scheduler_event.ts";
import type { WorkerEventHandler } from "./worker_event_handler.ts";
import type { WorkerState } from "./worker_state.ts";

/** The reported tasks of one attempt: task index to worker. */
type ReportedTasks = Map<number, WorkerState>;

interface RecoveringJob {
  readonly job: JobState;
  readonly record: JobRecord;
  /** Indexes of tasks that succeeded during the recovery, by attempt. */
  readonly succeeded: Map<number, Set<number>>;
  isCancelled: boolean;
}

/** Collects reports until `finish` resolves what became of each job. */
export class Recovery {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #gangEvents: GangEventHandler;
  readonly #workerEvents: WorkerEventHandler;
  readonly #recoverUntilMs: number;
  readonly #recovering = new Map<JobId, RecoveringJob>();
  readonly #reports = new Map<WorkerState, readonly TaskReference[]>();
  readonly #releasedAttempts = new Set<string>();

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      gangEvents: GangEventHandler;
      workerEvents: WorkerEventHandler;
      /** By when workers that haven't reported have stopped their tasks. */
      recoverUntilMs: number;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#gangEvents = options.gangEvents;
    this.#workerEvents = options.workerEvents;
    this.#recoverUntilMs = options.recoverUntilMs;
  }

  /** Restores a job from its record. */
  restoreJob(record: JobRecord, options: { order: number }): JobState {
    const job = newJobState(record.specification, {
      submittedAtMs: record.submittedAtMs,
      order: options.order,
    });
    job.attempt = record.attempt;
    job.failures = record.failures;
    job.attainedAcceleratorMs = record.attainedAcceleratorMs;
    job.configurationVersion = record.configurationVersion;
    job.outcome = record.outcome;
    job.phase = record.phase === JobPhase.ended
      ? JobPhase.ended
      : JobPhase.queued;
    if (job.phase === JobPhase.queued) {
      job.waitReason = "recovering";
      this.#context.ledger.setWaiting(job, true);
      this.#recovering.set(record.specification.jobId, {
        job,
        record,
        succeeded: new Map(),
        isCancelled: false,
      });
    }
    return job;
  }

  /** Records what a worker runs; replaces its earlier report. */
  recordReport(worker: WorkerState, running: readonly TaskReference[]): void {
    this.#reports.set(worker, running);
  }

  workerLost(worker: WorkerState): void {
    this.#reports.delete(worker);
  }

  taskEnded(event: TaskEnded): void {
    const worker = this.#context.index.workers.get(event.workerId);
    const reported = worker && this.#reports.get(worker);
    if (worker !== undefined && reported !== undefined) {
      this.#reports.set(
        worker,
        reported.filter((task) => !isSameTask(task, event)),
      );
    }
    const entry = this.#recovering.get(event.jobId);
    if (entry !== undefined && event.outcome === "succeeded") {
      const tasks = entry.succeeded.get(event.attempt) ?? new Set();
      entry.succeeded.set(event.attempt, tasks.add(event.taskIndex));
    }
  }

  recordReleasedAttempt(event: { jobId: JobId; attempt: number }): void {
    this.#releasedAttempts.add(attemptKey(event.jobId, event.attempt));
  }

  /** Records a cancellation; false if the job isn't being recovered. */
  recordCancellation(jobId: JobId): boolean {
    const entry = this.#recovering.get(jobId);
    if (entry !== undefined) {
      entry.isCancelled = true;
    }
    return entry !== undefined;
  }

  /** Whether all declared workers have reported, or the time is up. */
  isDone(): boolean {
    const { nowMs, policy } = this.#context;
    const haveAllReported = policy.declaredWorkers > 0 &&
      this.#reports.size >= policy.declaredWorkers;
    return haveAllReported || nowMs >= this.#recoverUntilMs;
  }

  /** Adopts, queues or ends every job; gangs may start from now on. */
  finish(): void {
    const attempts = this.#attemptsByJob();
    this.#context.isRecovering = false;
    for (const entry of this.#recovering.values()) {
      this.#resolve(
        entry,
        attempts.get(entry.record.specification.jobId) ?? new Map(),
      );
    }
    for (const [worker, running] of this.#reports) {
      this.#workerEvents.stopStaleAttempts(
        worker,
        this.#withoutReleased(running),
      );
      this.#context.index.refresh(worker);
    }
    this.#context.recordFreedCapacity();
  }

  #resolve(
    entry: RecoveringJob,
    attempts: ReadonlyMap<number, ReportedTasks>,
  ): void {
    const { job, record } = entry;
    const latest = Math.max(
      record.attempt,
      ...attempts.keys(),
      ...entry.succeeded.keys(),
    );
    job.attempt = latest;
    const tasks = attempts.get(latest);
    if (tasks === undefined) {
      this.#resolveWithoutTasks(entry);
      return;
    }
    this.#adopt(job, { tasks, record, entry });
  }

  #resolveWithoutTasks(entry: RecoveringJob): void {
    const { job, record } = entry;
    const succeeded = entry.succeeded.get(job.attempt)?.size ?? 0;
    const isDone = succeeded === job.specification.tasks;
    const outcome = isDone
      ? JobOutcome.succeeded
      : entry.isCancelled
      ? JobOutcome.cancelled
      : record.outcomeAfterStop;
    if (outcome !== undefined) {
      this.#lifecycle.end(job, outcome);
      return;
    }
    this.#lifecycle.requeue(job);
  }

  #adopt(
    job: JobState,
    options: {
      tasks: ReportedTasks;
      record: JobRecord;
      entry: RecoveringJob;
    },
  ): void {
    const { tasks, record, entry } = options;
    const isRecorded = job.attempt === record.attempt;
    const { ledger, policy } = this.#context;
    job.need = amountsOf(
      isRecorded ? record.need : job.specification.resources,
    );
    job.rank = policy.jobClass(job.specification.jobClass).rank;
    job.phase = JobPhase.running;
    job.placements = placementsOf(tasks, isRecorded ? record.placements : []);
    job.startedAtMs = (isRecorded ? record.startedAtMs : undefined) ??
      this.#context.nowMs;
    job.checkpointedAtMs = isRecorded ? record.checkpointedAtMs : undefined;
    const succeeded = entry.succeeded.get(job.attempt) ?? new Set<number>();
    for (const taskIndex of succeeded) {
      job.endedTasks.add(taskIndex);
    }
    job.succeededTasks = succeeded.size;
    ledger.setWaiting(job, false);
    ledger.allocate(job, countByWorker(tasks));
    this.#resume(job, {
      record: isRecorded ? record : undefined,
      entry,
      tasks,
    });
  }

  #resume(
    job: JobState,
    options: {
      record: JobRecord | undefined;
      entry: RecoveringJob;
      tasks: ReportedTasks;
    },
  ): void {
    const { record, entry, tasks } = options;
    const isIntact = tasks.size + job.succeededTasks >= job.specification.tasks;
    if (entry.isCancelled) {
      this.#lifecycle.stop(job, {
        reason: "cancelled",
        outcome: JobOutcome.cancelled,
      });
    } else if (record?.phase === JobPhase.stopping) {
      const outcome = record.outcomeAfterStop;
      this.#lifecycle.stop(job, {
        reason: record.stopReason ?? "gangBroken",
        ...(outcome === undefined ? {} : { outcome }),
      });
    } else if (!isIntact) {
      this.#gangEvents.breakGang(job);
    } else {
      this.#gangEvents.scheduleOverrunTimers(job);
    }
  }

  #attemptsByJob(): Map<JobId, Map<number, ReportedTasks>> {
    const byJob = new Map<JobId, Map<number, ReportedTasks>>();
    for (const [worker, running] of this.#reports) {
      for (
        const { jobId, attempt, taskIndex } of this.#withoutReleased(running)
      ) {
        const attempts = byJob.get(jobId) ?? new Map<number, ReportedTasks>();
        const tasks = attempts.get(attempt) ?? new Map<number, WorkerState>();
        tasks.set(taskIndex, worker);
        attempts.set(attempt, tasks);
        byJob.set(jobId, attempts);
      }
    }
    return byJob;
  }

  #withoutReleased(
    running: readonly TaskReference[],
  ): readonly TaskReference[] {
    return running.filter(({ jobId, attempt }) =>
      !this.#releasedAttempts.has(attemptKey(jobId, attempt))
    );
  }
}

function isSameTask(left: TaskReference, right: TaskReference): boolean {
  return left.jobId === right.jobId && left.attempt === right.attempt &&
    left.taskIndex === right.taskIndex;
}

function countByWorker(tasks: ReportedTasks): Map<WorkerState, number> {
  const counts = new Map<WorkerState, number>();
  for (const worker of tasks.values()) {
    counts.set(worker, (counts.get(worker) ?? 0) + 1);
  }
  return counts;
}

function placementsOf(
  tasks: ReportedTasks,
  recorded: JobRecord["placements"],
): JobRecord["placements"] {
  const reported = [...tasks]
    .sort(([left], [right]) => left - right)
    .map(([taskIndex, worker]) => ({ taskIndex, workerId: worker.workerId }));
  const ended = recorded.filter(({ taskIndex }) => !tasks.has(taskIndex));
  return [...reported, ...ended];
}
