/**
 * The calls of callers and workers to the leader, and its answers. Any instance
 * may receive them, and forwards them to the leader.
 *
 * @module
 */

import type { JobId } from "../../base/identity.ts";
import type { WorkerRecord } from "./batch_command.ts";
import type { JobPhase } from "./job_record.ts";
import type { JobSpec } from "./job_spec.ts";

/** The host, path and API key of a caller's call. */
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
    /**
     * Unix time at which an instance received the caller's call, by the clock of
     * the instance that holds this.
     */
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
    /** Higher in later announcements of one incarnation. */
    readonly sequence: number;
  }
  /** A worker announced that it leaves. */
  | { readonly kind: "workerLeaves"; readonly workerId: string }
  /** Checks that there is a leader that answers. */
  | { readonly kind: "ping" };

/** A job's state as callers see it. */
export type CallerPhase = JobPhase | "queued";

/** Why a job was refused. */
export const RefusalReason = {
  /** It couldn't complete while its result is still of value; not in use. */
  tooLate: "tooLate",
  /** Too many jobs are active. */
  queueFull: "queueFull",
  /** A gang, or a single task, exceeds the client account's limit by itself. */
  accountLimit: "accountLimit",
  /** No worker of the service, or not all together, could hold it. */
  unservable: "unservable",
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

/** An instance's answer to a call. */
export type JobAnswer =
  | { readonly kind: "accepted" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterS: number;
    /** What the caller could change; absent in earlier versions. */
    readonly detail?: string;
  }
  | { readonly kind: "state"; readonly phase: CallerPhase }
  | { readonly kind: "cancelled" }
  | { readonly kind: "pending"; readonly jobs: number }
  | { readonly kind: "unknownQueue" }
  | { readonly kind: "unknownJob" }
  | { readonly kind: "unauthenticated" }
  | { readonly kind: "invalid"; readonly detail: string }
  /** An announcement or leave was handled. */
  | { readonly kind: "noted" }
  /** This instance leads; the answer to a ping. */
  | { readonly kind: "leading"; readonly memberIds: readonly string[] }
  /** This instance doesn't lead, so that nothing was done. */
  | {
    readonly kind: "notLeader";
    readonly leaderId: string | undefined;
    readonly memberIds: readonly string[];
  }
  /** The change may or may not have been stored. */
  | { readonly kind: "unknown" };
