/**
 * A small backend server that records which requests it actually ran, and into
 * which faults can be injected.
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

/** Options of {@link StandinBackendServer}. */
export interface StandinBackendServerOptions {
  readonly serverId: string;
  readonly service: string;
  readonly dataCentre: string;
  /** HTTP addresses of instances. */
  readonly instances: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly host?: string;
  /** 0 for any free port. */
  readonly port?: number;
  /** The slots that it announces; it runs any number of requests at once. */
  readonly slots?: number;
  readonly meanServiceMs?: number;
  readonly serviceSpread?: number;
  /** How long it announces that it leaves before it stops. */
  readonly leaveMs?: number;
}

/** What a server actually ran. */
export interface ServerActivity {
  /** How often each request was run, by request ID. */
  readonly runs: ReadonlyMap<string, number>;
  /** When each request was last started. */
  readonly startedAtMs: ReadonlyMap<string, number>;
  /** The most requests that ran at the same time. */
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

/** Longer than the router keeps an idle connection open. */
const KEEP_ALIVE_MS = 10_000;

/** How long after the caller's timeout a late answer is sent. */
const LATE_BY_MS = 50;

interface RunningRequest {
  readonly requestId: string;
  readonly correlationId: string;
  readonly timeoutMs: number;
  readonly body: Buffer;
  readonly startedAtMs: number;
  readonly response: ServerResponse;
}

/** One stand-in backend server. */
export class StandinBackendServer {
  readonly #options: Required<StandinBackendServerOptions>;
  readonly #server: Server;
  readonly #times: ServiceTimes;
  readonly #runs = new Map<string, number>();
  readonly #startedAtMs = new Map<string, number>();
  readonly #running = new Set<RunningRequest>();
  #lastCorrelationId = "none";
  #mostAtOnce = 0;
  #plan: FaultPlan = NO_FAULTS;
  #announcer: Announcer | undefined;
  #idleWaiters: (() => void)[] = [];

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

  get activity(): ServerActivity {
    return {
      runs: this.#runs,
      startedAtMs: this.#startedAtMs,
      mostAtOnce: this.#mostAtOnce,
    };
  }

  /** Listens and announces itself; returns its `HOST:PORT`. */
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

  /** Announces that it leaves, finishes all requests and stops. */
  async stop(): Promise<void> {
    const { clock, leaveMs } = this.#options;
    await this.#announcer?.leave();
    await new Promise<void>((resolve) => clock.after(leaveMs, resolve));
    while (this.#running.size > 0) {
      await new Promise<void>((resolve) => this.#idleWaiters.push(resolve));
    }
    this.#announcer?.close();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  /** Stops immediately and aborts all running requests. */
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
      this.#setFaultPlan(body, response);
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
      startedAtMs: this.#options.clock.nowMs(),
      response,
    });
  }

  #setFaultPlan(body: Buffer, response: ServerResponse): void {
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
    this.#startedAtMs.set(requestId, clock.nowMs());
    this.#running.add(running);
    this.#mostAtOnce = Math.max(this.#mostAtOnce, this.#running.size);
    const fault = this.#chooseFault();
    if (fault === ServerFault.hang) {
      return;
    }
    clock.after(this.#durationMs(running, fault), () => {
      this.#finish(running, fault);
    });
  }

  #chooseFault(): ServerFault {
    const { fault, fraction } = this.#plan;
    const isAffected = this.#options.random.nextUnit() < fraction;
    return isAffected ? fault : ServerFault.none;
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
      this.#idleWaiters.splice(0).forEach((resolve) => resolve());
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
        socket?.write(rawResponse(correlationId));
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

  /** Echoes the request, so that a caller can check the answer is its own. */
  #reply(running: RunningRequest, status: number): void {
    const { requestId, correlationId, body, response } = running;
    answerJson(response, status, {
      requestId,
      server: this.#options.serverId,
      run: this.#runs.get(requestId),
      serviceMs: this.#options.clock.nowMs() - running.startedAtMs,
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

/** A complete answer as text: `ServerResponse` sends only one per request. */
function rawResponse(correlationId: string): string {
  return [
    "HTTP/1.1 200 OK",
    `${RequestHeader.correlation}: ${correlationId}`,
    "content-length: 2",
    "",
    "{}",
  ].join("\r\n");
}
