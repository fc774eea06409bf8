/**
 * A small backend server that keeps the truth about what it ran, and can be
 * told to have faults.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Clock, RandomSource } from "../../src/base/mod.ts";
import { RequestHeader } from "../../src/process/routing/mod.ts";
import { Announcer } from "./announcer.ts";
import {
  type FaultPlan,
  faultPlanSchema,
  NO_FAULTS,
  ServerFault,
} from "./answer_fault.ts";
import { ServiceTimes } from "./service_times.ts";

/** How a stand-in server is made. */
export interface StandinBackendServerOptions {
  readonly serverId: string;
  readonly service: string;
  readonly dataCentre: string;
  /** HTTP addresses of entry instances. */
  readonly instances: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly host?: string;
  /** 0 for any free port. */
  readonly port?: number;
  readonly slots?: number;
  readonly meanServiceMs?: number;
  readonly serviceSpread?: number;
  /** How long it says that it leaves before it stops. */
  readonly leaveMs?: number;
}

/** What a server remembers of what it did. */
export interface ServerTruth {
  /** How often each request was run, by its identity. */
  readonly runs: ReadonlyMap<string, number>;
  /** When each request was last begun. */
  readonly begunAtMs: ReadonlyMap<string, number>;
  readonly mostAtOnce: number;
}

const DEFAULTS = {
  host: "127.0.0.1",
  port: 0,
  slots: 8,
  meanServiceMs: 20,
  serviceSpread: 0.5,
  leaveMs: 2_100,
} as const;

/** Longer than routing keeps an idle connection. */
const KEEP_ALIVE_MS = 10_000;

/** How long past the caller's timeout a late answer comes. */
const LATE_BY_MS = 50;

interface RunningRequest {
  readonly requestId: string;
  readonly correlationId: string;
  readonly timeoutMs: number;
  readonly body: Buffer;
  readonly begunAtMs: number;
  readonly response: ServerResponse;
}

/** One stand-in backend server. */
export class StandinBackendServer {
  readonly #options: Required<StandinBackendServerOptions>;
  readonly #server: Server;
  readonly #times: ServiceTimes;
  readonly #runs = new Map<string, number>();
  readonly #begunAtMs = new Map<string, number>();
  readonly #running = new Set<RunningRequest>();
  #lastCorrelationId = "none";
  #mostAtOnce = 0;
  #plan: FaultPlan = NO_FAULTS;
  #announcer: Announcer | undefined;
  #waiters: (() => void)[] = [];

