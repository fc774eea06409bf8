/**
 * What happens to a data centre's scheduler. The core is a pure function of
 * its state and these; every event carries its moment.
 *
 * @module
 */

import type { JobId, RackId, WorkerId } from "../../../base/identity.ts";
import type { ConfigurationVersion } from "../../../version/configuration_version.ts";
import type { JobSpecification } from "./job.ts";

/** A task of one attempt of a job. */
export interface TaskReference {
  readonly jobId: JobId;
  /** Counts the starts of the job, from 1. */
  readonly attempt: number;
  /** From 0 up to the number of tasks. */
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

/** What one task was seen to use; it lags behind. */
export interface TaskUsage extends TaskReference {
  readonly cores: number;
  readonly memoryBytes: number;
  readonly accelerators: number;
  /** When the task last finished a checkpoint; absent for never. */
  readonly checkpointedAtMs?: number;
}

/** How one task came to its end. */
export const TaskOutcome = {
  succeeded: "succeeded",
  /** Its own exit status said so. */
  failed: "failed",
  /** Stopped by a decision of ours, after a checkpoint. */
  checkpointed: "checkpointed",
  /** Stopped by a decision of ours, without one. */
  stopped: "stopped",
  /** Its worker, or its lease, was lost. */
  lost: "lost",
} as const;

/** One of the values of {@link TaskOutcome}. */
export type TaskOutcome = typeof TaskOutcome[keyof typeof TaskOutcome];

/** An event into the scheduler core. */
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

/** The copy of the configuration was current; starts are allowed till then. */
export interface StartPermissionExtended {
  readonly kind: "startPermissionExtended";
  readonly atMs: number;
  readonly permittedUntilMs: number;
}

/** A worker announced itself, or came back. */
export interface WorkerJoined {
  readonly kind: "workerJoined";
  readonly atMs: number;
  readonly worker: WorkerDescription;
  /** What it runs already, such as after a change of leader. */
  readonly running: readonly TaskReference[];
}

/** A worker reported usage. */
export interface WorkerUsageReported {
  readonly kind: "workerUsageReported";
  readonly atMs: number;
  readonly workerId: WorkerId;
  readonly usages: readonly TaskUsage[];
}

/** A worker said that it will leave; it gets nothing new. */
export interface WorkerLeaving {
  readonly kind: "workerLeaving";
  readonly atMs: number;
  readonly workerId: WorkerId;
}

/** A worker's lease has run out. */
export interface WorkerLost {
  readonly kind: "workerLost";
  readonly atMs: number;
  readonly workerId: WorkerId;
}

/** A job was accepted into the queue. */
export interface JobSubmitted {
  readonly kind: "jobSubmitted";
  readonly atMs: number;
  readonly job: JobSpecification;
  /**
   * The highest attempt number that the job has used, here or in the data
   * centre it came from; the next start takes a higher one. Absent for none.
   */
  readonly attemptsUsed?: number;
  /**
   * Whether it came from another data centre: it is then taken in even if it
   * left this one before.
   */
  readonly isReturned?: boolean;
}

/** Its submitter wants a job no more. */
export interface JobCancelled {
  readonly kind: "jobCancelled";
  readonly atMs: number;
  readonly jobId: JobId;
}

/** Every task of the attempt runs. */
export interface GangStarted {
  readonly kind: "gangStarted";
  readonly atMs: number;
  readonly jobId: JobId;
  readonly attempt: number;
}

/** The attempt was released on every worker; no task of it runs. */
export interface GangStartFailed {
  readonly kind: "gangStartFailed";
  readonly atMs: number;
  readonly jobId: JobId;
  readonly attempt: number;
  /** The workers that refused or stayed silent. */
  readonly workerIds: readonly WorkerId[];
}

/** One task of a running gang came to its end. */
export interface TaskEnded extends TaskReference {
  readonly kind: "taskEnded";
  readonly atMs: number;
  readonly workerId: WorkerId;
  readonly outcome: TaskOutcome;
}

/** A `stopGang` decision was carried out on every worker. */
export interface GangStopped {
  readonly kind: "gangStopped";
  readonly atMs: number;
  readonly jobId: JobId;
  readonly attempt: number;
  readonly isCheckpointed: boolean;
}

/** Time went by: deadlines, reservations, probes and drains are looked at. */
export interface ClockTicked {
  readonly kind: "clockTicked";
  readonly atMs: number;
}
