/**
 * What a caller submits: a job of steps, each of equal tasks.
 *
 * @module
 */

/** What one task needs of a worker. */
export interface TaskDemand {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One step: `taskCount` equal tasks that may start together. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  /** The caller's rough idea of one task's duration. */
  readonly estimateMs: number;
  /** Steps, by position, whose tasks must all be done first. */
  readonly afterSteps: readonly number[];
  readonly isCheckpointing: boolean;
  /** Whether the tasks only work together, and end together. */
  readonly isGang: boolean;
  /** Whether tasks slow down when they are spread over several racks. */
  readonly prefersOneRack: boolean;
  /** Whether tasks are restarted however they end, until the job's cancel. */
  readonly isLasting: boolean;
  /** A label that the worker must carry. */
  readonly requiredLabel: string | undefined;
  /** The rack that holds the tasks' data; other racks are slower. */
  readonly dataRack: string | undefined;
  /** The most tasks of this step on one worker. */
  readonly tasksPerWorkerLimit: number | undefined;
}

/** When a job's steps run, if more than once or at a set time. */
export interface Recurrence {
  readonly count: number;
  /** Unix time of the first occurrence. */
  readonly firstAtMs: number;
  readonly intervalMs: number;
}

/** A job as submitted. */
export interface JobSpec {
  /** Opaque text that every task is started with. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence: Recurrence | undefined;
}

/** The most steps of one job. */
export const STEPS_LIMIT = 64;

/** The most tasks of one job in one occurrence. */
export const TASKS_LIMIT = 4_096;

/** The most occurrences of one job. */
export const OCCURRENCES_LIMIT = 10_000;

/** Why a job can't be taken as it is, or undefined for a sound one. */
export function findSpecFault(spec: JobSpec): string | undefined {
  if (spec.steps.length === 0 || spec.steps.length > STEPS_LIMIT) {
    return `expected 1 to ${STEPS_LIMIT} steps, not ${spec.steps.length}`;
  }
  const tasks = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (tasks > TASKS_LIMIT) {
    return `${tasks} tasks are over the limit of ${TASKS_LIMIT}`;
  }
  if ((spec.recurrence?.count ?? 1) > OCCURRENCES_LIMIT) {
    return `more than ${OCCURRENCES_LIMIT} occurrences`;
  }
  for (const [position, step] of spec.steps.entries()) {
    if (step.afterSteps.some((after) => after >= position || after < 0)) {
      return `step ${position} may only wait for earlier steps`;
    }
  }
  return undefined;
}
