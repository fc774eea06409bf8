/**
 * What the parts of one period of leadership share.
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
import type { StartGate } from "./start_gate.ts";
import type { WorkerCaller } from "./worker_caller.ts";
import type { WorkerTable } from "./worker_table.ts";

/** A check left out on purpose, in tests of the checks alone. */
export type OmittedCheck =
  | "secondGate"
  | "startValidity"
  | "intentFirst"
  | "releaseAll"
  | "recoveryWait"
  | "gangEvidence"
  | "lapseWait"
  | "returnedTasks"
  | "transferOnce";

/** What the parts of one period of leadership share. */
export interface SessionContext {
  readonly clock: Clock;
  readonly term: number;
  readonly lease: LeaseOptions;
  readonly events: EventLog;
  readonly workers: WorkerTable;
  readonly caller: WorkerCaller;
  readonly writer: LedgerWriter;
  readonly gate: StartGate;
  /** Whether this instance still leads in this term. */
  isLive(): boolean;
  /** The attempt of the job of which tasks may run, by the log. */
  openAttempt(jobId: JobId): AttemptRecord | undefined;
  /** Tells the core. */
  feed(event: SchedulerEvent): void;
  omits(check: OmittedCheck): boolean;
}
