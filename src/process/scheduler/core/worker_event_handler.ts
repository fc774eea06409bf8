/**
 * Handles workers that join, leave and are lost.
 *
 * @module
 */

import { amountsOf, isSameAmounts } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import { attemptKey, type GangEventHandler } from "./gang_event_handler.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import type { GuaranteeReconciler } from "./guarantee_reconciler.ts";
import { isLive, JobPhase, type JobState } from "./job_state.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import type { TaskReference, WorkerDescription } from "./scheduler_event.ts";
import { type WorkerState, WorkerStatus } from "./worker_state.ts";

/** Handles events about workers. */
export class WorkerEventHandler {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #gangEvents: GangEventHandler;
  readonly #reservations: ReservationManager;
  readonly #reconciler: GuaranteeReconciler;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      gangEvents: GangEventHandler;
      reservations: ReservationManager;
      reconciler: GuaranteeReconciler;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#gangEvents = options.gangEvents;
    this.#reservations = options.reservations;
    this.#reconciler = options.reconciler;
  }

  /** Adds or updates a worker; returns its state. */
  joined(
    description: WorkerDescription,
    running: readonly TaskReference[],
  ): WorkerState {
    const { index, guarantees } = this.#context;
    let known = index.workers.get(description.workerId);
    if (known !== undefined && !isSameWorker(known, description)) {
      this.lost(known);
      known = undefined;
    }
    if (known?.status === WorkerStatus.leaving) {
      known.status = WorkerStatus.up;
    }
    const worker = known ?? index.add(description);
    if (!this.#context.isRecovering) {
      this.#breakIncompleteGangs(worker, running);
      this.stopStaleAttempts(worker, running);
      this.#markPendingStops(worker);
    }
    index.refresh(worker);
    guarantees.handleWorkerAvailable();
    this.#context.recordFreedCapacity();
    return worker;
  }

  leaving(worker: WorkerState): void {
    worker.status = WorkerStatus.leaving;
    this.withdraw(worker);
    const { policy, nowMs } = this.#context;
    for (const { job } of [...worker.allocations.values()]) {
      const jobClass = policy.jobClass(job.specification.jobClass);
      this.#lifecycle.stop(job, {
        reason: "workerLeaving",
        checkpointDeadlineMs: nowMs + jobClass.checkpointMs,
      });
    }
  }

  lost(worker: WorkerState): void {
    worker.status = WorkerStatus.lost;
    this.withdraw(worker);
    const jobs = [...worker.allocations.values()].map(({ job }) => job);
    for (const job of jobs) {
      this.#context.ledger.releaseWorker(job, worker);
    }
    for (const key of [...worker.staleAttempts]) {
      this.#context.dropStaleAttempt(worker, key);
    }
    this.#context.index.remove(worker);
    for (const job of jobs) {
      this.#handleLostTasks(job);
    }
    this.#context.recordFreedCapacity();
  }

  /** Removes the worker from guarantees and reservations. */
  withdraw(worker: WorkerState): void {
    this.#context.index.refresh(worker);
    this.#reservations.cancelOn(worker);
    if (!this.#context.mutations.has("leavesGuaranteesOnLostWorkers")) {
      this.#context.guarantees.handleWorkerUnavailable(worker);
    }
    this.#reconciler.reconcile();
  }

  /**
   * Stops reported attempts that aren't the current one of a live job, and
   * forgets stale attempts that the worker no longer reports.
   */
  stopStaleAttempts(
    worker: WorkerState,
    running: readonly TaskReference[],
  ): void {
    const reported = new Set<string>();
    const { jobs } = this.#context;
    for (const { jobId, attempt } of running) {
      const job = jobs.get(jobId);
      const isCurrent = job !== undefined && isLive(job) &&
        job.attempt === attempt && job.workers.has(worker);
      const key = attemptKey(jobId, attempt);
      if (isCurrent || reported.has(key)) {
        continue;
      }
      reported.add(key);
      this.#addStaleAttempt(worker, key);
      this.#context.emit({
        kind: "stopGang",
        jobId,
        attempt,
        reason: "gangBroken",
        wantsCheckpoint: false,
        checkpointDeadlineMs: this.#context.nowMs,
      });
    }
    for (const key of [...worker.staleAttempts]) {
      if (!reported.has(key)) {
        this.#context.dropStaleAttempt(worker, key);
      }
    }
  }

  /**
   * Marks attempts that are being stopped as stale on a worker that was lost
   * and joined again: their start may still reach it until the stop completes.
   */
  #markPendingStops(worker: WorkerState): void {
    for (const account of this.#context.ledger.accounts().values()) {
      for (const job of account.liveJobs) {
        const isAwaited = job.phase === JobPhase.stopping &&
          !job.workers.has(worker) &&
          job.placements.some(({ workerId }) => workerId === worker.workerId);
        if (isAwaited) {
          const key = attemptKey(job.specification.jobId, job.attempt);
          this.#addStaleAttempt(worker, key);
        }
      }
    }
  }

  #addStaleAttempt(worker: WorkerState, key: string): void {
    const { staleWorkers } = this.#context;
    const workers = staleWorkers.get(key) ?? new Set();
    staleWorkers.set(key, workers.add(worker));
    worker.staleAttempts.add(key);
  }

  /** Breaks running gangs whose tasks the worker no longer reports. */
  #breakIncompleteGangs(
    worker: WorkerState,
    running: readonly TaskReference[],
  ): void {
    const reported = new Set(
      running.map(({ jobId, attempt }) => attemptKey(jobId, attempt)),
    );
    for (const { job } of [...worker.allocations.values()]) {
      const key = attemptKey(job.specification.jobId, job.attempt);
      const isMissing = job.phase === JobPhase.running &&
        !reported.has(key) && !this.#haveTasksEnded(job, worker);
      if (isMissing) {
        this.#gangEvents.breakGang(job);
      }
    }
  }

  #haveTasksEnded(job: JobState, worker: WorkerState): boolean {
    return job.placements
      .filter((placement) => placement.workerId === worker.workerId)
      .every((placement) => job.endedTasks.has(placement.taskIndex));
  }

  #handleLostTasks(job: JobState): void {
    // A pending start or stop must complete before the job can be queued.
    const hasNoTasks = job.phase === JobPhase.running && job.workers.size === 0;
    if (hasNoTasks) {
      this.#lifecycle.finishStop(job);
    } else if (isLive(job)) {
      this.#gangEvents.breakGang(job);
    }
  }
}

function isSameWorker(
  worker: WorkerState,
  description: WorkerDescription,
): boolean {
  return worker.rack.rackId === description.rack &&
    isSameAmounts(worker.capacity, amountsOf(description));
}
