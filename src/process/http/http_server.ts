/**
 * The HTTP server of an instance: dispatches calls to the endpoints of all
 * subsystems, enforces limits and closes gracefully.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Duplex } from "node:stream";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";
import { ByteBudget } from "./byte_budget.ts";
import { EndpointTable } from "./endpoint_table.ts";
import { errorBytes } from "./error_answer.ts";
import { healthEndpoint, Readiness } from "./health_endpoint.ts";
import type { HttpEndpoint } from "./http_endpoint.ts";
import { HttpExchange } from "./http_exchange.ts";
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";

/** Options of {@link HttpServer}. */
export interface HttpServerOptions {
  readonly endpoints: readonly HttpEndpoint[];
  readonly clock: Clock;
  readonly eventLog?: EventLog;
  readonly limits?: Partial<HttpLimits>;
}

/** Options of {@link HttpServer.close}. */
export interface HttpCloseOptions {
  /**
   * How long connections are still accepted while `/healthz` reports
   * `stopping`. Defaults to the keep-alive time: after a shorter time, an idle
   * connection may be closed while a call is on its way.
   */
  readonly leaveMs?: number;
  /** When the remaining connections are closed. */
  readonly deadlineMs: number;
}

/** How often Node checks for calls whose headers exceed their timeout. */
const HEADER_CHECK_MS = 1_000;

/** Serves the endpoints of all subsystems over HTTP. */
export class HttpServer {
  readonly #clock: Clock;
  readonly #eventLog: EventLog;
  readonly #limits: HttpLimits;
  readonly #table: EndpointTable;
  readonly #budget: ByteBudget;
  readonly #server: Server;
  readonly #callsBySocket = new Map<Socket, number>();
  #calls = 0;
  #readiness: Readiness = Readiness.starting;
  #closing: Promise<void> | undefined;

