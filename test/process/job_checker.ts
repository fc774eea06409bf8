/**
 * Checks how jobs were run, from the history files of the workers.
 *
 * @module
 */

import type { TaskRecord } from "./cluster.ts";

/** A job that was submitted. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly tasks: number;
}

/** Checks that each job succeeded once and its attempts did not overlap. */
export function findJobViolations(
  records: readonly TaskRecord[],
  jobs: readonly SubmittedJob[],
): string[] {
  return jobs.flatMap((job) =>
    checkJob(job, records.filter(({ jobId }) => jobId === job.jobId))
  );
}

function checkJob(job: SubmittedJob, records: readonly TaskRecord[]): string[] {
  const violations: string[] = [];
  const attempts = new Set(records.map(({ attempt }) => attempt));
  const complete = [...attempts].filter((attempt) =>
    countSucceeded(records, attempt) === job.tasks
  );
  if (complete.length !== 1) {
    violations.push(
      `${job.jobId} succeeded ${complete.length} times as a complete gang`,
    );
  }
  if (hasConcurrentAttempts(records)) {
    violations.push(`two attempts of ${job.jobId} ran at once`);
  }
  return violations;
}

function countSucceeded(
  records: readonly TaskRecord[],
  attempt: number,
): number {
  return records.filter((record) =>
    record.attempt === attempt && record.kind === "ended" &&
    record.outcome === "succeeded"
  ).length;
}

function hasConcurrentAttempts(records: readonly TaskRecord[]): boolean {
  const running = new Map<number, number>();
  for (const { attempt, kind } of records) {
    const change = kind === "started" ? 1 : -1;
    running.set(attempt, (running.get(attempt) ?? 0) + change);
    const concurrent = [...running.values()].filter((count) =>
      count > 0
    ).length;
    if (concurrent > 1) {
      return true;
    }
  }
  return false;
}
