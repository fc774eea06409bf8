/**
 * The batch scheduler: runs jobs of steps on one pool of workers in all data
 * centres. One leader decides; its log is replicated on the instances that have
 * a disk.
 *
 * @module
 */

export {
  type BatchCommand,
  type BatchOutcome,
  findWorkerFault,
  RunEnd,
  type TaskRef,
  workerKeyOf,
  type WorkerRecord,
} from "./batch_command.ts";
export { BatchService } from "./batch_service.ts";
export { BatchState } from "./batch_state.ts";
export {
  BATCH_TIMING,
  type BatchTiming,
  type DeploymentBounds,
  timingFor,
} from "./batch_timing.ts";
export {
  callsEndpoint,
  HttpCallTransport,
  wasNeverSent,
} from "./http_call_transport.ts";
export type { CallTarget, JobAnswer, JobCall } from "./job_call.ts";
export type { JobSpec, StepSpec, TaskDemand } from "./job_spec.ts";
export { type LeaderCallResult, LeaderFinder } from "./leader_finder.ts";
export { SeedWatch, type SeedWatchOptions } from "./seed_watch.ts";
export type {
  AccountConfiguration,
  PoolConfiguration,
  QueueConfiguration,
  ServiceConfiguration,
} from "./pool_configuration.ts";
export {
  type EndedTask,
  type LeaseOrder,
  type RunningTask,
  type StartAnswer,
  type StartOrder,
  StartRefusal,
  type WorkerCallOptions,
  type WorkerCalls,
  type WorkerReport,
} from "./worker_calls.ts";
export { StateHost, type StateHostOptions } from "./state_host.ts";
