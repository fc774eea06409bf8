/**
 * The HTTP server of an instance: dispatches calls to the endpoints of all
 * subsystems, enforces limits and closes gracefully.
 *
 * @module
 */

import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";
import { ByteBudget } from "./byte_budget.ts";
import { CountedRequest } from "./chunked_body.ts";
import { guardConnections } from "./connection_guard.ts";
import { ConnectionRefusals, RefusalReason } from "./connection_refusals.ts";
import { EndpointTable } from "./endpoint_table.ts";
import { errorBytes } from "./error_answer.ts";
import { GuardedConnection } from "./guarded_connection.ts";
import { healthEndpoint, Readiness } from "./health_endpoint.ts";
import type { HttpEndpoint } from "./http_endpoint.ts";
import { HttpExchange, loggedPath } from "./http_exchange.ts";
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";
import { RequestMemory } from "./request_memory.ts";
import { TurnQueue } from "./turn_queue.ts";

/** Options of {@link HttpServer}. */
export interface HttpServerOptions {
  readonly endpoints: readonly HttpEndpoint[];
  readonly clock: Clock;
  readonly eventLog?: EventLog;
  readonly limits?: Partial<HttpLimits>;
  readonly metrics?: MetricsRegistry;
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

/** The status for an `Expect` header other than `100-continue`. */
const EXPECTATION_FAILED = 417;

/** What the caller asked for with `Expect`. */
const Expectation = {
  none: "none",
  continue: "continue",
  unknown: "unknown",
} as const;
type Expectation = (typeof Expectation)[keyof typeof Expectation];

/** Serves the endpoints of all subsystems over HTTP. */
export class HttpServer {
  readonly #clock: Clock;
  readonly #eventLog: EventLog;
  readonly #limits: HttpLimits;
  readonly #table: EndpointTable;
  readonly #budget: ByteBudget;
  readonly #server: Server;
  readonly #memory: RequestMemory;
  readonly #turns = new TurnQueue();
  readonly #heldInput: ByteBudget;
  readonly #refusals: ConnectionRefusals;
  /** In the order in which their latest calls began. */
  readonly #callsByConnection = new Map<GuardedConnection, number>();
  #calls = 0;
  #readiness: Readiness = Readiness.starting;
  #closing: Promise<void> | undefined;

