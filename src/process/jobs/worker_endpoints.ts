/**
 * HTTP endpoints that accept workers' reports and list the workers.
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
import {
  type SchedulerRuntime,
  type WorkerReport,
  workerReportSchema,
} from "../scheduler/runtime/mod.ts";
import { readJsonBody } from "./json_body.ts";

/** Limit of a report's size. */
const REPORT_BODY_LIMIT_BYTES = 1_048_576;

/** Options of {@link workerEndpoints}. */
export interface WorkerEndpointsOptions {
  readonly scheduler: Pick<
    SchedulerRuntime,
    "acceptWorkerReport" | "listWorkers"
  >;
}

/** The endpoints for workers. */
export function workerEndpoints(
  { scheduler }: WorkerEndpointsOptions,
): readonly HttpEndpoint[] {
  return [
    {
      method: "POST",
      path: "/v1/workers/:workerId/report",
      bodyLimitBytes: REPORT_BODY_LIMIT_BYTES,
      handle: (call) => Promise.resolve(acceptReport(call, scheduler)),
    },
    {
      method: "GET",
      path: "/v1/workers",
      bodyLimitBytes: 0,
      handle: async () => {
        const { value, unaskedDataCentres } = await scheduler.listWorkers();
        return Right(
          jsonAnswer(200, { workers: value, unaskedDataCentres }),
        );
      },
    },
  ];
}

function acceptReport(
  call: HttpCall,
  scheduler: WorkerEndpointsOptions["scheduler"],
): Result<HttpAnswer> {
  const report = readJsonBody<WorkerReport>(call.body, workerReportSchema);
  return report.chain((value) => {
    if (value.workerId !== call.parameters["workerId"]) {
      return failure("invalid", {
        detail: "the workerId of the report differs from the path",
      });
    }
    scheduler.acceptWorkerReport(value);
    return Right(jsonAnswer(200, { accepted: true }));
  });
}
