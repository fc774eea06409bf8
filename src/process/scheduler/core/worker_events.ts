/**
 * Workers that come, leave and are lost.
 *
 * @module
 */

import { amountsOf, isSameAmounts } from "./amounts.ts";
import type { CellUpkeep } from "./cell_upkeep.ts";
import type { CoreContext } from "./core_context.ts";
import { type GangEvents, staleKey } from "./gang_events.ts";
import type { GangLifecycle } from "./gang_lifecycle.ts";
import { isLive, JobPhase, type JobState } from "./job_state.ts";
import type { ReservationManager } from "./reservation_manager.ts";
import type { TaskReference, WorkerDescription } from "./scheduler_event.ts";
import { type WorkerState, WorkerStatus } from "./worker_state.ts";

/** The handling of workers. */
export class WorkerEvents {
  readonly #context: CoreContext;
  readonly #lifecycle: GangLifecycle;
  readonly #gangEvents: GangEvents;
  readonly #reservations: ReservationManager;
  readonly #upkeep: CellUpkeep;

  constructor(
    options: {
      context: CoreContext;
      lifecycle: GangLifecycle;
      gangEvents: GangEvents;
      reservations: ReservationManager;
      upkeep: CellUpkeep;
    },
  ) {
    this.#context = options.context;
    this.#lifecycle = options.lifecycle;
    this.#gangEvents = options.gangEvents;
    this.#reservations = options.reservations;
    this.#upkeep = options.upkeep;
  }

  /** Takes in a worker; returns it as the scheduler knows it. */
  joined(
    description: WorkerDescription,
    running: readonly TaskReference[],
  ): WorkerState {
    const { index, cells } = this.#context;
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
      this.#breakMissing(worker, running);
      this.markStale(worker, running);
      this.#awaitStops(worker);
    }
    index.refresh(worker);
    cells.workerCame();
    this.#context.roomFreed();
    return worker;
  }

  leaving(worker: WorkerState): void {
    worker.status = WorkerStatus.leaving;
    this.outOfUse(worker);
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
    this.outOfUse(worker);
    const jobs = [...worker.allocations.values()].map(({ job }) => job);
    for (const job of jobs) {
      this.#context.ledger.releaseWorker(job, worker);
    }
    for (const key of [...worker.staleAttempts]) {
      this.#context.dropStale(worker, key);
    }
    this.#context.index.remove(worker);
    for (const job of jobs) {
      this.#lostPart(job);
    }
    this.#context.roomFreed();
  }

  /** Takes the worker out of cells and reservations. */
  outOfUse(worker: WorkerState): void {
    this.#context.index.refresh(worker);
    this.#reservations.cancelOn(worker);
    if (!this.#context.mutations.has("leavesCellsOnLostWorkers")) {
      this.#context.cells.workerGone(worker);
    }
    this.#upkeep.run();
  }

  /** Orders the end of attempts that the worker runs and nobody wants. */
  markStale(worker: WorkerState, running: readonly TaskReference[]): void {
    const reported = new Set<string>();
    const { jobs } = this.#context;
    for (const { jobId, attempt } of running) {
      const job = jobs.get(jobId);
      const isWanted = job !== undefined && isLive(job) &&
        job.attempt === attempt && job.workers.has(worker);
      const key = staleKey(jobId, attempt);
      if (isWanted || reported.has(key)) {
        continue;
      }
      reported.add(key);
      this.#addStale(worker, key);
      this.#context.decide({
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
        this.#context.dropStale(worker, key);
      }
    }
  }

  /**
   * A start may still be on its way to a worker that was lost and came back,
   * until the stop of that attempt is answered.
   */
  #awaitStops(worker: WorkerState): void {
    for (const account of this.#context.ledger.accounts().values()) {
      for (const job of account.live) {
        const isAwaited = job.phase === JobPhase.stopping &&
          !job.workers.has(worker) &&
          job.placements.some(({ workerId }) => workerId === worker.workerId);
        if (isAwaited) {
          const key = staleKey(job.specification.jobId, job.attempt);
          this.#addStale(worker, key);
        }
      }
    }
  }

  #addStale(worker: WorkerState, key: string): void {
    const { staleWorkers } = this.#context;
    const workers = staleWorkers.get(key) ?? new Set();
    staleWorkers.set(key, workers.add(worker));
    worker.staleAttempts.add(key);
  }

  /** A worker that came back without a task has lost it. */
  #breakMissing(
    worker: WorkerState,
    running: readonly TaskReference[],
  ): void {
    const reported = new Set(
      running.map(({ jobId, attempt }) => staleKey(jobId, attempt)),
    );
    for (const { job } of [...worker.allocations.values()]) {
      const key = staleKey(job.specification.jobId, job.attempt);
      const isMissing = job.phase === JobPhase.running &&
        !reported.has(key) && !this.#haveAllEnded(job, worker);
      if (isMissing) {
        this.#gangEvents.breakGang(job);
      }
    }
  }

  #haveAllEnded(job: JobState, worker: WorkerState): boolean {
    return job.placements
      .filter((placement) => placement.workerId === worker.workerId)
      .every((placement) => job.endedTasks.has(placement.taskIndex));
  }

  #lostPart(job: JobState): void {
    // A start or a stop on its way is answered before the job moves on.
    const isGone = job.phase === JobPhase.running && job.workers.size === 0;
    if (isGone) {
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