  constructor(options: HttpServerOptions) {
    this.#clock = options.clock;
    this.#eventLog = options.eventLog ?? SILENT_EVENT_LOG;
    this.#limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
    this.#budget = new ByteBudget({ limitBytes: this.#limits.heldBytes });
    this.#memory = new RequestMemory({
      limitBytes: this.#limits.requestBytes,
    });
    this.#heldInput = new ByteBudget({
      limitBytes: this.#limits.heldInputBytes,
    });
    this.#refusals = new ConnectionRefusals({
      clock: this.#clock,
      eventLog: this.#eventLog,
      ...(options.metrics === undefined ? {} : { metrics: options.metrics }),
    });
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
    return this.#callsByConnection.size;
  }

  /** Bytes of bodies and answers in memory. */
  get heldBytes(): number {
    return this.#budget.reservedBytes;
  }

  /** Estimated heap of the calls in progress. */
  get requestBytes(): number {
    return this.#memory.reservedBytes;
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

  /**
   * Makes room for a new caller: closes the connection that has had no request in
   * progress for the longest time. False if there is none.
   */
  #closeUnused(): boolean {
    for (const connection of this.#callsByConnection.keys()) {
      if (connection.isUnused) {
        this.#callsByConnection.delete(connection);
        connection.destroy();
        return true;
      }
    }
    return false;
  }

  #closeIdleConnections(): void {
    for (const connection of this.#callsByConnection.keys()) {
      if (connection.isIdle) {
        connection.destroy();
      }
    }
  }

  #createServer(): Server {
    const limits = this.#limits;
    const server = createServer({
      IncomingMessage: CountedRequest,
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerReadMs,
      // Bodies have their own time limit, `bodyReadMs`.
      requestTimeout: 0,
      keepAliveTimeout: limits.keepAliveMs,
      connectionsCheckingInterval: HEADER_CHECK_MS,
      // Node's own answer would bypass the limits of calls.
      requireHostHeader: false,
    });
    // With a limit here, Node would silently drop further header fields.
    server.maxHeadersCount = 0;
    server.maxConnections = limits.connections + limits.refusedConnections;
    // Node's own function, which `close` calls, takes a connection whose answer
    // is partly written for an idle one, and the rest of the answer is lost.
    server.closeIdleConnections = () => this.#closeIdleConnections();
    guardConnections(server, (socket) => this.#guard(socket));
    server.on("clientError", (error, stream) => {
      // Every connection of the server is a `GuardedConnection`.
      if (onClientError(error, stream as unknown as GuardedConnection)) {
        this.#refusals.note(RefusalReason.invalidHead);
      }
    });
    server.on("request", (request, response) => {
      void this.#onCall(request, response, Expectation.none);
    });
    server.on("checkContinue", (request, response) => {
      void this.#onCall(request, response, Expectation.continue);
    });
    server.on("checkExpectation", (request, response) => {
      void this.#onCall(request, response, Expectation.unknown);
    });
    return server;
  }

  /** The connection in place of the socket; undefined if it is refused. */
  #guard(socket: Socket): GuardedConnection | undefined {
    const isFull = this.#callsByConnection.size >= this.#limits.connections;
    if (isFull) {
      this.#refusals.note(RefusalReason.connections);
    }
    if (isFull && !this.#closeUnused()) {
      const detail = "Too many connections are open.";
      refuseSocket(socket, new SesameError("overloaded", { detail }));
      return undefined;
    }
    const connection = new GuardedConnection({
      socket,
      memory: this.#memory,
      heldInput: this.#heldInput,
      turns: this.#turns,
      headerBytes: this.#limits.headerBytes,
      pendingRequests: this.#limits.callsPerConnection +
        this.#limits.refusedCallsPerConnection,
      onOverload: () => {
        this.#refusals.note(RefusalReason.requestMemory);
        const detail = "Too many calls are in progress.";
        connection.refuse(
          errorBytes(new SesameError("overloaded", { detail })),
        );
      },
      onHeadTooLarge: () => {
        this.#refusals.note(RefusalReason.invalidHead);
        connection.refuse(errorBytes(new SesameError("headersTooLarge")));
      },
      onInputDropped: () => this.#refusals.note(RefusalReason.heldInput),
    });
    this.#callsByConnection.set(connection, 0);
    connection.once("close", () => this.#callsByConnection.delete(connection));
    return connection;
  }

  async #onCall(
    request: CountedRequest,
    response: ServerResponse,
    expectation: Expectation,
  ): Promise<void> {
    // Every connection of the server is a `GuardedConnection`.
    const connection = request.socket as unknown as GuardedConnection;
    const exchange = this.#createExchange(
      request,
      response,
      expectation === Expectation.continue,
    );
    connection.begin(request, response, () => exchange.abandon());
    if (expectation === Expectation.unknown) {
      const detail = "The expectation is not known.";
      const error = new SesameError("malformed", { detail });
      await exchange.refuse(error, EXPECTATION_FAILED);
      return;
    }
    if (request.headers.host === undefined && request.httpVersion === "1.1") {
      const detail = "The Host header is missing.";
      await exchange.refuse(new SesameError("malformed", { detail }));
      return;
    }
    const connectionCalls = this.#callsByConnection.get(connection);
    const isOverLimit = connectionCalls === undefined ||
      connectionCalls >= this.#limits.callsPerConnection ||
      this.#calls >= this.#limits.calls;
    if (isOverLimit) {
      const detail = "Too many calls are in progress.";
      await exchange.refuse(new SesameError("overloaded", { detail }));
      return;
    }
    this.#countCalls(connection, 1);
    try {
      await exchange.run();
    } catch (thrown) {
      const detail = thrown instanceof Error ? thrown.message : String(thrown);
      this.#eventLog.emit("callFailed", {
        path: loggedPath(request.url),
        detail,
      });
      connection.destroy();
    } finally {
      this.#countCalls(connection, -1);
    }
  }

  #createExchange(
    request: CountedRequest,
    response: ServerResponse,
    expectsContinue: boolean,
  ): HttpExchange {
    return new HttpExchange({
      request,
      response,
      connection: request.socket as unknown as GuardedConnection,
      expectsContinue,
      table: this.#table,
      clock: this.#clock,
      eventLog: this.#eventLog,
      limits: this.#limits,
      budget: this.#budget,
      refusals: this.#refusals,
      isClosing: () => this.#readiness === Readiness.stopping,
    });
  }

  #countCalls(connection: GuardedConnection, by: number): void {
    this.#calls += by;
    const connectionCalls = this.#callsByConnection.get(connection);
    if (connectionCalls !== undefined) {
      this.#callsByConnection.delete(connection);
      this.#callsByConnection.set(connection, connectionCalls + by);
    }
  }
}

/**
 * Answers input that Node rejects: malformed, oversized or late headers. False
 * if the connection was lost instead.
 */
function onClientError(
  error: NodeJS.ErrnoException,
  connection: GuardedConnection,
): boolean {
  if (!connection.writable || error.code === "ECONNRESET") {
    connection.destroy();
    return false;
  }
  if (
    error.code === "HPE_INVALID_EOF_STATE" && connection.pendingRequests > 0
  ) {
    // The caller has closed within a request, and awaits no earlier answers.
    connection.destroy();
    return false;
  }
  connection.refuse(errorBytes(toSesameError(error)));
  return true;
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

function refuseSocket(socket: Socket, error: SesameError): void {
  socket.on("error", () => socket.destroy());
  socket.end(errorBytes(error), () => socket.destroy());
}
