/**
 * The scheduler's state of one job.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import { type Amounts, amountsOf } from "./amounts.ts";
import type { JobSpecification } from "./job.ts";
import type { Reservation } from "./reservation.ts";
import type {
  JobOutcome,
  StopReason,
  TaskPlacement,
  WaitReason,
} from "./scheduler_decision.ts";
import type { WorkerState } from "./worker_state.ts";

/** The phase of a job's life cycle. */
export const JobPhase = {
  queued: "queued",
  starting: "starting",
  running: "running",
  stopping: "stopping",
  ended: "ended",
} as const;

/** One of the values of {@link JobPhase}. */
export type JobPhase = typeof JobPhase[keyof typeof JobPhase];

/** The mutable state of one job. */
export interface JobState {
  readonly specification: JobSpecification;
  readonly submittedAtMs: number;
  /** Number of the submission; orders jobs submitted at the same time. */
  readonly order: number;
  rank: number;
  /** What each task takes, corrected by the observed use of earlier jobs. */
  need: Readonly<Amounts>;
  /** Declared run time, corrected by the run times of earlier jobs. */
  expectedRunMs: number;
  phase: JobPhase;
  attempt: number;
  placements: readonly TaskPlacement[];
  /** Number of tasks of the current attempt by worker, without lost workers. */
  readonly workers: Map<WorkerState, number>;
  /** Whether the attempt counts towards its client account's guarantee. */
  isGuaranteed: boolean;
  configurationVersion: number;
  waitReason: WaitReason;
  reservation: Reservation | undefined;
  /** When every task of the current attempt had started. */
  startedAtMs: number | undefined;
  checkpointedAtMs: number | undefined;
  /** Accelerator-milliseconds used by all earlier attempts. */
  attainedAcceleratorMs: number;
  /** Attempts that failed because of the job's own tasks. */
  failures: number;
  /** Workers on which a task or a start of it failed; avoided if possible. */
  readonly failedOn: Set<WorkerId>;
  retryAtMs: number;
  /** When it last became queued. */
  queuedAtMs: number;
  /** The `queuedAtMs` for which its ageing timer was set. */
  agingFromMs: number | undefined;
  /** Whether it counts among its client account's waiting jobs. */
  isWaiting: boolean;
  stopReason: StopReason | undefined;
  /**
   * Checkpoint deadline of the gang that is being stopped; if it makes no
   * checkpoint, when its stop began.
   */
  stopDeadlineMs: number;
  /** The job's outcome once it has stopped; undefined to queue it again. */
  outcomeAfterStop: JobOutcome | undefined;
  outcome: JobOutcome | undefined;
  /** Tasks of the current attempt that have ended, successfully or not. */
  readonly endedTasks: Set<number>;
  succeededTasks: number;
  isThrottled: boolean;
  /** Accelerators held beyond the guarantee, subject to the borrowing limit. */
  borrowedAccelerators: number;
  /** How many times it was evicted for another gang's draining reservation. */
  drainEvictions: number;
  /** The key of its queue group; undefined while it isn't in the queue. */
  queueGroup: string | undefined;
}

/** The state of a job on submission: queued. */
export function newJobState(
  specification: JobSpecification,
  options: { submittedAtMs: number; order: number },
): JobState {
  return {
    specification,
    submittedAtMs: options.submittedAtMs,
    order: options.order,
    rank: 9,
    need: amountsOf(specification.resources),
    expectedRunMs: specification.declaredRunMs,
    phase: JobPhase.queued,
    attempt: 0,
    placements: [],
    workers: new Map(),
    isGuaranteed: false,
    configurationVersion: 0,
    waitReason: "capacity",
    reservation: undefined,
    startedAtMs: undefined,
    checkpointedAtMs: undefined,
    attainedAcceleratorMs: 0,
    failures: 0,
    failedOn: new Set(),
    retryAtMs: 0,
    queuedAtMs: options.submittedAtMs,
    agingFromMs: undefined,
    isWaiting: false,
    stopReason: undefined,
    stopDeadlineMs: 0,
    outcomeAfterStop: undefined,
    outcome: undefined,
    endedTasks: new Set(),
    succeededTasks: 0,
    isThrottled: false,
    borrowedAccelerators: 0,
    drainEvictions: 0,
    queueGroup: undefined,
  };
}

/** Accelerators that the gang takes in total. */
export function gangAccelerators(job: JobState): number {
  return job.need.accelerators * job.specification.tasks;
}

/** Whether the job has an attempt that holds capacity on workers. */
export function isLive(job: JobState): boolean {
  return job.phase === JobPhase.starting || job.phase === JobPhase.running ||
    job.phase === JobPhase.stopping;
}

/**
 * Accelerator-milliseconds since the last checkpoint that a stop now would
 * lose; 0 if there is time for a checkpoint and the gang can make one. A gang
 * without accelerators counts as if it had one.
 */
export function workAtRisk(
  job: JobState,
  options: { readonly nowMs: number; readonly hasTimeToCheckpoint: boolean },
): number {
  const { nowMs } = options;
  const isSaved = options.hasTimeToCheckpoint &&
    job.specification.canCheckpoint;
  if (job.startedAtMs === undefined || isSaved) {
    return 0;
  }
  const sinceMs = Math.max(job.startedAtMs, job.checkpointedAtMs ?? 0);
  const weight = Math.max(1, gangAccelerators(job));
  return Math.max(0, nowMs - sinceMs) * weight;
}
