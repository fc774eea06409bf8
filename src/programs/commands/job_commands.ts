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
import {
  type CommandContext,
  printError,
  printResult,
} from "./command_context.ts";
import { renderTable } from "./table.ts";

/** The fields of a job that the commands print. */
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

/** `submit FILE`: submits the job that a TOML file describes. */
export async function submitJob(
  context: CommandContext,
  options: { file: string; jobId?: string },
): Promise<number> {
  const text = await context.io.read(options.file);
  const job = text.chain((toml) => parseJob(toml, options));
  if (job.isLeft()) {
    return printError(context, job.extract());
  }
  const result = await context.client.json({
    method: "POST",
    path: "/v1/jobs",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(job.unsafeCoerce()),
  });
  return printResult(context, {
    result,
    render: (value) => {
      const { job, isNew } = value as JobAnswer;
      const status = isNew ? "queued" : "already known";
      return `${job.jobId}  ${status} in ${job.dataCentre}: ${
        describeState(job)
      }`;
    },
  });
}

/** A job without an ID gets a random one, to keep it apart from all others. */
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

/** `jobs`: lists the newest jobs. */
export async function listJobs(
  context: CommandContext,
  options: { limit?: number },
): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: `/v1/jobs?limit=${options.limit ?? 200}`,
  });
  return printResult(context, {
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
      describeState(job),
    ]),
  );
  return table + renderUnansweredDataCentres(unaskedDataCentres);
}

/** `job ID`: shows one job and why it is waiting. */
export async function showJob(
  context: CommandContext,
  options: { jobId: string },
): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: `/v1/jobs/${encodeURIComponent(options.jobId)}`,
  });
  return printResult(context, {
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
    `state         ${describeState(job)}`,
    `attempts      ${job.pastAttempts.length + (openAttempt ? 1 : 0)}`,
  ];
  if (openAttempt !== undefined) {
    const workers = new Set(
      openAttempt.placements.map((placement) => placement.workerId),
    );
    lines.push(`workers       ${[...workers].join(", ")}`);
  }
  return lines.join("\n") +
    renderUnansweredDataCentres(unaskedDataCentres ?? []);
}

/** `cancel ID`: cancels a job. */
export async function cancelJob(
  context: CommandContext,
  options: { jobId: string },
): Promise<number> {
  const result = await context.client.json({
    method: "DELETE",
    path: `/v1/jobs/${encodeURIComponent(options.jobId)}`,
  });
  return printResult(context, {
    result,
    render: (value) => {
      const { job } = value as JobAnswer;
      return `${job.jobId}  ${describeState(job)}`;
    },
  });
}

/** `workers`: lists the workers. */
export async function listWorkers(context: CommandContext): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: "/v1/workers",
  });
  return printResult(context, {
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
  return table + renderUnansweredDataCentres(answer.unaskedDataCentres);
}

function describeState(job: JobView): string {
  switch (job.state) {
    case "ended":
      return `ended: ${job.end?.outcome}` +
        (job.end?.detail === undefined ? "" : ` (${job.end.detail})`);
    case "queued":
      return `queued: ${job.waitText ?? "its scheduler cannot be reached"}`;
    case "moving":
    case "moved":
      return `${job.state} to ${job.movedTo}`;
    default:
      return job.state;
  }
}

function renderUnansweredDataCentres(dataCentres: readonly string[]): string {
  return dataCentres.length === 0
    ? ""
    : `\ndata centres out of reach: ${dataCentres.join(", ")}`;
}
