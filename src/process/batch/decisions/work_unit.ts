/**
 * Finds the tasks of a job that are ready to start, grouped by step.
 *
 * @module
 */

import type { QueueConfiguration } from "../pool_configuration.ts";
import {
  dueAtMs,
  isOccurrenceDone,
  isStepDone,
  isStepReady,
  JobPhase,
  type JobRecord,
  occurrenceCount,
  type OccurrenceRecord,
  type TaskRecord,
} from "../job_record.ts";
import { type StepSpec, TASKS_LIMIT, tasksPerOccurrence } from "../job_spec.ts";

/** The waiting tasks of one ready step of one occurrence. */
export interface WorkUnit {
  readonly job: JobRecord;
  readonly queue: QueueConfiguration;
  readonly occurrence: number;
  readonly step: number;
  readonly spec: StepSpec;
  /** All tasks of the step; empty before the occurrence's first start. */
  readonly tasks: readonly TaskRecord[];
  /** Indices of the tasks that wait to be started. */
  readonly waiting: readonly number[];
  /** The run number of the next start. */
  readonly nextRun: number;
}

/** How long before its due time an occurrence may start. */
const EARLY_START_MS = 0;

/** Maximum number of units of one step that one planning pass considers. */
const UNITS_PER_STEP_LIMIT = 32;

/**
 * The units of a job that may start now. Of a job with many occurrences that are
 * due, these are the first ones: the others follow as those make progress.
 */
export function waitingUnits(
  job: JobRecord,
  options: { queue: QueueConfiguration; dueByMs: number },
): WorkUnit[] {
  const units: WorkUnit[] = [];
  if (job.phase !== JobPhase.active) {
    return units;
  }
  const unitsOfStep = job.spec.steps.map(() => 0);
  for (const number of occurrencesInProgress(job, options.dueByMs)) {
    const occurrence = job.occurrences[number];
    const context = { queue: options.queue, number, occurrence };
    for (let step = 0; step < job.spec.steps.length; step++) {
      if (unitsOfStep[step]! >= UNITS_PER_STEP_LIMIT) {
        continue;
      }
      const unit = unitOf(job, step, context);
      if (unit !== undefined) {
        units.push(unit);
        unitsOfStep[step]! += 1;
      }
    }
  }
  return units;
}

/**
 * The first occurrences that are due and aren't done: as many as have no more
 * than {@link TASKS_LIMIT} tasks together, or one.
 */
function* occurrencesInProgress(
  job: JobRecord,
  dueByMs: number,
): Generator<number> {
  const tasks = tasksPerOccurrence(job.spec);
  let tasksLeft = TASKS_LIMIT;
  const first = job.firstOpenOccurrence ?? 0;
  for (let number = first; number < occurrenceCount(job); number++) {
    const record = job.occurrences[number];
    if (record !== undefined && isOccurrenceDone(record)) {
      continue;
    }
    if (
      tasks > tasksLeft || dueAtMs(job, number) > dueByMs + EARLY_START_MS
    ) {
      return;
    }
    tasksLeft -= tasks;
    yield number;
  }
}

function unitOf(
  job: JobRecord,
  step: number,
  context: {
    queue: QueueConfiguration;
    number: number;
    occurrence: OccurrenceRecord | undefined;
  },
): WorkUnit | undefined {
  const { queue, number, occurrence } = context;
  const spec = job.spec.steps[step]!;
  const record = occurrence?.steps[step];
  const isOver = record !== undefined && isStepDone(record);
  if (isOver || !isStepReady(job, occurrence, step)) {
    return undefined;
  }
  const tasks = record?.tasks ?? [];
  const waiting = waitingIndices(spec, tasks);
  if (waiting.length === 0) {
    return undefined;
  }
  const nextRun = 1 + waiting.reduce(
    (highest, index) => Math.max(highest, tasks[index]?.run ?? 0),
    0,
  );
  return {
    job,
    queue,
    occurrence: number,
    step,
    spec,
    tasks,
    waiting,
    nextRun,
  };
}

/** Indices of the tasks to start; none while any task of a gang runs. */
function waitingIndices(
  spec: StepSpec,
  tasks: readonly TaskRecord[],
): number[] {
  const indices: number[] = [];
  for (let index = 0; index < spec.taskCount; index++) {
    const task = tasks[index];
    if (task?.worker !== undefined && spec.isGang) {
      return [];
    }
    if (task === undefined || (!task.isDone && task.worker === undefined)) {
      indices.push(index);
    }
  }
  return indices;
}
