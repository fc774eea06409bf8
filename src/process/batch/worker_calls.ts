/**
 * What the scheduler's leader asks of workers.
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
  /** Until when everything on the worker may run, by the worker's clock. */
  readonly leaseEndMs: number;
  /** The leader's epoch; the worker obeys the highest that it has seen. */
  readonly epoch: number;
  /** Where the run resumes; empty for the beginning. */
  readonly checkpoint: string;
}

/** Why a worker didn't start a run. */
export const StartRefusal = {
  /** It has seen a later leader. */
  fenced: "fenced",
  /** This run, or a later one, was stopped or has ended there. */
  old: "old",
  /** The lease in the order had run out. */
  late: "late",
  /** The task doesn't fit beside what runs. */
  noRoom: "noRoom",
  /** The worker says that it is unwell; it has done nothing. */
  unwell: "unwell",
  /** The order can't be read, or meant another life of the worker. */
  wrong: "wrong",
} as const;

/** One of the values of {@link StartRefusal}. */
export type StartRefusal = typeof StartRefusal[keyof typeof StartRefusal];

/** What a worker said to a start. */
export interface StartAnswer {
  readonly refusal: StartRefusal | undefined;
  /** The worker's clock, where it told it. */
  readonly clockMs: number | undefined;
}

/** A run that is on a worker. */
export interface RunningTask {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
}

/** A run that ended on a worker. */
export interface EndedTask {
  /** Counts the ends of this life of the worker, from 1. */
  readonly number: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** What a worker says of itself in answer to a lease. */
export interface WorkerReport {
  readonly clockMs: number;
  /** The start of this life of the worker; 0 where it says none. */
  readonly bornMs: number;
  readonly running: readonly RunningTask[];
  /** Ends after the last one noted, oldest first; maybe not all. */
  readonly ended: readonly EndedTask[];
}

/** A lease for all that runs on a worker, and a request for its report. */
export interface LeaseOrder {
  readonly epoch: number;
  /** Absent while the worker's clock isn't known. */
  readonly leaseEndMs: number | undefined;
  /** Ends up to this number are stored and may be forgotten. */
  readonly notedEnd: number;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: number;
}

/** Bounds of one call. */
export interface WorkerCallOptions {
  readonly timeoutMs: number;
}

/**
 * Calls to workers. `unavailable` says that nothing listens there, so that
 * nothing was done; `outcomeUnknown` that the call may be carried out yet.
 */
export interface WorkerCalls {
  start(
    worker: WorkerRecord,
    order: StartOrder,
    options: WorkerCallOptions,
  ): Promise<Result<StartAnswer>>;
  stop(
    worker: WorkerRecord,
    order: { task: TaskRef; run: number; epoch: number },
    options: WorkerCallOptions,
  ): Promise<Result<void>>;
  lease(
    worker: WorkerRecord,
    order: LeaseOrder,
    options: WorkerCallOptions,
  ): Promise<Result<WorkerReport>>;
  close(): Promise<void>;
}
