/**
 * Parses and validates a caller's HTTP call and fills in defaults.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import * as z from "zod";
import { IDENTITY_PATTERN } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import type { HttpCall } from "../http/http_endpoint.ts";
import { RequestHeader } from "./request_headers.ts";

/** The longest timeout that a caller may set. */
const TIMEOUT_LIMIT_MS = 3_600_000;

const identity = z.string().regex(IDENTITY_PATTERN, "expected an ID");

const headersSchema = z.object({
  [RequestHeader.requestId]: identity.optional(),
  [RequestHeader.requestClass]: identity.optional(),
  [RequestHeader.timeoutMs]: z.string()
    .regex(/^\d{1,7}$/, "expected whole milliseconds")
    .transform(Number)
    .pipe(z.int().min(1).max(TIMEOUT_LIMIT_MS))
    .optional(),
  [RequestHeader.idempotent]: z.enum(["true", "false"]).default("false"),
  [RequestHeader.clientAccount]: identity.optional(),
  [RequestHeader.path]: z.string().max(1_024)
    .regex(/^\/[\x21-\x7e]*$/, "expected a path that starts with /")
    .default("/"),
});

/** A request, and whether its ID comes from its caller. */
export interface ParsedRequest {
  readonly record: RequestRecord;
  readonly hasCallerId: boolean;
}

/** Parses a call; fails with `malformed`, `notFound` or `invalid`. */
export function readRequest(
  call: HttpCall,
  options: { version: ConfigurationVersion; newRequestId: () => string },
): Result<ParsedRequest> {
  const { document, version } = options.version;
  const serviceId = call.parameters["service"] ?? "";
  const service = document.services[serviceId];
  if (service === undefined) {
    const detail = `There is no service ${serviceId}.`;
    return failure("notFound", { detail });
  }
  const parsed = headersSchema.safeParse(call.headers);
  if (!parsed.success) {
    return malformedHeader(parsed.error);
  }
  const headers = parsed.data;
  const className = headers[RequestHeader.requestClass];
  const requestClass = className === undefined
    ? service.classes.at(-1)
    : service.classes.find(({ name }) => name === className);
  if (requestClass === undefined) {
    return failure("invalid", {
      detail: `The service has no class ${className}.`,
      location: RequestHeader.requestClass,
      facts: { classes: service.classes.map(({ name }) => name) },
    });
  }
  const callerId = headers[RequestHeader.requestId];
  const timeoutMs = headers[RequestHeader.timeoutMs] ??
    requestClass.defaultTimeoutMs;
  const record: RequestRecord = {
    requestId: callerId ?? options.newRequestId(),
    service: serviceId,
    clientAccount: headers[RequestHeader.clientAccount],
    requestClass: requestClass.name,
    isIdempotent: headers[RequestHeader.idempotent] === "true",
    receivedAtMs: call.receivedAtMs,
    deadlineMs: call.receivedAtMs + timeoutMs,
    path: headers[RequestHeader.path],
    contentType: call.headers["content-type"],
    body: call.body,
    configurationVersion: version,
  };
  return Right({ record, hasCallerId: callerId !== undefined });
}

function malformedHeader(error: z.ZodError): Result<never> {
  const [issue] = error.issues;
  const location = String(issue?.path[0] ?? "");
  return failure("malformed", {
    detail: `${location}: ${issue?.message ?? "expected another value"}`,
    location,
  });
}
