/**
 * Judges by the workers' own notes how jobs were run.
 *
 * @module
 */

import type { TaskNote } from "./cluster.ts";

/** One job that was submitted. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly tasks: number;
}

/** Everything that went against the promises; empty when all held. */
export function findJobFaults(
  notes: readonly TaskNote[],
  jobs: readonly SubmittedJob[],
): string[] {
  return jobs.flatMap((job) =>
    judgeJob(job, notes.filter(({ jobId }) => jobId === job.jobId))
  );
}

function judgeJob(job: SubmittedJob, notes: readonly TaskNote[]): string[] {
  const faults: string[] = [];
  const attempts = new Set(notes.map(({ attempt }) => attempt));
  const whole = [...attempts].filter((attempt) =>
    countSucceeded(notes, attempt) === job.tasks
  );
  if (whole.length !== 1) {
    faults.push(`${job.jobId} succeeded ${whole.length} times as a whole gang`);
  }
  if (runsTwiceAtOnce(notes)) {
    faults.push(`two attempts of ${job.jobId} ran at once`);
  }
  return faults;
}

function countSucceeded(notes: readonly TaskNote[], attempt: number): number {
  return notes.filter((note) =>
    note.attempt === attempt && note.kind === "ended" &&
    note.outcome === "succeeded"
  ).length;
}

function runsTwiceAtOnce(notes: readonly TaskNote[]): boolean {
  const running = new Map<number, number>();
  for (const { attempt, kind } of notes) {
    const change = kind === "started" ? 1 : -1;
    running.set(attempt, (running.get(attempt) ?? 0) + change);
    const atOnce = [...running.values()].filter((count) => count > 0).length;
    if (atOnce > 1) {
      return true;
    }
  }
  return false;
}
