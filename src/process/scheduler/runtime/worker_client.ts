/**
 * The client with which a leader calls workers.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { Agent, request } from "undici";
import { failure, type Result } from "../../../base/sesame_error.ts";
import {
  type WorkerAnswer,
  workerAnswerSchema,
  type WorkerCommand,
} from "./worker_command.ts";

/** Calls workers; a command may have arrived even if its call fails. */
export interface WorkerClient {
  call(
    address: string,
    command: WorkerCommand,
    options: { timeoutMs: number },
  ): Promise<Result<WorkerAnswer>>;
  close(): Promise<void>;
}

/** The path of a worker's command endpoint. */
export const WORKER_COMMANDS_PATH = "/v1/commands";

/** Options of {@link HttpWorkerClient}. */
export interface HttpWorkerClientOptions {
  readonly connectionsPerWorker?: number;
}

/** Calls workers over HTTP with JSON bodies. */
export class HttpWorkerClient implements WorkerClient {
  readonly #agent: Agent;

  constructor(options: HttpWorkerClientOptions = {}) {
    this.#agent = new Agent({
      connections: options.connectionsPerWorker ?? 2,
      keepAliveTimeout: 10_000,
    });
  }

  async call(
    address: string,
    command: WorkerCommand,
    options: { timeoutMs: number },
  ): Promise<Result<WorkerAnswer>> {
    try {
      const answer = await request(`http://${address}${WORKER_COMMANDS_PATH}`, {
        method: "POST",
        dispatcher: this.#agent,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(command),
        headersTimeout: options.timeoutMs,
        bodyTimeout: options.timeoutMs,
        signal: AbortSignal.timeout(Math.ceil(options.timeoutMs)),
      });
      const body: unknown = await answer.body.json();
      return decodeAnswer(answer.statusCode, body);
    } catch (error) {
      return failure("unavailable", { detail: describe(error) });
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function decodeAnswer(status: number, body: unknown): Result<WorkerAnswer> {
  const parsed = workerAnswerSchema.safeParse(body);
  if (parsed.success) {
    return Right(parsed.data);
  }
  return failure("unavailable", {
    detail: `the worker answered ${status} with a malformed body`,
  });
}

function describe(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
