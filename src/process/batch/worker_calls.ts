/**
 * The calls of the scheduler's leader to workers.
 *
 * @module
 */

import type { Result } from "../../base/sesame_error.ts";
import type { RunEnd, TaskRef, WorkerRecord } from "./batch_command.ts";

/** An order to start one run of a task. */
export interface StartOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly payload: string;
  /** The end of the lease for all runs on the worker, by the worker's clock. */
  readonly leaseEndMs: number;
  /** The worker refuses orders with a lower fence than it has seen. */
  readonly fence: number;
  /** Where the run resumes; empty for the beginning. */
  readonly checkpoint: string;
}

/** Why a worker didn't start a run. */
export const StartRefusal = {
  /** The worker has seen a higher fence. */
  fenced: "fenced",
  /** This run, or a later one, was stopped or has ended there. */
  old: "old",
  /** The lease in the order had expired. */
  late: "late",
  /** The task doesn't fit beside the running ones. */
  noRoom: "noRoom",
  /** The worker reports that it is unwell; nothing was done. */
  unwell: "unwell",
  /** The order can't be read, or was meant for another incarnation. */
  wrong: "wrong",
} as const;

/** One of the values of {@link StartRefusal}. */
export type StartRefusal = typeof StartRefusal[keyof typeof StartRefusal];

/** A worker's answer to a start. */
export interface StartAnswer {
  readonly refusal: StartRefusal | undefined;
  /** The worker's clock, if the answer holds it. */
  readonly clockMs: number | undefined;
}

/** A run that a worker has. */
export interface RunningTask {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
  /** The share of the work that is done, 0 to 1; undefined if not reported. */
  readonly progress: number | undefined;
}

/** A run that ended on a worker. */
export interface EndedTask {
  /** Position among the ends of this worker incarnation, from 1. */
  readonly number: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** A worker's report of its runs, in answer to a lease. */
export interface WorkerReport {
  readonly clockMs: number;
  /** Unix time of the worker's start; 0 if it reports none. */
  readonly bornMs: number;
  readonly running: readonly RunningTask[];
  /** Ends after the last acknowledged one, oldest first; possibly not all. */
  readonly ended: readonly EndedTask[];
  /** The number of the last end listed, whosever task it was of. */
  readonly lastEndNumber?: number | undefined;
  /**
   * Whether no run or end is left out: a report holds a limited number of ends,
   * and rows that can't be read are skipped.
   */
  readonly isComplete: boolean;
}

/** A lease for all runs on a worker, and a request for its report. */
export interface LeaseOrder {
  /** As in {@link StartOrder}. */
  readonly fence: number;
  /** By the worker's clock; undefined to request a report without a lease. */
  readonly leaseEndMs: number | undefined;
  /** Ends up to this number are stored; the worker may drop them. */
  readonly acknowledgedUpTo: number;
  /** How long the worker may wait for a run to end before it answers. */
  readonly waitMs: number;
}

/** Options of one call. */
export interface WorkerCallOptions {
  readonly timeoutMs: number;
}

/**
 * Calls to workers. They fail with `unavailable` if nothing listens at the
 * address, so that nothing was done, and with `outcomeUnknown` if the call may
 * have been carried out or may still be.
 */
export interface WorkerCalls {
  start(
    worker: WorkerRecord,
    order: StartOrder,
    options: WorkerCallOptions,
  ): Promise<Result<StartAnswer>>;
  stop(
    worker: WorkerRecord,
    order: { task: TaskRef; run: number; fence: number },
    options: WorkerCallOptions,
  ): Promise<Result<void>>;
  lease(
    worker: WorkerRecord,
    order: LeaseOrder,
    options: WorkerCallOptions,
  ): Promise<Result<WorkerReport>>;
  close(): Promise<void>;
}
