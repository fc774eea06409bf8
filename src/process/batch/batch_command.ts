/**
 * The commands of the batch scheduler's log.
 *
 * @module
 */

import type {
  ClientAccountId,
  DataCentreId,
  InstanceId,
  JobId,
  ServiceId,
} from "../../base/identity.ts";
import type { JobSpec, TaskDemand } from "./job_spec.ts";
import type { PoolConfiguration } from "./pool_configuration.ts";

/** The format of commands and snapshots; a reader refuses a newer one. */
export const BATCH_FORMAT_VERSION = 1;

/** One life of a worker: its identity and the moment of its start. */
export type WorkerKey = string;

/** The name of one life of a worker. */
export function lifeKey(id: string, bornMs: number): WorkerKey {
  return `${id}@${bornMs}`;
}

/** The worker that a life is of. */
export function idOfLife(key: WorkerKey): string {
  return key.slice(0, key.lastIndexOf("@"));
}

/** A worker as it announced itself. */
export interface WorkerRecord {
  readonly key: WorkerKey;
  readonly id: string;
  /** Unix time of this life's start, by the worker; 0 where it says none. */
  readonly bornMs: number;
  readonly service: ServiceId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly capacity: TaskDemand;
  readonly labels: readonly string[];
  readonly rack: string;
  readonly isDraining: boolean;
}

/** Whether two records of one life of a worker say the same. */
export function isSameWorker(left: WorkerRecord, right: WorkerRecord): boolean {
  return left.address === right.address &&
    left.service === right.service &&
    left.isDraining === right.isDraining &&
    left.capacity.accelerators === right.capacity.accelerators &&
    left.capacity.cpuMilli === right.capacity.cpuMilli &&
    left.capacity.memoryMb === right.capacity.memoryMb &&
    left.labels.join() === right.labels.join();
}

/** One task of one occurrence of a job. */
export interface TaskRef {
  readonly jobId: JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** How a run came to its end. */
export const RunEnd = {
  done: "done",
  /** Through the task's or the worker's fault; counts as an attempt. */
  failed: "failed",
  /** Stopped by this scheduler. */
  stopped: "stopped",
  /** Its lease ran out. */
  lapsed: "lapsed",
  /** Another member of its gang ended. */
  broken: "broken",
  /** It waited too long for the rest of its gang. */
  alone: "alone",
  /** Its worker is gone, or was silent for a whole lease. */
  lost: "lost",
  /** The worker refused to start it. */
  rejected: "rejected",
} as const;

/** One of the values of {@link RunEnd}. */
export type RunEnd = typeof RunEnd[keyof typeof RunEnd];

/** One task's place in a start. */
export interface StartedTask {
  readonly index: number;
  readonly worker: WorkerKey;
}

/** One change that the leader decided; applied in order. */
export type BatchItem =
  | {
    readonly kind: "accept";
    readonly jobId: JobId;
    readonly queue: string;
    readonly account: ClientAccountId | undefined;
    readonly spec: JobSpec;
    /** When the caller first sent it, as far as known. */
    readonly submittedAtMs: number;
  }
  | { readonly kind: "cancel"; readonly jobId: JobId }
  /** Tasks of one step are to start under one run number; all or none. */
  | {
    readonly kind: "start";
    readonly jobId: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly run: number;
    readonly tasks: readonly StartedTask[];
  }
  | {
    readonly kind: "end";
    readonly task: TaskRef;
    readonly run: number;
    readonly how: RunEnd;
    /** The run's last checkpoint; empty for none. */
    readonly checkpoint: string;
  }
  | { readonly kind: "worker"; readonly worker: WorkerRecord }
  | { readonly kind: "workerGone"; readonly key: WorkerKey }
  /** Ended jobs that nobody may ask for any more. */
  | { readonly kind: "forget"; readonly jobIds: readonly JobId[] };

/** A command of the log. */
export type BatchCommand =
  /** A leader begins; the epoch that it gets fences all earlier ones. */
  | { readonly kind: "epoch"; readonly leaderId: InstanceId }
  | {
    readonly kind: "batch";
    readonly epoch: number;
    readonly atMs: number;
    readonly items: readonly BatchItem[];
  }
  | {
    readonly kind: "configure";
    /** The document as the operator sent it. */
    readonly document: string;
    readonly configuration: PoolConfiguration;
  }
  | {
    readonly kind: "dataCentre";
    readonly dataCentre: DataCentreId;
    readonly isOut: boolean;
  };

/** What applying a command gave. */
export type BatchOutcome =
  | { readonly kind: "epoch"; readonly epoch: number }
  /** Which items took effect, by position. */
  | { readonly kind: "batch"; readonly applied: readonly boolean[] }
  /** The batch's leader is no longer the latest one; nothing took effect. */
  | { readonly kind: "deposed" }
  | { readonly kind: "configured"; readonly version: number }
  | { readonly kind: "dataCentre" };
