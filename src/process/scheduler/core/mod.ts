/**
 * The scheduling core of one data centre.
 *
 * @module
 */

export { findUnplacedGuarantee } from "./guarantee_packing.ts";
export { whyNeverFits } from "./admission.ts";
export { declaredRacks } from "./declared_rack.ts";
export {
  GANG_TASKS_LIMIT,
  type JobSpecification,
  jobSpecificationSchema,
  type TaskResources,
} from "./job.ts";
export { type JobRecord, jobRecordSchema } from "./job_record.ts";
export { JobPhase } from "./job_state.ts";
export {
  JobOutcome,
  type SchedulerDecision,
  StopReason,
  type TaskPlacement,
  WaitReason,
} from "./scheduler_decision.ts";
export {
  type SchedulerEvent,
  TaskOutcome,
  type TaskReference,
  type WorkerDescription,
} from "./scheduler_event.ts";
export {
  type RestoreOptions,
  SchedulerCore,
  type SchedulerCoreOptions,
  type SchedulerPolicy,
} from "./scheduler_core.ts";
export type { JobView, SchedulerMetrics, WorkerView } from "./views.ts";
