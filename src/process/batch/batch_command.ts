/**
 * The commands of the batch scheduler's replicated log.
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
import { isSocketAddress } from "../../base/socket_address.ts";
import type { WorkerSpeedRecord } from "./decisions/worker_speed_class.ts";
import type { JobSpec, TaskDemand } from "./job_spec.ts";
import type { PoolConfiguration } from "./pool_configuration.ts";

/** The format of snapshots; a reader refuses any other one. */
export const BATCH_FORMAT_VERSION = 1;

/**
 * The key of one worker incarnation, `<worker ID>@<Unix time of its start>`. An
 * incarnation is one process of a worker, from its start to its end.
 */
export type WorkerKey = string;

/** The key of the incarnation of a worker that started at `bornMs`. */
export function workerKeyOf(id: string, bornMs: number): WorkerKey {
  return `${id}@${bornMs}`;
}

/** The ID of the worker that an incarnation belongs to. */
export function workerIdOf(key: WorkerKey): string {
  return key.slice(0, key.lastIndexOf("@"));
}

/** A worker as it announced itself. */
export interface WorkerRecord {
  readonly key: WorkerKey;
  readonly id: string;
  /** Unix time of this incarnation's start; 0 if the worker reports none. */
  readonly bornMs: number;
  readonly service: ServiceId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly capacity: TaskDemand;
  readonly labels: readonly string[];
  readonly rack: string;
  readonly isDraining: boolean;
}

/**
 * What is wrong with a worker's record; undefined if it names a worker that can
 * be called. Records come from anyone who writes announcements.
 */
export function findWorkerFault(worker: WorkerRecord): string | undefined {
  const { id, bornMs, service, dataCentre, rack, labels } = worker;
  const { capacity, isDraining } = worker;
  const amounts = [
    capacity?.cpuMilli,
    capacity?.memoryMb,
    capacity?.accelerators,
  ];
  if (!Number.isSafeInteger(bornMs) || bornMs < 0) {
    return `the start ${bornMs} isn't a Unix time`;
  }
  const { address } = worker;
  if (typeof address !== "string" || !isSocketAddress(address)) {
    return `the address ${address} can't be called`;
  }
  const texts = [id, service, dataCentre, rack, ...(labels ?? [undefined])];
  if (texts.some((text) => typeof text !== "string")) {
    return "a name isn't a text";
  }
  if (!amounts.every((amount) => Number.isFinite(amount) && amount >= 0)) {
    return "an amount of the capacity isn't a number from 0 on";
  }
  return typeof isDraining === "boolean" ? undefined : "the state is unknown";
}

/**
 * Whether two records of one incarnation agree in the fields that may change.
 */
export function isSameWorkerRecord(
  left: WorkerRecord,
  right: WorkerRecord,
): boolean {
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

/** How a run ended. */
export const RunEnd = {
  done: "done",
  /** The task or its worker failed; counts as an attempt. */
  failed: "failed",
  /** Stopped by this scheduler. */
  stopped: "stopped",
  /** Its lease expired. */
  lapsed: "lapsed",
  /** Another task of its gang ended. */
  broken: "broken",
  /** It waited too long for the other tasks of its gang. */
  alone: "alone",
  /**
   * Its worker is gone, no longer has it, or didn't answer for a whole lease.
   */
  lost: "lost",
  /** The worker refused to start it. */
  rejected: "rejected",
} as const;

/** One of the values of {@link RunEnd}. */
export type RunEnd = typeof RunEnd[keyof typeof RunEnd];

/** One task of a start, and the worker that it starts on. */
export interface StartedTask {
  readonly index: number;
  readonly worker: WorkerKey;
}

/** The speed class of one worker incarnation, until that is gone. */
export interface WorkerSpeedItem extends WorkerSpeedRecord {
  readonly kind: "workerSpeed";
  readonly key: WorkerKey;
}

/** One change of the state; the items of a batch are applied in order. */
export type BatchItem =
  | {
    readonly kind: "accept";
    readonly jobId: JobId;
    readonly queue: string;
    readonly account: ClientAccountId | undefined;
    readonly spec: JobSpec;
    /**
     * The version of the configuration that the queue, the client account and
     * the key were looked up in. The job isn't accepted under another one, nor
     * for a queue that isn't known. Absent in items of earlier versions.
     */
    readonly version?: number;
    /** Unix time at which an instance received the caller's call. */
    readonly submittedAtMs: number;
  }
  /** Cancels a job, also one that is submitted or accepted only later. */
  | {
    readonly kind: "cancel";
    readonly jobId: JobId;
    /** As for a job that is accepted: the key of the call was looked up in it. */
    readonly version?: number;
  }
  /** Starts tasks of one step under one run number; all of them or none. */
  | {
    readonly kind: "start";
    readonly jobId: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly run: number;
    readonly tasks: readonly StartedTask[];
  }
  /**
   * Records that runs of one step are on their workers, and that no other start of
   * them can still be carried out: no other incarnation of a worker can have them.
   */
  | {
    readonly kind: "settle";
    readonly jobId: JobId;
    readonly occurrence: number;
    readonly step: number;
    readonly run: number;
    readonly indices: readonly number[];
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
  /**
   * Records a changed speed class. Replicas of earlier versions ignore it, as one
   * ignores a class that it doesn't know.
   */
  | WorkerSpeedItem
  /**
   * Removes ended jobs, and tombstones, that were kept long enough: for callers to
   * read them, and for late submissions to arrive.
   */
  | { readonly kind: "forget"; readonly jobIds: readonly JobId[] };

/** A command of the log. */
export type BatchCommand =
  /** Begins a new epoch for a leader; it fences all earlier ones. */
  | { readonly kind: "epoch"; readonly leaderId: InstanceId }
  | {
    readonly kind: "batch";
    readonly epoch: number;
    /** Unix time at which the leader proposed the batch. */
    readonly atMs: number;
    readonly items: readonly BatchItem[];
  }
  | {
    readonly kind: "configure";
    /** The document as the operator sent it. */
    readonly document: string;
    readonly configuration: PoolConfiguration;
    /** Unix time of the proposal; absent in commands of earlier versions. */
    readonly atMs?: number;
  }
  | {
    readonly kind: "dataCentre";
    readonly dataCentre: DataCentreId;
    readonly isOut: boolean;
    /**
     * The revision of the data centres in service that the order was made from.
     * It takes no effect on another one: a link may have held it while a newer
     * order was acknowledged. Absent in orders of earlier versions.
     */
    readonly revision?: number;
  };

/** The outcome of applying a command. */
export type BatchOutcome =
  | { readonly kind: "epoch"; readonly epoch: number }
  /** Whether each item took effect. */
  | { readonly kind: "batch"; readonly applied: readonly boolean[] }
  /** The batch is of an earlier epoch than the latest; nothing took effect. */
  | { readonly kind: "deposed" }
  | { readonly kind: "configured"; readonly version: number }
  | { readonly kind: "dataCentre" }
  /** The data centres in service have changed since the order was made. */
  | { readonly kind: "superseded" };
