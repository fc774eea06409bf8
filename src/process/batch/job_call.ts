/**
 * What callers and workers ask of the leader, and its answers; they travel
 * from any instance to the leader.
 *
 * @module
 */

import type { JobId } from "../../base/identity.ts";
import type { WorkerRecord } from "./batch_command.ts";
import type { JobPhase } from "./job_record.ts";
import type { JobSpec } from "./job_spec.ts";

/** Where a caller's call goes, and with which key. */
export interface CallTarget {
  readonly host: string;
  readonly path: string;
  readonly apiKey: string | undefined;
}

/** One call. */
export type JobCall =
  | {
    readonly kind: "submit";
    readonly target: CallTarget;
    readonly jobId: JobId;
    readonly spec: JobSpec;
    /** Unix time at which the door took the call in. */
    readonly receivedAtMs: number;
  }
  | {
    readonly kind: "state";
    readonly target: CallTarget;
    readonly jobId: JobId;
  }
  | {
    readonly kind: "cancel";
    readonly target: CallTarget;
    readonly jobId: JobId;
  }
  | { readonly kind: "pending"; readonly target: CallTarget }
  /** A worker announced itself. */
  | {
    readonly kind: "workerSeen";
    readonly worker: WorkerRecord;
    readonly clockMs: number | undefined;
    readonly sequence: number;
  }
  /** A worker ends; with the start of its life where that is known. */
  | { readonly kind: "workerLeaves"; readonly workerId: string }
  /** Whether there is a leader that can answer. */
  | { readonly kind: "ping" };

/** A job's state as callers see it. */
export type CallerPhase = JobPhase | "queued";

/** Why a job was not taken. */
export const RefusalReason = {
  /** It could not be done within any time that is worth something. */
  tooLate: "tooLate",
  /** More waits than the queue may hold. */
  queueFull: "queueFull",
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

/** What the leader answers. */
export type JobAnswer =
  | { readonly kind: "accepted" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterS: number;
  }
  | { readonly kind: "state"; readonly phase: CallerPhase }
  | { readonly kind: "cancelled" }
  | { readonly kind: "pending"; readonly jobs: number }
  | { readonly kind: "unknownQueue" }
  | { readonly kind: "unknownJob" }
  | { readonly kind: "unauthenticated" }
  | { readonly kind: "invalid"; readonly detail: string }
  /** Noted; the next announcement may go straight to this instance. */
  | { readonly kind: "noted" }
  /** Nothing was done, and another instance may know more. */
  | {
    readonly kind: "notLeader";
    readonly leaderId: string | undefined;
    readonly memberIds: readonly string[];
  }
  /** The change may or may not have been stored. */
  | { readonly kind: "unknown" };
