/**
 * HTTP endpoints that submit, list, show and cancel jobs.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import {
  type HttpAnswer,
  type HttpCall,
  type HttpEndpoint,
  jsonAnswer,
} from "../http/http_endpoint.ts";
import { jobSpecificationSchema } from "../scheduler/core/job.ts";
import type {
  JobAccepted,
  SchedulerRuntime,
} from "../scheduler/runtime/mod.ts";
import { readJsonBody } from "./json_body.ts";

/** Limit of a job specification's size. */
const JOB_BODY_LIMIT_BYTES = 262_144;

/** Maximum length of a list of jobs if the call has no `limit` parameter. */
const DEFAULT_LIST_LIMIT = 200;

const MAX_LIST_LIMIT = 10_000;

/** Options of {@link jobEndpoints}. */
export interface JobEndpointsOptions {
  readonly scheduler: Pick<
    SchedulerRuntime,
    "submit" | "cancel" | "findJob" | "listJobs"
  >;
}

/** The endpoints for jobs. */
export function jobEndpoints(
  { scheduler }: JobEndpointsOptions,
): readonly HttpEndpoint[] {
  return [
    {
      method: "POST",
      path: "/v1/jobs",
      bodyLimitBytes: JOB_BODY_LIMIT_BYTES,
      handle: (call) => submit(call, scheduler),
    },
    {
      method: "GET",
      path: "/v1/jobs",
      bodyLimitBytes: 0,
      handle: (call) => list(call, scheduler),
    },
    {
      method: "GET",
      path: "/v1/jobs/:jobId",
      bodyLimitBytes: 0,
      handle: async (call) => {
        const found = await scheduler.findJob(jobIdOf(call));
        return found.map(({ value, unaskedDataCentres }) =>
          jsonAnswer(200, { job: value, unaskedDataCentres })
        );
      },
    },
    {
      method: "DELETE",
      path: "/v1/jobs/:jobId",
      bodyLimitBytes: 0,
      handle: async (call) =>
        (await scheduler.cancel(jobIdOf(call)))
          .map((accepted) => answerAccepted(accepted, 202)),
    },
  ];
}

async function submit(
  call: HttpCall,
  scheduler: JobEndpointsOptions["scheduler"],
): Promise<Result<HttpAnswer>> {
  const job = readJsonBody(call.body, jobSpecificationSchema);
  if (job.isLeft()) {
    return failure("malformed", { detail: job.extract().message });
  }
  const accepted = await scheduler.submit(job.unsafeCoerce());
  return accepted.map((value) => answerAccepted(value, 201));
}

async function list(
  call: HttpCall,
  scheduler: JobEndpointsOptions["scheduler"],
): Promise<Result<HttpAnswer>> {
  const limit = Number(call.query.get("limit") ?? DEFAULT_LIST_LIMIT);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_LIST_LIMIT) {
    return failure("malformed", {
      detail: `limit: expected a whole number from 1 to ${MAX_LIST_LIMIT}`,
    });
  }
  const { value, unaskedDataCentres } = await scheduler.listJobs(limit);
  return Right(jsonAnswer(200, { jobs: value, unaskedDataCentres }));
}

/** Answers with `status` if the call had an effect, otherwise with 200. */
function answerAccepted(accepted: JobAccepted, status: number): HttpAnswer {
  return jsonAnswer(accepted.isNew ? status : 200, accepted);
}

function jobIdOf(call: HttpCall): string {
  return call.parameters["jobId"] ?? "";
}
