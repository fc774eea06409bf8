/**
 * Changes of job records: how a job ends, a gang's checkpoint, and when a job has
 * used its attempts up.
 *
 * @module
 */

import { type BatchItem, RunEnd } from "./batch_command.ts";
import {
  type JobPhase,
  type JobRecord,
  openOccurrences,
  type StepRecord,
  type TaskRecord,
} from "./job_record.ts";

/** Ends a job; `atMs` is a Unix time. */
export function endJob(job: JobRecord, phase: JobPhase, atMs: number): void {
  job.phase = phase;
  job.endedAtMs = atMs;
}

/**
 * Stores the checkpoint of a run that ended. All tasks of a gang resume from
 * one checkpoint: the one stored last. Of a lost run only the last reported
 * checkpoint is known; it doesn't replace one of the same or a later run.
 */
export function storeCheckpoint(
  target: { step: StepRecord; task: TaskRecord; isGang: boolean },
  { run, how, checkpoint }: Extract<BatchItem, { kind: "end" }>,
): void {
  const { step, task, isGang } = target;
  if (checkpoint === "") {
    return;
  }
  if (!isGang) {
    task.checkpoint = checkpoint;
  } else if (how !== RunEnd.lost || (step.checkpointRun ?? 0) < run) {
    step.checkpointRun = run;
    step.tasks.forEach((member) => member.checkpoint = checkpoint);
  }
}

/**
 * Marks a task as done; for a gang, one task's end marks all of them. Returns how
 * many other open runs ended with it.
 */
export function markDone(
  step: StepRecord,
  ended: { isGang: boolean; task: TaskRecord },
): number {
  const tasks = ended.isGang ? step.tasks : [ended.task];
  let others = 0;
  for (const task of tasks) {
    if (!task.isDone) {
      others += task.worker === undefined ? 0 : 1;
      task.isDone = true;
      task.worker = undefined;
      step.doneTasks += 1;
    }
  }
  return others;
}

/** Whether a task or a gang that isn't done has failed in all its attempts. */
export function isOutOfAttempts(job: JobRecord, attempts: number): boolean {
  for (const [, { steps }] of openOccurrences(job)) {
    const isOut = steps.some((step, position) => {
      const { isGang, isLasting } = job.spec.steps[position]!;
      return !isLasting &&
        (isGang
          ? step.gangFailures >= attempts
          : step.tasks.some(({ isDone, failures }) =>
            !isDone && failures >= attempts
          ));
    });
    if (isOut) {
      return true;
    }
  }
  return false;
}
