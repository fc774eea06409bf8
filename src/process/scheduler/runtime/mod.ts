/**
 * The parts of the scheduler runtime that the daemon uses.
 *
 * @module
 */

export type { DecisionCore, DecisionCoreFactory } from "./decision_core.ts";
export {
  decodeJobCommand,
  type JobCommand,
  type JobCommandOutcome,
} from "./job_command.ts";
export {
  JOB_LEDGER_DEFAULTS,
  JobLedger,
  type JobLedgerOptions,
} from "./job_ledger.ts";
export type { JobView, WorkerView } from "./job_view.ts";
export { LEASE_DEFAULTS, type LeaseOptions } from "./lease_rule.ts";
export type { InstanceLocation } from "./peer_calls.ts";
export {
  type JobAccepted,
  type QueryResult,
  SchedulerRuntime,
  type SchedulerRuntimeOptions,
} from "./scheduler_runtime.ts";
export {
  HttpWorkerClient,
  type HttpWorkerClientOptions,
  type WorkerClient,
} from "./worker_client.ts";
export { type WorkerReport, workerReportSchema } from "./worker_report.ts";
