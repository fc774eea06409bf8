/**
 * The record of a job in the replicated state.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../base/identity.ts";
import type { WorkerKey } from "./batch_command.ts";
import type { JobSpec, StepSpec } from "./job_spec.ts";

/** Whether a job is still active, or how it ended. */
export const JobPhase = {
  active: "active",
  completed: "completed",
  failed: "failed",
  cancelled: "cancelled",
} as const;

/** One of the values of {@link JobPhase}. */
export type JobPhase = typeof JobPhase[keyof typeof JobPhase];

/** One task of a step. */
export interface TaskRecord {
  /** The highest run number used; 0 before the first start. */
  run: number;
  /** Where the task's run is open: started and not known to have ended. */
  worker: WorkerKey | undefined;
  /** Unix time at which the leader proposed the latest start. */
  startedAtMs: number;
  /**
   * Whether the open run is on its worker, and can't be anywhere else. Absent for
   * no, and in earlier versions.
   */
  isSettled?: boolean;
  isDone: boolean;
  failures: number;
  /** Where the next run resumes; empty for the beginning. */
  checkpoint: string;
}

/** One step of one occurrence. */
export interface StepRecord {
  readonly tasks: TaskRecord[];
  doneTasks: number;
  /** Failed runs of the gang, however many of its tasks failed in each. */
  gangFailures: number;
  /** The latest failed run of the gang. */
  lastFailedRun: number;
  /** The gang's run that saved its checkpoint; absent for none. */
  checkpointRun?: number;
}

/** One occurrence; it has a record from its first start on. */
export interface OccurrenceRecord {
  /** Empty once all tasks of the occurrence are done. */
  readonly steps: readonly StepRecord[];
}

/** The record of every occurrence that is done. */
const DONE_OCCURRENCE: OccurrenceRecord = { steps: [] };

/** One job; the times are Unix times in milliseconds. */
export interface JobRecord {
  readonly id: JobId;
  /** Changes if a version renames the queue. */
  queue: string;
  readonly account: ClientAccountId | undefined;
  /** Without its texts once the job has ended and nothing of it runs. */
  spec: JobSpec;
  readonly submittedAtMs: number;
  readonly acceptedAtMs: number;
  phase: JobPhase;
  endedAtMs: number;
  hasStarted: boolean;
  readonly occurrences: OccurrenceRecord[];
  doneOccurrences: number;
  /** All earlier occurrences are done; absent in earlier versions. */
  firstOpenOccurrence?: number;
}

/** An active job of which nothing has started. */
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

/** How many times the job's steps run. */
export function occurrenceCount(job: JobRecord): number {
  return job.spec.recurrence?.count ?? 1;
}

/**
 * Unix time at which an occurrence is due; 0 for a job without a recurrence.
 */
export function dueAtMs(job: JobRecord, occurrence: number): number {
  const { recurrence } = job.spec;
  return recurrence === undefined
    ? 0
    : recurrence.firstAtMs + occurrence * recurrence.intervalMs;
}

/** The occurrence's record, created together with earlier ones if missing. */
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

/** Whether all tasks of an occurrence with a record are done. */
export function isOccurrenceDone({ steps }: OccurrenceRecord): boolean {
  return steps.every(isStepDone);
}

/** Records that an occurrence is done, and drops the records of its tasks. */
export function closeOccurrence(job: JobRecord, occurrence: number): void {
  job.occurrences[occurrence] = DONE_OCCURRENCE;
  job.doneOccurrences += 1;
  let first = job.firstOpenOccurrence ?? 0;
  while (job.occurrences[first]?.steps.length === 0) {
    first += 1;
  }
  job.firstOpenOccurrence = first;
}

/** The occurrences that have started and aren't done, with their numbers. */
export function* openOccurrences(
  job: JobRecord,
): Generator<[number, OccurrenceRecord]> {
  const first = job.firstOpenOccurrence ?? 0;
  for (let number = first; number < job.occurrences.length; number++) {
    const occurrence = job.occurrences[number]!;
    if (occurrence.steps.length > 0) {
      yield [number, occurrence];
    }
  }
}

/** Whether all tasks of a step are done. */
export function isStepDone(step: StepRecord): boolean {
  return step.doneTasks === step.tasks.length;
}

/** Whether every step that this one depends on is done. */
export function isStepReady(
  job: JobRecord,
  occurrence: OccurrenceRecord | undefined,
  step: number,
): boolean {
  return job.spec.steps[step]!.afterSteps.every((after) =>
    occurrence !== undefined && isStepDone(occurrence.steps[after]!)
  );
}

/** Whether the job has a run that isn't known to have ended. */
export function hasOpenRuns(job: JobRecord): boolean {
  for (const [, { steps }] of openOccurrences(job)) {
    const isOpen = steps.some(({ tasks }) =>
      tasks.some(({ worker }) => worker !== undefined)
    );
    if (isOpen) {
      return true;
    }
  }
  return false;
}
