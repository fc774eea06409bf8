/**
 * A stand-in worker: an HTTP server that accepts commands and injected faults.
 * It reports to the instances of its data centre in turn, once a second and
 * whenever a task ends.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { Agent, request } from "undici";
import { type Clock, SystemClock, type Timer } from "../../src/base/clock.ts";
import {
  workerCommandSchema,
} from "../../src/process/scheduler/runtime/worker_command.ts";
import { WORKER_COMMANDS_PATH } from "../../src/process/scheduler/runtime/worker_client.ts";
import { workerFaultsSchema } from "./worker_faults.ts";
import { WorkerTasks, type WorkerTasksOptions } from "./worker_tasks.ts";
import type { WorkerCapacity } from "./worker_types.ts";

/** The path at which tests inject faults. */
export const FAULTS_PATH = "/faults";

/** Options of {@link StandinWorker}. */
export interface StandinWorkerOptions {
  readonly workerId: string;
  readonly capacity: WorkerCapacity;
  /** `host:port` of the instances it may report to, tried in turn. */
  readonly instanceAddresses: readonly string[];
  readonly host?: string;
  readonly port?: number;
  readonly clock?: Clock;
  readonly reportPeriodMs?: number;
  readonly tasks?: Partial<WorkerTasksOptions>;
}

/** Defaults of {@link StandinWorkerOptions}. */
export const STANDIN_WORKER_DEFAULTS = {
  host: "127.0.0.1",
  port: 0,
  reportPeriodMs: 1_000,
  reportTimeoutMs: 900,
} as const;

/** A worker that simulates its tasks. */
export class StandinWorker {
  readonly #options: StandinWorkerOptions;
  readonly #clock: Clock;
  readonly #tasks: WorkerTasks;
  readonly #server: Server;
  readonly #agent = new Agent({ connections: 2 });
  #timer: Timer | undefined;
  #nextReport: Timer | undefined;
  #address = "";
  #nextInstance = 0;

  constructor(options: StandinWorkerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    this.#tasks = new WorkerTasks({
      clock: this.#clock,
      workerId: options.workerId,
      capacity: options.capacity,
      incarnation: Math.max(1, Math.floor(this.#clock.nowMs())),
      ...options.tasks,
      onTaskEvent: (event) => {
        options.tasks?.onTaskEvent?.(event);
        if (event.kind === "ended") {
          this.#scheduleReport();
        }
      },
    });
    this.#server = createServer((call, answer) => {
      this.#serve(call, answer).catch(() => answer.destroy());
    });
  }

  /** The `HOST:PORT` at which it accepts commands; empty before the start. */
  get address(): string {
    return this.#address;
  }

  /** Listens, then sends the first report. */
  async start(): Promise<void> {
    const defaults = STANDIN_WORKER_DEFAULTS;
    const host = this.#options.host ?? defaults.host;
    const port = this.#options.port ?? defaults.port;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    const bound = this.#server.address() as AddressInfo;
    this.#address = `${host}:${bound.port}`;
    this.#timer = this.#clock.every(
      this.#options.reportPeriodMs ?? defaults.reportPeriodMs,
      () => void this.report(),
    );
    await this.report();
  }

  /** Sends a report to the next instance that accepts it; false if none does. */
  async report(): Promise<boolean> {
    if (this.#tasks.faults.isSilent) {
      return false;
    }
    const addresses = this.#options.instanceAddresses;
    for (let tries = 0; tries < addresses.length; tries++) {
      const address = addresses[this.#nextInstance++ % addresses.length];
      if (address !== undefined && await this.#reportTo(address)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Reports that it leaves, and returns once no task runs or at the deadline.
   */
  async leave(options: { deadlineMs: number }): Promise<void> {
    this.#tasks.leave();
    await this.report();
    while (!this.#tasks.isIdle && this.#clock.nowMs() < options.deadlineMs) {
      await new Promise<void>((resolve) =>
        void this.#clock.after(100, resolve)
      );
    }
    await this.report();
  }

  async close(): Promise<void> {
    this.#timer?.close();
    this.#timer = undefined;
    this.#nextReport?.close();
    this.#tasks.close();
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
    await this.#agent.destroy();
  }

  /** Sends one report for all tasks that end in this turn of the event loop. */
  #scheduleReport(): void {
    if (this.#timer !== undefined) {
      this.#nextReport ??= this.#clock.after(0, () => {
        this.#nextReport = undefined;
        void this.report();
      });
    }
  }

  async #reportTo(address: string): Promise<boolean> {
    const { workerId } = this.#options;
    const url = `http://${address}/v1/workers/${workerId}/report`;
    try {
      const answer = await request(url, {
        method: "POST",
        dispatcher: this.#agent,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(this.#tasks.report(this.#address)),
        signal: AbortSignal.timeout(STANDIN_WORKER_DEFAULTS.reportTimeoutMs),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  async #serve(call: IncomingMessage, answer: ServerResponse): Promise<void> {
    const body = await readBody(call);
    if (call.method === "POST" && call.url === FAULTS_PATH) {
      this.#setFaults(body, answer);
      return;
    }
    if (this.#tasks.faults.isSilent) {
      return; // The caller gets no answer, as from a machine that hangs.
    }
    if (call.method !== "POST" || call.url !== WORKER_COMMANDS_PATH) {
      send(answer, { status: 404, body: { error: "notFound" } });
      return;
    }
    const command = workerCommandSchema.safeParse(parseJson(body));
    if (!command.success) {
      send(answer, { status: 400, body: { error: "malformed" } });
      return;
    }
    const reply = this.#tasks.handle(command.data);
    const { slowMs } = this.#tasks.faults;
    if (slowMs > 0) {
      await new Promise<void>((resolve) =>
        void this.#clock.after(slowMs, resolve)
      );
    }
    send(answer, { status: 200, body: reply });
  }

  #setFaults(body: string, answer: ServerResponse): void {
    const faults = workerFaultsSchema.safeParse(parseJson(body));
    if (!faults.success) {
      send(answer, { status: 400, body: { error: "malformed" } });
      return;
    }
    this.#tasks.setFaults(faults.data);
    send(answer, { status: 200, body: faults.data });
  }
}

async function readBody(call: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of call) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function send(
  answer: ServerResponse,
  options: { status: number; body: unknown },
): void {
  answer.writeHead(options.status, { "content-type": "application/json" });
  answer.end(JSON.stringify(options.body));
}
