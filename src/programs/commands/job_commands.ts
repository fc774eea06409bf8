/**
 * Commands about jobs and workers: `submit`, `jobs`, `job`, `cancel` and
 * `workers`.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Right } from "purify-ts/Either";
import { parse } from "smol-toml";
import { failure, type Result } from "../../base/sesame_error.ts";
import { type CommandContext, report, reportError } from "./command_context.ts";
import { renderTable } from "./table.ts";

/** The parts of a job's view that people are shown. */
interface JobView {
  readonly jobId: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly waitText?: string;
  readonly movedTo?: string;
  readonly openAttempt?: AttemptView;
  readonly pastAttempts: readonly AttemptView[];
  readonly end?: { readonly outcome: string; readonly detail?: string };
  readonly specification: {
    readonly clientAccount: string;
    readonly jobClass: string;
    readonly tasks: number;
    readonly resources: { readonly accelerators: number };
  };
}

interface AttemptView {
  readonly attempt: number;
  readonly configurationVersion?: number;
  readonly placements: readonly { readonly workerId: string }[];
}

interface JobAnswer {
  readonly job: JobView;
  readonly isNew?: boolean;
  readonly unaskedDataCentres?: readonly string[];
}

interface JobsAnswer {
  readonly jobs: readonly JobView[];
  readonly unaskedDataCentres: readonly string[];
}

interface WorkersAnswer {
  readonly workers: readonly {
    readonly workerId: string;
    readonly dataCentre: string;
    readonly rack: string;
    readonly accelerators: number;
    readonly runningTasks: number;
    readonly isLeaving: boolean;
    readonly isQuarantined: boolean;
  }[];
  readonly unaskedDataCentres: readonly string[];
}

/** `submit FILE`: queues the job that a TOML file describes. */
export async function submitJob(
  context: CommandContext,
  options: { file: string; jobId?: string },
): Promise<number> {
  const text = await context.io.read(options.file);
  const job = text.chain((toml) => parseJob(toml, options));
  if (job.isLeft()) {
    return reportError(context, job.extract());
  }
  const result = await context.client.json({
    method: "POST",
    path: "/v1/jobs",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(job.unsafeCoerce()),
  });
  return report(context, {
    result,
    render: (value) => {
      const { job, isNew } = value as JobAnswer;
      const word = isNew ? "queued" : "known already";
      return `${job.jobId}  ${word} in ${job.dataCentre}: ${describe(job)}`;
    },
  });
}

/** A job without an identity gets one, so that no two are taken for one. */
function parseJob(
  text: string,
  options: { file: string; jobId?: string },
): Result<unknown> {
  try {
    const raw = parse(text);
    const jobId = options.jobId ?? raw["jobId"] ?? `job-${randomUUID()}`;
    return Right({ ...raw, jobId });
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("malformed", { detail, location: options.file });
  }
}

/** `jobs`: the newest jobs. */
export async function listJobs(
  context: CommandContext,
  options: { limit?: number },
): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: `/v1/jobs?limit=${options.limit ?? 200}`,
  });
  return report(context, {
    result,
    render: (value) => renderJobs(value as JobsAnswer),
  });
}

function renderJobs({ jobs, unaskedDataCentres }: JobsAnswer): string {
  const table = renderTable(
    ["JOB", "ACCOUNT", "CLASS", "TASKS", "DATA CENTRE", "STATE"],
    jobs.map((job) => [
      job.jobId,
      job.specification.clientAccount,
      job.specification.jobClass,
      job.specification.tasks,
      job.dataCentre,
      describe(job),
    ]),
  );
  return table + noteUnasked(unaskedDataCentres);
}

/** `job ID`: one job, with the reason for which it waits. */
export async function showJob(
  context: CommandContext,
  options: { jobId: string },
): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: `/v1/jobs/${encodeURIComponent(options.jobId)}`,
  });
  return report(context, {
    result,
    render: (value) => renderJob(value as JobAnswer),
  });
}

function renderJob({ job, unaskedDataCentres }: JobAnswer): string {
  const { specification, openAttempt } = job;
  const lines = [
    `job           ${job.jobId}`,
    `account       ${specification.clientAccount}`,
    `class         ${specification.jobClass}`,
    `gang          ${specification.tasks} tasks of ` +
    `${specification.resources.accelerators} accelerators`,
    `data centre   ${job.dataCentre}`,
    `state         ${describe(job)}`,
    `attempts      ${job.pastAttempts.length + (openAttempt ? 1 : 0)}`,
  ];
  if (openAttempt !== undefined) {
    const workers = new Set(openAttempt.placements.map((at) => at.workerId));
    lines.push(`workers       ${[...workers].join(", ")}`);
  }
  return lines.join("\n") + noteUnasked(unaskedDataCentres ?? []);
}

/** `cancel ID`: the job is wanted no more. */
export async function cancelJob(
  context: CommandContext,
  options: { jobId: string },
): Promise<number> {
  const result = await context.client.json({
    method: "DELETE",
    path: `/v1/jobs/${encodeURIComponent(options.jobId)}`,
  });
  return report(context, {
    result,
    render: (value) => {
      const { job } = value as JobAnswer;
      return `${job.jobId}  ${describe(job)}`;
    },
  });
}

/** `workers`: who runs tasks. */
export async function listWorkers(context: CommandContext): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: "/v1/workers",
  });
  return report(context, {
    result,
    render: (value) => renderWorkers(value as WorkersAnswer),
  });
}

function renderWorkers(answer: WorkersAnswer): string {
  const table = renderTable(
    ["WORKER", "DATA CENTRE", "RACK", "ACCELERATORS", "TASKS", "STATE"],
    answer.workers.map((worker) => [
      worker.workerId,
      worker.dataCentre,
      worker.rack,
      worker.accelerators,
      worker.runningTasks,
      worker.isLeaving
        ? "leaving"
        : worker.isQuarantined
        ? "quarantined"
        : "serving",
    ]),
  );
  return table + noteUnasked(answer.unaskedDataCentres);
}

function describe(job: JobView): string {
  switch (job.state) {
    case "ended":
      return `ended: ${job.end?.outcome}` +
        (job.end?.detail === undefined ? "" : ` (${job.end.detail})`);
    case "queued":
      return `queued: ${job.waitText ?? "its scheduler can't be asked"}`;
    case "moving":
    case "moved":
      return `${job.state} to ${job.movedTo}`;
    default:
      return job.state;
  }
}

function noteUnasked(dataCentres: readonly string[]): string {
  return dataCentres.length === 0
    ? ""
    : `\nnot asked, since out of reach: ${dataCentres.join(", ")}`;
}