  constructor(options: StandinBackendServerOptions) {
    this.#options = { ...DEFAULTS, ...options };
    const { random, meanServiceMs, serviceSpread } = this.#options;
    this.#times = new ServiceTimes({
      random,
      meanMs: meanServiceMs,
      spread: serviceSpread,
    });
    this.#server = createServer(
      { keepAliveTimeout: KEEP_ALIVE_MS },
      (request, response) => void this.#onRequest(request, response),
    );
  }

  get truth(): ServerTruth {
    return {
      runs: this.#runs,
      begunAtMs: this.#begunAtMs,
      mostAtOnce: this.#mostAtOnce,
    };
  }

  /** Listens and announces itself; gives its address. */
  async start(): Promise<string> {
    const { host, port, clock, random, instances } = this.#options;
    await new Promise<void>((resolve) => {
      this.#server.listen({ host, port }, resolve);
    });
    const bound = this.#server.address() as AddressInfo;
    const address = `${host}:${bound.port}`;
    const { serverId, service, slots, dataCentre } = this.#options;
    const incarnation = Math.floor(clock.nowMs());
    this.#announcer = new Announcer({
      serverId,
      body: { service, address, slots, dataCentre, incarnation },
      instances,
      clock,
      random,
    });
    await this.#announcer.start();
    return address;
  }

  setFaults(plan: FaultPlan): void {
    this.#plan = plan;
  }

  /** A graceful stop: announces that it leaves, then finishes all it has. */
  async stop(): Promise<void> {
    const { clock, leaveMs } = this.#options;
    await this.#announcer?.leave();
    await new Promise<void>((resolve) => clock.after(leaveMs, resolve));
    while (this.#running.size > 0) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
    this.#announcer?.close();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  /** Stops at once, cutting off everything. */
  die(): void {
    this.#announcer?.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #onRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readAll(request);
    if (body === undefined) {
      return;
    }
    if (request.url === "/faults" && request.method === "POST") {
      this.#takeFaults(body, response);
      return;
    }
    if (request.url === "/runs" && request.method === "GET") {
      const runs = Object.fromEntries(this.#runs);
      answerJson(response, 200, { runs, mostAtOnce: this.#mostAtOnce });
      return;
    }
    this.#run({
      requestId: headerOf(request, RequestHeader.requestId),
      correlationId: headerOf(request, RequestHeader.correlation),
      timeoutMs: Number(headerOf(request, RequestHeader.timeoutMs)),
      body,
      begunAtMs: this.#options.clock.nowMs(),
      response,
    });
  }

  #takeFaults(body: Buffer, response: ServerResponse): void {
    const parsed = faultPlanSchema.safeParse(parseJson(body));
    if (!parsed.success) {
      answerJson(response, 400, { error: parsed.error.message });
      return;
    }
    this.#plan = parsed.data;
    answerJson(response, 200, this.#plan);
  }

  #run(running: RunningRequest): void {
    const { requestId } = running;
    const { clock } = this.#options;
    this.#runs.set(requestId, (this.#runs.get(requestId) ?? 0) + 1);
    this.#begunAtMs.set(requestId, clock.nowMs());
    this.#running.add(running);
    this.#mostAtOnce = Math.max(this.#mostAtOnce, this.#running.size);
    const fault = this.#drawFault();
    if (fault === ServerFault.hang) {
      return;
    }
    clock.after(this.#durationMs(running, fault), () => {
      this.#finish(running, fault);
    });
  }

  #drawFault(): ServerFault {
    const { fault, fraction } = this.#plan;
    const isHit = this.#options.random.nextUnit() < fraction;
    return isHit ? fault : ServerFault.none;
  }

  #durationMs(running: RunningRequest, fault: ServerFault): number {
    switch (fault) {
      case ServerFault.fail:
        return 0;
      case ServerFault.slow:
        return this.#times.next() * this.#plan.slowFactor;
      case ServerFault.late:
        return running.timeoutMs + LATE_BY_MS;
      default:
        return this.#times.next();
    }
  }

  #finish(running: RunningRequest, fault: ServerFault): void {
    this.#running.delete(running);
    if (this.#running.size === 0) {
      this.#waiters.splice(0).forEach((wake) => wake());
    }
    this.#answer(running, fault);
    this.#lastCorrelationId = running.correlationId;
  }

  #answer(running: RunningRequest, fault: ServerFault): void {
    const { response, correlationId } = running;
    switch (fault) {
      case ServerFault.fail:
        this.#reply(running, 500);
        break;
      case ServerFault.drop:
        response.socket?.destroy();
        break;
      case ServerFault.crossed: {
        const [other] = this.#running;
        const wrong = other?.correlationId ?? this.#lastCorrelationId;
        this.#reply({ ...running, correlationId: wrong }, 200);
        break;
      }
      case ServerFault.doubled: {
        const { socket } = response;
        this.#reply(running, 200);
        socket?.write(rawAnswer(correlationId));
        break;
      }
      case ServerFault.truncated:
        response.writeHead(200, {
          [RequestHeader.correlation]: correlationId,
          "content-length": 1_000,
        });
        response.write("{", () => response.socket?.destroy());
        break;
      case ServerFault.die:
        this.die();
        break;
      case ServerFault.hang:
        break;
      case ServerFault.none:
      case ServerFault.slow:
      case ServerFault.late:
        this.#reply(running, 200);
        break;
    }
  }

  /** The answer repeats the request, so that a caller can tell it is its. */
  #reply(running: RunningRequest, status: number): void {
    const { requestId, correlationId, body, response } = running;
    answerJson(response, status, {
      requestId,
      server: this.#options.serverId,
      run: this.#runs.get(requestId),
      serviceMs: this.#options.clock.nowMs() - running.begunAtMs,
      body: body.toString("utf8"),
    }, { [RequestHeader.correlation]: correlationId });
  }
}

async function readAll(
  request: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

function answerJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    ...headers,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

function rawAnswer(correlationId: string): string {
  return [
    "HTTP/1.1 200 OK",
    `${RequestHeader.correlation}: ${correlationId}`,
    "content-length: 2",
    "",
    "{}",
  ].join("\r\n");
}
