/**
 * State and services shared by the parts of a leader session.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { JobId } from "../../../base/identity.ts";
import type { SchedulerEvent } from "../core/scheduler_event.ts";
import type { AttemptRecord } from "./job_record.ts";
import type { LeaseOptions } from "./lease_rule.ts";
import type { LedgerWriter } from "./ledger_writer.ts";
import type { StartPermission } from "./start_permission.ts";
import type { WorkerCaller } from "./worker_caller.ts";
import type { WorkerTable } from "./worker_table.ts";

/** A safety check that tests turn off to show that its absence is noticed. */
export type OmittedCheck =
  /** The start permission is checked again before the start commands. */
  | "secondGate"
  /** Start commands expire with the start permission. */
  | "startValidity"
  /** An attempt is committed to the log before it is started. */
  | "intentFirst"
  /** A failed start is stopped on every worker. */
  | "releaseAll"
  /** Recovery waits for silent workers until their leases have expired. */
  | "recoveryWait"
  /**
   * Leases end at most `leaseMs` after the oldest of the latest confirmations
   * by the gang's workers.
   */
  | "gangEvidence"
  /** A stop waits for the worker's confirmation or the end of its lease. */
  | "lapseWait"
  /** Tasks of attempts that the leader doesn't know are released. */
  | "returnedTasks"
  /** A job counts as transferred only once the target has accepted it. */
  | "transferOnce";

/** State and services shared by the parts of a leader session. */
export interface SessionContext {
  readonly clock: Clock;
  readonly term: number;
  readonly lease: LeaseOptions;
  readonly events: EventLog;
  readonly workers: WorkerTable;
  readonly caller: WorkerCaller;
  readonly writer: LedgerWriter;
  readonly startPermission: StartPermission;
  /** Whether this instance still leads in this term. */
  isLeading(): boolean;
  /** The job's open attempt in the log, whose tasks may be running. */
  openAttempt(jobId: JobId): AttemptRecord | undefined;
  /** Feeds an event to the core. */
  feed(event: SchedulerEvent): void;
  /** Whether a test has turned the check off. */
  omits(check: OmittedCheck): boolean;
}
