/**
 * Starts gangs, stops them and brings jobs to their end.
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

/** Ended jobs that are remembered, so that a resubmission is noticed. */
export const ENDED_JOBS_KEPT = 2_000;

/** How a gang is stopped. */
export interface StopOptions {
  readonly reason: StopReason;
  /** What the job comes to then; absent to queue it again. */
  readonly outcome?: JobOutcome;
  /** When to stop without a checkpoint; absent for none wanted. */
  readonly checkpointDeadlineMs?: number;
}

/** What the job's end says besides its outcome. */
export interface EndOptions {
  readonly error?: ErrorKind;
  readonly detail?: string;
}

/** What others do when a gang has given its room back. */
export type RoomListener = (workers: readonly WorkerState[]) => void;

/** The steps of every gang. */
export class GangLifecycle {
  readonly #context: CoreContext;
  readonly #ended: JobState[] = [];
  readonly #roomListeners: RoomListener[] = [];

  constructor(options: { context: CoreContext }) {
    this.#context = options.context;
  }

  onRoom(listener: RoomListener): void {
    this.#roomListeners.push(listener);
  }

  /** Starts a queued job on a block. */
  start(job: JobState, wholeBlock: Block, isGuaranteed: boolean): void {
    const context = this.#context;
    const block = context.mutations.has("breaksGangs")
      ? withoutFirst(wholeBlock)
      : wholeBlock;
    context.queue.remove(job);
    job.attempt += 1;
    job.phase = JobPhase.starting;
    job.isGuaranteed = isGuaranteed;
    job.configurationVersion = context.policy.version;
    job.waitReason = "starting";
    job.placements = placementsOf(block);
    this.#clearAttempt(job);
    context.ledger.setWaiting(job, false);
    context.ledger.occupy(job, block);
    if (!isGuaranteed) {
      context.promotable.add(job.specification.clientAccount);
    }
    context.decide({
      kind: "startGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      resources: resourcesOf(job.need),
      placements: job.placements,
      configurationVersion: job.configurationVersion,
    });
  }

  /** Stops a live gang; a gang that stops already keeps its first reason. */
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
    this.#context.decide({
      kind: "stopGang",
      jobId: job.specification.jobId,
      attempt: job.attempt,
      reason: options.reason,
      wantsCheckpoint,
      checkpointDeadlineMs: job.stopDeadlineMs,
    });
  }

  /** Takes in that no task of the attempt runs any more. */
  finishStop(job: JobState): void {
    this.giveBack(job);
    if (job.outcomeAfterStop !== undefined) {
      this.end(job, job.outcomeAfterStop);
      return;
    }
    this.requeue(job);
  }

  /** Puts a job that holds no room back in the queue. */
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
    context.atForJob(job.retryAtMs, job.specification.jobId, (waiting) => {
      const isWaiting = waiting.phase === JobPhase.queued &&
        waiting.attempt === attempt && waiting.queueGroup === undefined &&
        waiting.reservation === undefined;
      if (isWaiting) {
        context.setWaitReason(waiting, "capacity");
        context.enqueue(waiting);
      }
    });
  }

  /** Brings a job that holds no room to its end. */
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
    context.decide({
      kind: "jobEnds",
      jobId: job.specification.jobId,
      outcome,
      ...options,
    });
    this.#ended.push(job);
    if (this.#ended.length > ENDED_JOBS_KEPT) {
      const oldest = this.#ended.shift();
      const jobId = oldest?.specification.jobId ?? "";
      // The job may have come back since.
      if (context.jobs.get(jobId) === oldest) {
        context.jobs.delete(jobId);
      }
    }
  }

  /** Takes a live gang's room back, counting the work that it had. */
  giveBack(job: JobState): void {
    const context = this.#context;
    if (job.startedAtMs !== undefined) {
      job.attainedAcceleratorMs += (context.nowMs - job.startedAtMs) *
        Math.max(1, gangAccelerators(job));
    }
    const workers = [...job.workers.keys()];
    context.promotable.add(job.specification.clientAccount);
    context.ledger.release(job);
    context.roomFreed();
    job.phase = JobPhase.queued;
    for (const listener of this.#roomListeners) {
      listener(workers);
    }
  }

  #clearAttempt(job: JobState): void {
    job.startedAtMs = undefined;
    job.checkpointedAtMs = undefined;
    job.stopReason = undefined;
    job.outcomeAfterStop = undefined;
    job.isThrottled = false;
    job.endedTasks.clear();
    job.succeededTasks = 0;
  }
}

/** What is left of a block of several workers without one of them. */
function withoutFirst(block: Block): Block {
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
