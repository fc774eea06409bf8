/**
 * What is kept of a job, in the replicated state.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../base/identity.ts";
import type { WorkerKey } from "./batch_command.ts";
import type { JobSpec, StepSpec } from "./job_spec.ts";

/** What became of a job. */
export const JobPhase = {
  active: "active",
  completed: "completed",
  failed: "failed",
  cancelled: "cancelled",
} as const;

/** One of the values of {@link JobPhase}. */
export type JobPhase = typeof JobPhase[keyof typeof JobPhase];

/** One task. A task with a worker has a run that isn't known to have ended. */
export interface TaskRecord {
  /** The highest run number used; 0 before the first start. */
  run: number;
  worker: WorkerKey | undefined;
  startedAtMs: number;
  isDone: boolean;
  failures: number;
  checkpoint: string;
}

/** One step of one occurrence. */
export interface StepRecord {
  readonly tasks: TaskRecord[];
  doneTasks: number;
  /** Failed runs of the gang, and the latest of them. */
  gangFailures: number;
  lastFailedRun: number;
  /** The run of a gang that its members' checkpoint is of; absent for none. */
  checkpointRun?: number;
}

/** One occurrence, from its first start on. */
export interface OccurrenceRecord {
  readonly steps: StepRecord[];
}

/** One job. */
export interface JobRecord {
  readonly id: JobId;
  readonly queue: string;
  readonly account: ClientAccountId | undefined;
  readonly spec: JobSpec;
  readonly submittedAtMs: number;
  readonly acceptedAtMs: number;
  phase: JobPhase;
  endedAtMs: number;
  hasStarted: boolean;
  readonly occurrences: OccurrenceRecord[];
  doneOccurrences: number;
}

/** A job that nothing was started of. */
export function newJobRecord(
  options: Pick<
    JobRecord,
    "id" | "queue" | "account" | "spec" | "submittedAtMs" | "acceptedAtMs"
  >,
): JobRecord {
  return {
    ...options,
    phase: JobPhase.active,
    endedAtMs: 0,
    hasStarted: false,
    occurrences: [],
    doneOccurrences: 0,
  };
}

/** How often the job's steps run. */
export function occurrenceCount(job: JobRecord): number {
  return job.spec.recurrence?.count ?? 1;
}

/** When an occurrence may start; 0 for a job without set times. */
export function dueAtMs(job: JobRecord, occurrence: number): number {
  const { recurrence } = job.spec;
  return recurrence === undefined
    ? 0
    : recurrence.firstAtMs + occurrence * recurrence.intervalMs;
}

/** The occurrence's record, made when it is new. */
export function occurrenceOf(
  job: JobRecord,
  occurrence: number,
): OccurrenceRecord {
  while (job.occurrences.length <= occurrence) {
    job.occurrences.push({ steps: job.spec.steps.map(newStep) });
  }
  return job.occurrences[occurrence]!;
}

function newStep(spec: StepSpec): StepRecord {
  return {
    tasks: Array.from({ length: spec.taskCount }, () => ({
      run: 0,
      worker: undefined,
      startedAtMs: 0,
      isDone: false,
      failures: 0,
      checkpoint: "",
    })),
    doneTasks: 0,
    gangFailures: 0,
    lastFailedRun: 0,
  };
}

/** Whether all tasks of a step are done. */
export function isStepDone(step: StepRecord): boolean {
  return step.doneTasks === step.tasks.length;
}

/** Whether every step that this one waits for is done. */
export function isStepDue(
  job: JobRecord,
  occurrence: OccurrenceRecord | undefined,
  step: number,
): boolean {
  return job.spec.steps[step]!.afterSteps.every((after) =>
    occurrence !== undefined && isStepDone(occurrence.steps[after]!)
  );
}

/** Whether a run of the job isn't known to have ended. */
export function hasOpenRuns(job: JobRecord): boolean {
  return job.occurrences.some(({ steps }) =>
    steps.some(({ tasks }) => tasks.some(({ worker }) => worker !== undefined))
  );
}
