/**
 * The events of a data centre's scheduler core. The core reads no clock: every
 * event carries the time at which it happened.
 *
 * @module
 */

import type { JobId, RackId, WorkerId } from "../../../base/identity.ts";
import type { ConfigurationVersion } from "../../../version/configuration_version.ts";
import type { JobSpecification } from "./job.ts";

/** A task of one attempt of a job. */
export interface TaskReference {
  readonly jobId: JobId;
  /** Number of the start of the job, from 1. */
  readonly attempt: number;
  /** From 0 to the number of tasks minus 1. */
  readonly taskIndex: number;
}

/** A worker as it announces itself. */
export interface WorkerDescription {
  readonly workerId: WorkerId;
  readonly rack: RackId;
  readonly cores: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
}

/** The measured usage of one task, which may be out of date. */
export interface TaskUsage extends TaskReference {
  readonly cores: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
  /** When the task last finished a checkpoint; absent if it never did. */
  readonly checkpointedAtMs?: number;
}

/** How one task ended. */
export const TaskOutcome = {
  succeeded: "succeeded",
  /** It exited with an error status. */
  failed: "failed",
  /** Stopped by a decision of the scheduler, after a checkpoint. */
  checkpointed: "checkpointed",
  /** Stopped by a decision of the scheduler, without a checkpoint. */
  stopped: "stopped",
  /** Its worker was lost, or its lease expired. */
  lost: "lost",
} as const;

/** One of the values of {@link TaskOutcome}. */
export type TaskOutcome = typeof TaskOutcome[keyof typeof TaskOutcome];

/** An event that the scheduler core handles. */
export type SchedulerEvent =
  | ConfigurationChanged
  | StartPermissionExtended
  | WorkerJoined
  | WorkerUsageReported
  | WorkerLeaving
  | WorkerLost
  | JobSubmitted
  | JobCancelled
  | GangStarted
  | GangStartFailed
  | TaskEnded
  | GangStopped
  | ClockTicked;

/** A new configuration version is in force. */
export interface ConfigurationChanged {
  readonly kind: "configurationChanged";
  readonly atMs: number;
  readonly configuration: ConfigurationVersion;
}

/** The configuration was confirmed as current; jobs may start for longer. */
export interface StartPermissionExtended {
  readonly kind: "startPermissionExtended";
  readonly atMs: number;
  readonly permittedUntilMs: number;
}

/** A worker announced itself, for the first time or again. */
export interface WorkerJoined {
  readonly kind: "workerJoined";
  readonly atMs: number;
  readonly worker: WorkerDescription;
  /** Tasks that it runs already, for example after a change of leader. */
  readonly running: readonly TaskReference[];
}

/** A worker reported usage. */
export interface WorkerUsageReported {
  readonly kind: "workerUsageReported";
  readonly atMs: number;
  readonly workerId: WorkerId;
  readonly usages: readonly TaskUsage[];
}

/** A worker announced that it will leave; it gets no new work. */
export interface WorkerLeaving {
  readonly kind: "workerLeaving";
  readonly atMs: number;
  readonly workerId: WorkerId;
}

/** A worker's lease expired, or it restarted. */
export interface WorkerLost {
  readonly kind: "workerLost";
  readonly atMs: number;
  readonly workerId: WorkerId;
}

/** A job was submitted, or transferred from another data centre. */
export interface JobSubmitted {
  readonly kind: "jobSubmitted";
  readonly atMs: number;
  readonly job: JobSpecification;
  /**
   * The highest attempt number that the job has used in any data centre; the
   * next start takes a higher one. Absent if it has never started.
   */
  readonly attemptsUsed?: number;
  /**
   * Whether it was transferred from another data centre: it is then accepted
   * even if this one knows it as ended.
   */
  readonly isReturned?: boolean;
}

/** A job was cancelled by its submitter. */
export interface JobCancelled {
  readonly kind: "jobCancelled";
  readonly atMs: number;
  readonly jobId: JobId;
}

/** Every task of the attempt has started. */
export interface GangStarted {
  readonly kind: "gangStarted";
  readonly atMs: number;
  readonly jobId: JobId;
  readonly attempt: number;
}

/** The start failed; every worker released the attempt and runs none of it. */
export interface GangStartFailed {
  readonly kind: "gangStartFailed";
  readonly atMs: number;
  readonly jobId: JobId;
  readonly attempt: number;
  /** The workers that refused the start or didn't answer. */
  readonly workerIds: readonly WorkerId[];
}

/** One task of an attempt ended. */
export interface TaskEnded extends TaskReference {
  readonly kind: "taskEnded";
  readonly atMs: number;
  readonly workerId: WorkerId;
  readonly outcome: TaskOutcome;
}

/** A `stopGang` decision was completed on every worker. */
export interface GangStopped {
  readonly kind: "gangStopped";
  readonly atMs: number;
  readonly jobId: JobId;
  readonly attempt: number;
  readonly isCheckpointed: boolean;
}

/** Runs due timers (deadlines, reservations, probes) and a placement pass. */
export interface ClockTicked {
  readonly kind: "clockTicked";
  readonly atMs: number;
}
