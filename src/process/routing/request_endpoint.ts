/**
 * `POST /v1/services/:service/requests`: a caller's request.
 *
 * @module
 */

import { Left } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";
import type {
  HttpAnswer,
  HttpCall,
  HttpCallHead,
  HttpEndpoint,
} from "../http/mod.ts";
import { readRequest } from "./read_request.ts";
import { RequestHeader } from "./request_headers.ts";
import type { CallerAnswer, RequestService } from "./request_service.ts";

/** The endpoint for callers' requests. */
export function requestEndpoint(options: {
  readonly service: RequestService;
  readonly configuration: ConfigurationSource;
}): HttpEndpoint {
  const { service, configuration } = options;
  const handle = async (call: HttpCall): Promise<Result<HttpAnswer>> => {
    const read = readRequest(call, {
      version: configuration.current(),
      newRequestId: () => service.newRequestId(),
    });
    const { signal } = call;
    const answered = await read.caseOf<Promise<Result<CallerAnswer>>>({
      Left: (error) => Promise.resolve(Left(error)),
      Right: (request) => service.answer(request, { signal }),
    });
    return answered.map(httpAnswer);
  };
  return {
    method: "POST",
    path: "/v1/services/:service/requests",
    bodyLimitBytes: (head) => bodyLimitBytes(head, configuration),
    handle,
  };
}

function bodyLimitBytes(
  head: HttpCallHead,
  configuration: ConfigurationSource,
): number {
  const { document } = configuration.current();
  const serviceId = head.parameters["service"] ?? "";
  return document.services[serviceId]?.bodyLimitBytes ?? 0;
}

function httpAnswer(
  { answer, serverId, isRecorded }: CallerAnswer,
): HttpAnswer {
  return {
    status: answer.httpStatus,
    headers: {
      [RequestHeader.requestId]: answer.requestId,
      ...(serverId === "" ? {} : { [RequestHeader.server]: serverId }),
      ...(isRecorded ? { [RequestHeader.recorded]: "true" } : {}),
      ...(answer.contentType === undefined
        ? {}
        : { "content-type": answer.contentType }),
    },
    body: answer.body,
  };
}
