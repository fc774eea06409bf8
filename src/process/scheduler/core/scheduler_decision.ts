/**
 * What a data centre's scheduler decides. The runtime carries decisions out
 * and answers with events.
 *
 * @module
 */

import type { ErrorKind } from "../../../base/error_kind.ts";
import type { JobId, WorkerId } from "../../../base/identity.ts";
import type { TaskResources } from "./job.ts";

/** Where one task of a gang goes. */
export interface TaskPlacement {
  readonly taskIndex: number;
  readonly workerId: WorkerId;
}

/** Why a job waits. */
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

/** How a job came to its end. */
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

/** A decision out of the scheduler core. */
export type SchedulerDecision =
  | StartGang
  | StopGang
  | ThrottleGang
  | JobWaits
  | JobEnds
  | QuarantineWorker
  | ReleaseWorker;

/** Reserve on every worker, then start; any failure releases all. */
export interface StartGang {
  readonly kind: "startGang";
  readonly jobId: JobId;
  readonly attempt: number;
  readonly resources: TaskResources;
  readonly placements: readonly TaskPlacement[];
  /** The configuration version under which it was decided. */
  readonly configurationVersion: number;
}

/** Stop every task of the attempt, after a checkpoint where one is asked. */
export interface StopGang {
  readonly kind: "stopGang";
  readonly jobId: JobId;
  readonly attempt: number;
  readonly reason: StopReason;
  readonly wantsCheckpoint: boolean;
  /** When the stop goes ahead without a checkpoint. */
  readonly checkpointDeadlineMs: number;
}

/** Slow every task of the attempt down to a fraction of its processors. */
export interface ThrottleGang {
  readonly kind: "throttleGang";
  readonly jobId: JobId;
  readonly attempt: number;
  readonly coresFraction: number;
}

/** The reason for waiting has changed. */
export interface JobWaits {
  readonly kind: "jobWaits";
  readonly jobId: JobId;
  readonly reason: WaitReason;
}

/** The job has come to its end; nothing of it runs. */
export interface JobEnds {
  readonly kind: "jobEnds";
  readonly jobId: JobId;
  readonly outcome: JobOutcome;
  /** The error of a refused job. */
  readonly error?: ErrorKind;
  readonly detail?: string;
}

/** Place nothing on the worker, but for a probe after `probeAtMs`. */
export interface QuarantineWorker {
  readonly kind: "quarantineWorker";
  readonly workerId: WorkerId;
  readonly probeAtMs: number;
}

/** The worker has shown that it works. */
export interface ReleaseWorker {
  readonly kind: "releaseWorker";
  readonly workerId: WorkerId;
}
