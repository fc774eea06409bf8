/**
 * Describes the open runs that a new leader takes over, for the log.
 *
 * @module
 */

import type { OpenRunState } from "./run_table.ts";

/** The fields of one line about inherited runs. */
export interface InheritedRunsFields extends Record<string, string> {
  /** The jobs of the runs, separated by spaces. */
  readonly jobIds: string;
  /** Each as `task/run@worker`, separated by spaces. */
  readonly runs: string;
}

/**
 * Beyond this many jobs, one line names the runs of several. With the further
 * lines of jobs with many runs, all lines fit into the event's budget.
 */
const JOB_LINES_LIMIT = 100;
const RUN_LINES_LIMIT = 50;

/** With about 60 bytes a run, a line stays within one write to a pipe. */
const RUNS_PER_LINE = 50;

/** The lines about inherited runs: one for each job unless there are many. */
export function describeInheritedRuns(
  runs: readonly Pick<OpenRunState, "task" | "taskKey" | "run" | "worker">[],
): InheritedRunsFields[] {
  const byJob = new Map<string, string[]>();
  for (const { task, taskKey, run, worker } of runs) {
    const texts = byJob.get(task.jobId) ?? [];
    byJob.set(task.jobId, texts);
    texts.push(`${taskKey}/${run}@${worker}`);
  }
  const jobs = [...byJob];
  const runsPerLine = Math.max(
    RUNS_PER_LINE,
    Math.ceil(runs.length / RUN_LINES_LIMIT),
  );
  const jobsPerLine = Math.ceil(jobs.length / JOB_LINES_LIMIT);
  return inChunks(jobs, jobsPerLine).flatMap((group) => {
    const texts = group.flatMap(([jobId, runs]) =>
      runs.map((text) => ({ jobId, text }))
    );
    return inChunks(texts, runsPerLine).map((chunk) => ({
      jobIds: [...new Set(chunk.map(({ jobId }) => jobId))].join(" "),
      runs: chunk.map(({ text }) => text).join(" "),
    }));
  });
}

function inChunks<T>(values: readonly T[], size: number): T[][] {
  return Array.from(
    { length: Math.ceil(values.length / Math.max(1, size)) },
    (_, chunk) => values.slice(chunk * size, (chunk + 1) * size),
  );
}
