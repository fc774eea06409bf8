/**
 * The decisions of a data centre's scheduler core. The runtime carries them
 * out and reports the results as events.
 *
 * @module
 */

import type { ErrorKind } from "../../../base/error_kind.ts";
import type { JobId, WorkerId } from "../../../base/identity.ts";
import type { TaskResources } from "./job.ts";

/** The worker of one task of a gang. */
export interface TaskPlacement {
  readonly taskIndex: number;
  readonly workerId: WorkerId;
}

/** Why a job waits, with the text shown to users. */
export const WaitReason = {
  starting: "its gang is being started",
  capacity: "no block of adjacent accelerators is free",
  fragmentation: "enough is free, but not adjacent",
  reservation: "a block is reserved and being drained for it",
  preemption: "victims are being checkpointed for it",
  guaranteeProtection: "a start would endanger a guarantee",
  fairShare: "its client account is over its share",
  borrowingLimit: "its client account is at its borrowing limit",
  dataCentreOut: "the data centre is out",
  returning: "the data centre is back and takes work in step by step",
  startPermission: "the configuration may be out of date",
  workersMissing: "too few workers have announced themselves",
  retryDelay: "it failed and waits before the next attempt",
  recovering: "a new leader is learning what still runs",
} as const;

/** One of the keys of {@link WaitReason}. */
export type WaitReason = keyof typeof WaitReason;

/** Why a gang is stopped. */
export const StopReason = {
  cancelled: "cancelled",
  preempted: "preempted by work with a better claim",
  guaranteeReclaimed: "the guarantee of another client account was reclaimed",
  drained: "the data centre is out",
  workerLeaving: "a worker is leaving",
  gangBroken: "a task of the gang ended early",
  overrun: "it ran far longer than expected",
  migrated: "moved to make room for a larger gang",
  deadlinePassed: "its deadline passed",
} as const;

/** One of the keys of {@link StopReason}. */
export type StopReason = keyof typeof StopReason;

/** How a job ended. */
export const JobOutcome = {
  succeeded: "succeeded",
  failed: "failed",
  cancelled: "cancelled",
  refused: "refused",
  deadlinePassed: "deadlinePassed",
  overran: "overran",
} as const;

/** One of the values of {@link JobOutcome}. */
export type JobOutcome = typeof JobOutcome[keyof typeof JobOutcome];

/** A decision of the scheduler core. */
export type SchedulerDecision =
  | StartGang
  | StopGang
  | ThrottleGang
  | JobWaits
  | JobEnds
  | QuarantineWorker
  | ReleaseWorker;

/** Reserve on every worker, then start; on any failure release everywhere. */
export interface StartGang {
  readonly kind: "startGang";
  readonly jobId: JobId;
  readonly attempt: number;
  readonly resources: TaskResources;
  readonly placements: readonly TaskPlacement[];
  /** The configuration version that the decision is based on. */
  readonly configurationVersion: number;
}

/** Stop every task of the attempt, after a checkpoint if one is wanted. */
export interface StopGang {
  readonly kind: "stopGang";
  readonly jobId: JobId;
  readonly attempt: number;
  readonly reason: StopReason;
  readonly wantsCheckpoint: boolean;
  /** When to stop even if the checkpoint isn't finished. */
  readonly checkpointDeadlineMs: number;
}

/** Limit every task of the attempt to a fraction of its processors. */
export interface ThrottleGang {
  readonly kind: "throttleGang";
  readonly jobId: JobId;
  readonly attempt: number;
  readonly coresFraction: number;
}

/** The reason for which a job waits has changed. */
export interface JobWaits {
  readonly kind: "jobWaits";
  readonly jobId: JobId;
  readonly reason: WaitReason;
}

/** The job has ended; none of its tasks runs. */
export interface JobEnds {
  readonly kind: "jobEnds";
  readonly jobId: JobId;
  readonly outcome: JobOutcome;
  /** The error of a refused job. */
  readonly error?: ErrorKind;
  readonly detail?: string;
}

/** The worker gets no work except a probe after `probeAtMs`. */
export interface QuarantineWorker {
  readonly kind: "quarantineWorker";
  readonly workerId: WorkerId;
  readonly probeAtMs: number;
}

/** A task succeeded on a quarantined worker, which is in use again. */
export interface ReleaseWorker {
  readonly kind: "releaseWorker";
  readonly workerId: WorkerId;
}
