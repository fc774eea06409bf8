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

/** Maximum length of a job's ID. */
export const JOB_ID_LENGTH_LIMIT = 256;

/** Maximum length of the label and the rack that a step names. */
export const LABEL_LENGTH_LIMIT = 256;

/** Maximum length of a job's payload, in UTF-16 code units. */
export const PAYLOAD_LENGTH_LIMIT = 16_384;

/** Maximum number of steps of one job. */
export const STEPS_LIMIT = 64;

/** Maximum number of tasks of one job in one occurrence. */
export const TASKS_LIMIT = 4_096;

/** Maximum number of occurrences of one job. */
export const OCCURRENCES_LIMIT = 10_000;

/**
 * Maximum number of tasks of one gang: they start together, within the time that
 * workers wait for all of them.
 */
export const GANG_TASKS_LIMIT = 512;

/** The number of tasks of one occurrence. */
export function tasksPerOccurrence(spec: JobSpec): number {
  return spec.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}

/**
 * The most tasks of a job that are in progress at once: those of its occurrences
 * that are due, up to the limit, or those of one occurrence.
 */
export function tasksInProgress(spec: JobSpec): number {
  const tasks = tasksPerOccurrence(spec);
  return Math.min(TASKS_LIMIT, tasks * (spec.recurrence?.count ?? 1));
}

/** Whether some tasks run until the job is cancelled. */
export function hasLastingStep(spec: JobSpec): boolean {
  return spec.steps.some((step) => step.isLasting);
}

/** The heap of a job's record and of a step, measured on Node 20. */
const JOB_BYTES = 400;
const STEP_BYTES = 300;
const DEPENDENCY_BYTES = 8;

/** The estimated heap of a job's specification, in bytes. */
export function specBytes({ payload, steps }: JobSpec): number {
  return steps.reduce(
    (sum, { requiredLabel = "", dataRack = "", afterSteps }) =>
      sum + STEP_BYTES + afterSteps.length * DEPENDENCY_BYTES +
      Buffer.byteLength(requiredLabel) + Buffer.byteLength(dataRack),
    JOB_BYTES + Buffer.byteLength(payload),
  );
}

/** The specification without its payload, labels and racks. */
export function withoutTexts(spec: JobSpec): JobSpec {
  return {
    ...spec,
    payload: "",
    steps: spec.steps.map((step) => ({
      ...step,
      requiredLabel: undefined,
      dataRack: undefined,
    })),
  };
}

/** What is wrong with a job; undefined if it is valid. */
export function findSpecFault(spec: JobSpec): string | undefined {
  if (spec.steps.length === 0 || spec.steps.length > STEPS_LIMIT) {
    return `expected 1 to ${STEPS_LIMIT} steps, not ${spec.steps.length}`;
  }
  if (spec.payload.length > PAYLOAD_LENGTH_LIMIT) {
    return `the payload is longer than ${PAYLOAD_LENGTH_LIMIT} characters`;
  }
  const tasks = tasksPerOccurrence(spec);
  if (tasks > TASKS_LIMIT) {
    return `${tasks} tasks exceed the limit of ${TASKS_LIMIT}`;
  }
  const occurrences = spec.recurrence?.count ?? 1;
  if (occurrences > OCCURRENCES_LIMIT) {
    return `more than ${OCCURRENCES_LIMIT} occurrences`;
  }
  // Its occurrences never end, so that none can wait for earlier ones.
  if (hasLastingStep(spec) && tasks * occurrences > TASKS_LIMIT) {
    return `${occurrences} occurrences that last exceed the limit of ` +
      `${TASKS_LIMIT} tasks`;
  }
  for (const [position, step] of spec.steps.entries()) {
    if (step.isGang && step.taskCount > GANG_TASKS_LIMIT) {
      return `a gang of ${step.taskCount} tasks exceeds the limit of ` +
        `${GANG_TASKS_LIMIT}`;
    }
    const labels = [step.requiredLabel ?? "", step.dataRack ?? ""];
    if (labels.some(({ length }) => length > LABEL_LENGTH_LIMIT)) {
      return `step ${position} names a label or rack of more than ` +
        `${LABEL_LENGTH_LIMIT} characters`;
    }
    if (step.afterSteps.length > STEPS_LIMIT) {
      return `step ${position} depends on more than ${STEPS_LIMIT} steps`;
    }
    if (step.afterSteps.some((after) => after >= position || after < 0)) {
      return `step ${position} may only depend on earlier steps`;
    }
  }
  return undefined;
}
