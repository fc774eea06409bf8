/**
 * One job as the scheduler knows it.
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

/** Where a job stands. */
export const JobPhase = {
  queued: "queued",
  starting: "starting",
  running: "running",
  stopping: "stopping",
  ended: "ended",
} as const;

/** One of the values of {@link JobPhase}. */
export type JobPhase = typeof JobPhase[keyof typeof JobPhase];

/** One job. */
export interface JobState {
  readonly specification: JobSpecification;
  readonly submittedAtMs: number;
  /** Counts submissions; breaks ties of time. */
  readonly order: number;
  rank: number;
  /** What each task takes, corrected by experience. */
  need: Readonly<Amounts>;
  /** The run time expected by experience. */
  expectedRunMs: number;
  phase: JobPhase;
  attempt: number;
  placements: readonly TaskPlacement[];
  /** Tasks of the current attempt on each worker that isn't lost. */
  readonly workers: Map<WorkerState, number>;
  /** Whether the attempt lies within its client account's guarantee. */
  isGuaranteed: boolean;
  configurationVersion: number;
  waitReason: WaitReason;
  reservation: Reservation | undefined;
  /** When the gang of the current attempt ran whole. */
  startedAtMs: number | undefined;
  checkpointedAtMs: number | undefined;
  /** Accelerator-milliseconds had by all earlier attempts. */
  attainedAcceleratorMs: number;
  /** Attempts that ended by a failure of the job's own tasks. */
  failures: number;
  /** Workers on which its tasks failed. */
  readonly failedOn: Set<WorkerId>;
  retryAtMs: number;
  /** When it last came into the queue. */
  queuedAtMs: number;
  /** Since when its waiting counts towards a reservation. */
  agingFromMs: number | undefined;
  /** Whether it counts among its client account's waiting jobs. */
  isWaiting: boolean;
  stopReason: StopReason | undefined;
  /** By when the gang that is being stopped should be gone. */
  stopDeadlineMs: number;
  /** What the job comes to once it has stopped; absent to queue again. */
  outcomeAfterStop: JobOutcome | undefined;
  outcome: JobOutcome | undefined;
  /** Tasks of the current attempt that have ended, with success or not. */
  readonly endedTasks: Set<number>;
  succeededTasks: number;
  isThrottled: boolean;
  /** Accelerators on loan that count towards the borrowing limit. */
  borrowedAccelerators: number;
  /** How often a reservation of another gang has evicted it. */
  drainEvictions: number;
  /** Its key in the queue; absent while it isn't queued. */
  queueGroup: string | undefined;
}

/** A job as submitted, waiting. */
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

/** All accelerators that the whole gang takes. */
export function gangAccelerators(job: JobState): number {
  return job.need.accelerators * job.specification.tasks;
}

/** Whether the attempt holds room on workers. */
export function isLive(job: JobState): boolean {
  return job.phase === JobPhase.starting || job.phase === JobPhase.running ||
    job.phase === JobPhase.stopping;
}

/**
 * Accelerator-milliseconds that would be lost if the gang stopped now, or,
 * with time for a checkpoint, if it can't make one.
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