  constructor(options: HttpServerOptions) {
    this.#clock = options.clock;
    this.#eventLog = options.eventLog ?? SILENT_EVENT_LOG;
    this.#limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
    this.#budget = new ByteBudget({ limitBytes: this.#limits.heldBytes });
    const health = healthEndpoint(() => this.#readiness);
    this.#table = new EndpointTable({
      endpoints: [health, ...options.endpoints],
    });
    this.#server = this.#createServer();
  }

  /** Calls in progress. */
  get calls(): number {
    return this.#calls;
  }

  /** Open connections, without the refused ones. */
  get connections(): number {
    return this.#callsBySocket.size;
  }

  /** Bytes of bodies and answers in memory. */
  get heldBytes(): number {
    return this.#budget.reservedBytes;
  }

  /** Starts to accept; fails with `unavailable` if it can't bind. */
  listen(
    address: { host: string; port: number },
  ): Promise<Result<AddressInfo>> {
    return new Promise((resolve) => {
      this.#server.once("error", (error) => {
        resolve(failure("unavailable", { detail: error.message }));
      });
      this.#server.listen(address, () => {
        resolve(Right(this.#server.address() as AddressInfo));
      });
    });
  }

  /** Makes `/healthz` report `ready`, unless the server is stopping. */
  markReady(): void {
    if (this.#readiness === Readiness.starting) {
      this.#readiness = Readiness.ready;
    }
  }

  /** Makes `/healthz` report `stopping`; calls are still served. */
  markStopping(): void {
    this.#readiness = Readiness.stopping;
  }

  /**
   * Reports `stopping`, waits for `leaveMs` so that load balancers notice, then
   * closes once every call is answered, or at the deadline.
   */
  close(options: HttpCloseOptions): Promise<void> {
    this.#closing ??= this.#stop(options);
    return this.#closing;
  }

  async #stop(options: HttpCloseOptions): Promise<void> {
    this.markStopping();
    const leaveMs = options.leaveMs ?? this.#limits.keepAliveMs;
    const waitMs = Math.min(
      leaveMs,
      Math.max(0, options.deadlineMs - this.#clock.nowMs()),
    );
    if (waitMs > 0) {
      await new Promise<void>((done) => this.#clock.after(waitMs, done));
    }
    const remainingMs = options.deadlineMs - this.#clock.nowMs();
    const timer = this.#clock.after(remainingMs, () => this.#abortCalls());
    await new Promise<void>((done) => this.#server.close(() => done()));
    timer.close();
  }

  #abortCalls(): void {
    this.#eventLog.emit("callsCutOff", { calls: this.#calls });
    this.#server.closeAllConnections();
  }

  #createServer(): Server {
    const limits = this.#limits;
    const server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerReadMs,
      // Bodies have their own time limit, `bodyReadMs`.
      requestTimeout: 0,
      keepAliveTimeout: limits.keepAliveMs,
      connectionsCheckingInterval: HEADER_CHECK_MS,
    });
    // With a limit here, Node would silently drop further header fields.
    // `HttpExchange` refuses calls that exceed `headerFields`.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.connections + limits.refusedConnections;
    server.on("connection", (socket) => this.#onConnection(socket));
    server.on("clientError", (error, socket) => onClientError(error, socket));
    server.on("request", (request, response) => {
      void this.#onCall(request, response, false);
    });
    server.on("checkContinue", (request, response) => {
      void this.#onCall(request, response, true);
    });
    return server;
  }

  #onConnection(socket: Socket): void {
    if (this.#callsBySocket.size >= this.#limits.connections) {
      const detail = "Too many connections are open.";
      refuseSocket(socket, new SesameError("overloaded", { detail }));
      return;
    }
    this.#callsBySocket.set(socket, 0);
    socket.once("close", () => this.#callsBySocket.delete(socket));
  }

  async #onCall(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { socket } = request;
    const exchange = this.#createExchange(request, response, expectsContinue);
    const connectionCalls = this.#callsBySocket.get(socket);
    const isOverLimit = connectionCalls === undefined ||
      connectionCalls >= this.#limits.callsPerConnection ||
      this.#calls >= this.#limits.calls;
    if (isOverLimit) {
      const detail = "Too many calls are in progress.";
      await exchange.refuse(new SesameError("overloaded", { detail }));
      return;
    }
    this.#countCalls(socket, 1);
    try {
      await exchange.run();
    } catch (thrown) {
      const detail = thrown instanceof Error ? thrown.message : String(thrown);
      this.#eventLog.emit("callFailed", { path: request.url ?? "", detail });
      socket.destroy();
    } finally {
      this.#countCalls(socket, -1);
    }
  }

  #createExchange(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): HttpExchange {
    return new HttpExchange({
      request,
      response,
      expectsContinue,
      table: this.#table,
      clock: this.#clock,
      eventLog: this.#eventLog,
      limits: this.#limits,
      budget: this.#budget,
      isClosing: () => this.#readiness === Readiness.stopping,
    });
  }

  #countCalls(socket: Socket, by: number): void {
    this.#calls += by;
    const connectionCalls = this.#callsBySocket.get(socket);
    if (connectionCalls !== undefined) {
      this.#callsBySocket.set(socket, connectionCalls + by);
    }
  }
}

/** Answers input that Node rejects: malformed, oversized or late headers. */
function onClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  refuseSocket(socket, toSesameError(error));
}

function toSesameError(error: NodeJS.ErrnoException): SesameError {
  switch (error.code) {
    case "HPE_HEADER_OVERFLOW":
      return new SesameError("headersTooLarge");
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return new SesameError("slowCaller", {
        detail: "The headers did not arrive in time.",
      });
    default:
      return new SesameError("malformed", {
        detail: "The input is not valid HTTP/1.1.",
      });
  }
}

function refuseSocket(socket: Duplex, error: SesameError): void {
  socket.on("error", () => socket.destroy());
  socket.end(errorBytes(error), () => socket.destroy());
}
