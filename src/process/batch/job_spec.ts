/**
 * The job that a caller submits: steps, each of equal tasks.
 *
 * @module
 */

/** The resources that one task needs on a worker. */
export interface TaskDemand {
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** One step of `taskCount` equal tasks. */
export interface StepSpec {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  /** The caller's estimate of one task's duration. */
  readonly estimateMs: number;
  /** Positions of the steps whose tasks must all be done first. */
  readonly afterSteps: readonly number[];
  /**
   * Whether a run resumes from the last checkpoint of the task, or its gang.
   */
  readonly isCheckpointing: boolean;
  /** Whether the tasks can only run at the same time, and end together. */
  readonly isGang: boolean;
  /** Whether tasks run more slowly when they are spread over several racks. */
  readonly prefersOneRack: boolean;
  /**
   * Whether tasks are restarted however they end, until the job is cancelled.
   */
  readonly isLasting: boolean;
  /** A label that the worker must carry. */
  readonly requiredLabel: string | undefined;
  /** The rack that holds the tasks' data; other racks are slower. */
  readonly dataRack: string | undefined;
  /** Maximum number of tasks of this step on one worker. */
  readonly tasksPerWorkerLimit: number | undefined;
}

/** When a job's steps run, if they run at a set time or repeatedly. */
export interface Recurrence {
  readonly count: number;
  /** Unix time of the first occurrence. */
  readonly firstAtMs: number;
  readonly intervalMs: number;
}

/** A job as submitted. */
export interface JobSpec {
  /** Opaque text that is passed to every task. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly recurrence: Recurrence | undefined;
}

/** Maximum number of steps of one job. */
export const STEPS_LIMIT = 64;

/** Maximum number of tasks of one job in one occurrence. */
export const TASKS_LIMIT = 4_096;

/** Maximum number of occurrences of one job. */
export const OCCURRENCES_LIMIT = 10_000;

/** What is wrong with a job; undefined if it is valid. */
export function findSpecFault(spec: JobSpec): string | undefined {
  if (spec.steps.length === 0 || spec.steps.length > STEPS_LIMIT) {
    return `expected 1 to ${STEPS_LIMIT} steps, not ${spec.steps.length}`;
  }
  const tasks = spec.steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (tasks > TASKS_LIMIT) {
    return `${tasks} tasks exceed the limit of ${TASKS_LIMIT}`;
  }
  if ((spec.recurrence?.count ?? 1) > OCCURRENCES_LIMIT) {
    return `more than ${OCCURRENCES_LIMIT} occurrences`;
  }
  for (const [position, step] of spec.steps.entries()) {
    if (step.afterSteps.some((after) => after >= position || after < 0)) {
      return `step ${position} may only depend on earlier steps`;
    }
  }
  return undefined;
}
