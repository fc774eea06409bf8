/**
 * Starts and stops gangs, and queues and ends jobs.
 *
 * @module
 */

import type { ErrorKind } from "../../../base/error_kind.ts";
import { resourcesOf } from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import {
  gangAccelerators,
  isLive,
  JobPhase,
  type JobState,
} from "./job_state.ts";
import type { Block } from "./placement.ts";
import {
  type JobOutcome,
  type StopReason,
  type TaskPlacement,
} from "./scheduler_decision.ts";
import type { WorkerState } from "./worker_state.ts";

/** Ended jobs that are remembered, so that resubmissions are recognized. */
export const ENDED_JOBS_KEPT = 2_000;

/** How a gang is stopped. */
export interface StopOptions {
  readonly reason: StopReason;
  /** The job's outcome after the stop; absent to queue it again. */
  readonly outcome?: JobOutcome;
  /** Until when to wait for a checkpoint; absent if none is wanted. */
  readonly checkpointDeadlineMs?: number;
}

/** Why a job ended, besides its outcome. */
export interface EndOptions {
  readonly error?: ErrorKind;
  readonly detail?: string;
}

/** Called when a gang has released its capacity on these workers. */
export type CapacityListener = (workers: readonly WorkerState[]) => void;

/** The transitions of jobs between phases. */
export class GangLifecycle {
  readonly #context: CoreContext;
  readonly #ended: JobState[] = [];
  readonly #capacityListeners: CapacityListener[] = [];

  constructor(options: { context: CoreContext }) {
    this.#context = options.context;
  }

  onCapacityFreed(listener: CapacityListener): void {
    this.#capacityListeners.push(listener);
  }

  /** Starts a queued job on a block. */
  start(job: JobState, requestedBlock: Block, isGuaranteed: boolean): void {
    const context = this.#context;
    const block = context.mutations.has("breaksGangs")
      ? withoutFirstWorker(requestedBlock)
      : requestedBlock;
    context.queue.remove(job);
    job.attempt += 1;
    job.phase = JobPhase.starting;
    job.isGuaranteed = isGuaranteed;
    job.configurationVersion = context.policy.version;
    job.waitReason = "starting";
    job.placements = placementsOf(block);
    this.#resetAttempt(job);
    context.ledger.setWaiting(job, false);
    context.ledger.allocate(job, block);
    if (!isGuaranteed) {
      context.accountsToPromote.add(job.specification.clientAccount);
    }
    context.emit({
      kind: "startGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      resources: resourcesOf(job.need),
      placements: job.placements,
      configurationVersion: job.configurationVersion,
    });
  }

  /** Stops a live gang; one that is already being stopped keeps its reason. */
  stop(job: JobState, options: StopOptions): void {
    if (!isLive(job)) {
      return;
    }
    if (job.phase === JobPhase.stopping) {
      job.outcomeAfterStop = options.outcome ?? job.outcomeAfterStop;
      return;
    }
    const wantsCheckpoint = options.checkpointDeadlineMs !== undefined &&
      job.specification.canCheckpoint && job.phase === JobPhase.running;
    job.stopReason = options.reason;
    job.stopDeadlineMs = wantsCheckpoint
      ? options.checkpointDeadlineMs as number
      : this.#context.nowMs;
    job.outcomeAfterStop = options.outcome;
    this.#context.ledger.beginStopping(job);
    this.#context.emit({
      kind: "stopGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      reason: options.reason,
      wantsCheckpoint,
      checkpointDeadlineMs: job.stopDeadlineMs,
    });
  }

  /** Completes a stop: none of the tasks of the attempt runs any more. */
  finishStop(job: JobState): void {
    this.releaseCapacity(job);
    if (job.outcomeAfterStop !== undefined) {
      this.end(job, job.outcomeAfterStop);
      return;
    }
    this.requeue(job);
  }

  /** Queues a job that holds no capacity, after its retry delay if any. */
  requeue(job: JobState): void {
    const context = this.#context;
    job.phase = JobPhase.queued;
    job.isGuaranteed = false;
    job.stopReason = undefined;
    job.placements = [];
    job.queuedAtMs = context.nowMs;
    context.ledger.setWaiting(job, true);
    if (job.retryAtMs <= context.nowMs) {
      context.setWaitReason(job, "capacity");
      context.enqueue(job);
      return;
    }
    context.setWaitReason(job, "retryDelay");
    const attempt = job.attempt;
    context.scheduleForJob(
      job.retryAtMs,
      job.specification.jobId,
      (waiting) => {
        const isWaiting = waiting.phase === JobPhase.queued &&
          waiting.attempt === attempt && waiting.queueGroup === undefined &&
          waiting.reservation === undefined;
        if (isWaiting) {
          context.setWaitReason(waiting, "capacity");
          context.enqueue(waiting);
        }
      },
    );
  }

  /** Ends a job that holds no capacity. */
  end(
    job: JobState,
    outcome: JobOutcome,
    options: EndOptions = {},
  ): void {
    const context = this.#context;
    context.queue.remove(job);
    context.ledger.setWaiting(job, false);
    job.phase = JobPhase.ended;
    job.outcome = outcome;
    job.placements = [];
    context.emit({
      kind: "jobEnds",
      jobId: job.specification.jobId,
      outcome,
      ...options,
    });
    this.#ended.push(job);
    if (this.#ended.length > ENDED_JOBS_KEPT) {
      const oldest = this.#ended.shift();
      const jobId = oldest?.specification.jobId ?? "";
      // The job may have been transferred back since.
      if (context.jobs.get(jobId) === oldest) {
        context.jobs.delete(jobId);
      }
    }
  }

  /** Releases a live gang's capacity, and adds up the work that it did. */
  releaseCapacity(job: JobState): void {
    const context = this.#context;
    if (job.startedAtMs !== undefined) {
      job.attainedAcceleratorMs += (context.nowMs - job.startedAtMs) *
        Math.max(1, gangAccelerators(job));
    }
    const workers = [...job.workers.keys()];
    context.accountsToPromote.add(job.specification.clientAccount);
    context.ledger.release(job);
    context.recordFreedCapacity();
    job.phase = JobPhase.queued;
    for (const listener of this.#capacityListeners) {
      listener(workers);
    }
  }

  #resetAttempt(job: JobState): void {
    job.startedAtMs = undefined;
    job.checkpointedAtMs = undefined;
    job.stopReason = undefined;
    job.outcomeAfterStop = undefined;
    job.isThrottled = false;
    job.endedTasks.clear();
    job.succeededTasks = 0;
  }
}

/** A block without its first worker, unless that is the only one. */
function withoutFirstWorker(block: Block): Block {
  return block.size > 1 ? new Map([...block].slice(1)) : block;
}

function placementsOf(block: Block): TaskPlacement[] {
  const placements: TaskPlacement[] = [];
  for (const [worker, tasks] of block) {
    for (let index = 0; index < tasks; index++) {
      placements.push({
        taskIndex: placements.length,
        workerId: worker.workerId,
      });
    }
  }
  return placements;
}
