/**
 * Commands about requests: `request` and `backends`.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import { RequestHeader } from "../../process/routing/request_headers.ts";
import {
  type CommandContext,
  printError,
  printResult,
} from "./command_context.ts";
import { renderTable } from "./table.ts";

/** Options of `request`. */
export interface RequestOptions {
  readonly service: string;
  /** The caller's ID of the request; a new one if absent. */
  readonly id?: string;
  readonly requestClass?: string;
  readonly timeoutMs?: number;
  readonly isIdempotent: boolean;
  readonly clientAccount?: string;
  /** File with the body, `-` for standard input; no body if absent. */
  readonly file?: string;
}

/** `request SERVICE`: sends one request and prints the response. */
export async function sendRequest(
  context: CommandContext,
  options: RequestOptions,
): Promise<number> {
  const body = await readBody(context, options.file);
  if (body.isLeft()) {
    return printError(context, body.extract());
  }
  const requestId = options.id ?? randomUUID();
  const result = await context.client.call({
    method: "POST",
    path: `/v1/services/${encodeURIComponent(options.service)}/requests`,
    headers: requestHeaders(options, requestId),
    body: body.unsafeCoerce(),
  });
  const output = result.map((answer) => ({
    requestId,
    server: answer.headers[RequestHeader.server],
    isRecorded: answer.headers[RequestHeader.recorded] === "true",
    status: answer.status,
    body: answer.text,
  }));
  return printResult(context, {
    result: output,
    render: (value) => value.body.trimEnd(),
  });
}

function readBody(
  context: CommandContext,
  file: string | undefined,
): Promise<Result<string>> {
  return file === undefined
    ? Promise.resolve(Right(""))
    : context.io.read(file);
}

function requestHeaders(
  options: RequestOptions,
  requestId: string,
): Record<string, string> {
  const headers: Record<string, string> = {
    [RequestHeader.requestId]: requestId,
    [RequestHeader.idempotent]: String(options.isIdempotent),
  };
  if (options.requestClass !== undefined) {
    headers[RequestHeader.requestClass] = options.requestClass;
  }
  if (options.timeoutMs !== undefined) {
    headers[RequestHeader.timeoutMs] = String(options.timeoutMs);
  }
  if (options.clientAccount !== undefined) {
    headers[RequestHeader.clientAccount] = options.clientAccount;
  }
  return headers;
}

interface BackendsAnswer {
  readonly backends: readonly {
    readonly serverId: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly slots: number;
    readonly leaving: boolean;
    readonly health: string;
    readonly latencyMs: number;
  }[];
}

/** `backends`: lists the backend servers that the instance knows. */
export async function listBackends(context: CommandContext): Promise<number> {
  const result = await context.client.json({
    method: "GET",
    path: "/v1/backends",
  });
  return printResult(context, {
    result,
    render: (value) =>
      renderTable(
        ["SERVER", "SERVICE", "DATA CENTRE", "SLOTS", "STATE", "LATENCY MS"],
        (value as BackendsAnswer).backends.map((server) => [
          server.serverId,
          server.service,
          server.dataCentre,
          server.slots,
          server.leaving ? "leaving" : server.health,
          server.latencyMs,
        ]),
      ),
  });
}
