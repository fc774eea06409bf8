/**
 * How a new leader learns what still runs: from the records of its peers and
 * from the workers' own reports. Until it knows, nothing starts.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import { amountsOf } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import { type GangEvents, staleKey } from "./gang_events.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import type { JobRecord } from "./job_record.ts";
import { JobPhase, type JobState, newJobState } from "./job_state.ts";
import { JobOutcome } from "./scheduler_decision.ts";
import { type TaskEnded, type TaskReference } from "./scheduler_event.ts";
import type { WorkerEvents } from "./worker_events.ts";
import type { WorkerState } from "./worker_state.ts";

/** The tasks of one attempt as reported, and the worker of each. */
type ReportedTasks = Map<number, WorkerState>;

interface RecoveringJob {
  readonly job: JobState;
  readonly record: JobRecord;
  /** Tasks that succeeded meanwhile, by attempt. */
  readonly succeeded: Map<number, Set<number>>;
  isCancelled: boolean;
}

/** One recovery, from the records to the first start. */
export class Recovery {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #gangEvents: GangEvents;
  readonly #workerEvents: WorkerEvents;
  readonly #recoverUntilMs: number;
  readonly #recovering = new Map<JobId, RecoveringJob>();
  readonly #reports = new Map<WorkerState, readonly TaskReference[]>();
  readonly #gone = new Set<string>();

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      gangEvents: GangEvents;
      workerEvents: WorkerEvents;
      /** By when a worker that stayed silent has stopped its tasks. */
      recoverUntilMs: number;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#gangEvents = options.gangEvents;
    this.#workerEvents = options.workerEvents;
    this.#recoverUntilMs = options.recoverUntilMs;
  }

  /** Takes over one job as kept by a peer. */
  take(record: JobRecord, options: { order: number }): JobState {
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

  /** Takes in what a worker runs; a later report replaces an earlier one. */
  report(worker: WorkerState, running: readonly TaskReference[]): void {
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

  attemptGone(event: { jobId: JobId; attempt: number }): void {
    this.#gone.add(staleKey(event.jobId, event.attempt));
  }

  /** Notes a cancellation; false when the job isn't being recovered. */
  cancel(jobId: JobId): boolean {
    const entry = this.#recovering.get(jobId);
    if (entry !== undefined) {
      entry.isCancelled = true;
    }
    return entry !== undefined;
  }

  /** Whether it is known what still runs. */
  isDone(): boolean {
    const { nowMs, policy } = this.#context;
    const isWhole = policy.declaredWorkers > 0 &&
      this.#reports.size >= policy.declaredWorkers;
    return isWhole || nowMs >= this.#recoverUntilMs;
  }

  /** Settles every job; from now on gangs may start. */
  finish(): void {
    const attempts = this.#attemptsByJob();
    this.#context.isRecovering = false;
    for (const entry of this.#recovering.values()) {
      this.#settle(
        entry,
        attempts.get(entry.record.specification.jobId) ?? new Map(),
      );
    }
    for (const [worker, running] of this.#reports) {
      this.#workerEvents.markStale(worker, this.#stillThere(running));
      this.#context.index.refresh(worker);
    }
    this.#context.roomFreed();
  }

  #settle(
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
      this.#settleWithoutTasks(entry);
      return;
    }
    this.#adopt(job, { tasks, record, entry });
  }

  #settleWithoutTasks(entry: RecoveringJob): void {
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
    ledger.occupy(job, countByWorker(tasks));
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
    const isWhole = tasks.size + job.succeededTasks >= job.specification.tasks;
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
    } else if (!isWhole) {
      this.#gangEvents.breakGang(job);
    } else {
      this.#gangEvents.watchRun(job);
    }
  }

  #attemptsByJob(): Map<JobId, Map<number, ReportedTasks>> {
    const byJob = new Map<JobId, Map<number, ReportedTasks>>();
    for (const [worker, running] of this.#reports) {
      for (const { jobId, attempt, taskIndex } of this.#stillThere(running)) {
        const attempts = byJob.get(jobId) ?? new Map<number, ReportedTasks>();
        const tasks = attempts.get(attempt) ?? new Map<number, WorkerState>();
        tasks.set(taskIndex, worker);
        attempts.set(attempt, tasks);
        byJob.set(jobId, attempts);
      }
    }
    return byJob;
  }

  #stillThere(running: readonly TaskReference[]): readonly TaskReference[] {
    return running.filter(({ jobId, attempt }) =>
      !this.#gone.has(staleKey(jobId, attempt))
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
