/**
 * The units of work that wait: the waiting tasks of one due step.
 *
 * @module
 */

import type { QueueConfiguration } from "../pool_configuration.ts";
import {
  dueAtMs,
  isStepDone,
  isStepDue,
  JobPhase,
  type JobRecord,
  occurrenceCount,
  type OccurrenceRecord,
  type TaskRecord,
} from "../job_record.ts";
import type { StepSpec } from "../job_spec.ts";

/** The waiting tasks of one due step of one occurrence. */
export interface WorkUnit {
  readonly job: JobRecord;
  readonly queue: QueueConfiguration;
  readonly occurrence: number;
  readonly step: number;
  readonly spec: StepSpec;
  /** Empty where the step has no record yet. */
  readonly tasks: readonly TaskRecord[];
  readonly waiting: readonly number[];
  /** The run number of the next start. */
  readonly nextRun: number;
}

/** How far ahead of its due time nothing of an occurrence may start. */
const EARLY_MS = 0;

/** All units of a job that may start now. */
export function waitingUnits(
  job: JobRecord,
  options: { queue: QueueConfiguration; nowMs: number },
): WorkUnit[] {
  const units: WorkUnit[] = [];
  if (job.phase !== JobPhase.active) {
    return units;
  }
  for (let number = 0; number < occurrenceCount(job); number++) {
    if (dueAtMs(job, number) > options.nowMs + EARLY_MS) {
      break;
    }
    const occurrence = job.occurrences[number];
    const place = { queue: options.queue, number, occurrence };
    for (let step = 0; step < job.spec.steps.length; step++) {
      const unit = unitOf(job, step, place);
      if (unit !== undefined) {
        units.push(unit);
      }
    }
  }
  return units;
}

function unitOf(
  job: JobRecord,
  step: number,
  place: {
    queue: QueueConfiguration;
    number: number;
    occurrence: OccurrenceRecord | undefined;
  },
): WorkUnit | undefined {
  const { queue, number, occurrence } = place;
  const spec = job.spec.steps[step]!;
  const record = occurrence?.steps[step];
  const isOver = record !== undefined && isStepDone(record);
  if (isOver || !isStepDue(job, occurrence, step)) {
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

/** A gang waits only as a whole. */
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
