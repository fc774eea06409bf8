/**
 * An HTTP server on loopback with endpoints for tests, and a caller that sends
 * raw bytes.
 *
 * @module
 */

import type { ExecutionContext } from "ava";
import { connect, type Socket } from "node:net";
import { Right } from "purify-ts/Either";
import { FakeClock } from "../../base/fake_clock.ts";
import { failure } from "../../base/sesame_error.ts";
import {
  type HttpCall,
  type HttpEndpoint,
  jsonAnswer,
} from "./http_endpoint.ts";
import { HttpServer } from "./http_server.ts";
import type { HttpLimits } from "./http_limits.ts";
import { MetricsRegistry } from "./metrics_registry.ts";

const BODY_LIMIT_BYTES = 1_000;

/** An endpoint that answers its calls when the test calls `answerAll`. */
export class HeldEndpoint implements HttpEndpoint {
  readonly method = "POST";
  readonly path = "/held/:name";
  readonly bodyLimitBytes = BODY_LIMIT_BYTES;
  readonly calls: HttpCall[] = [];
  #answers: (() => void)[] = [];
  #waiters: (() => void)[] = [];

  async handle(call: HttpCall) {
    this.calls.push(call);
    this.#waiters.splice(0).forEach((resume) => resume());
    await new Promise<void>((resolve) => this.#answers.push(resolve));
    const size = call.body.length;
    return Right(jsonAnswer(200, { name: call.parameters["name"], size }));
  }

  answerAll(): void {
    this.#answers.splice(0).forEach((answer) => answer());
  }

  async waitForCalls(count: number): Promise<void> {
    while (this.calls.length < count) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }
}

const ECHO: HttpEndpoint = {
  method: "PUT",
  path: "/echo",
  bodyLimitBytes: BODY_LIMIT_BYTES,
  handle: (call) =>
    Promise.resolve(Right({ status: 200, headers: {}, body: call.body })),
};

const LARGE: HttpEndpoint = {
  method: "GET",
  path: "/large",
  bodyLimitBytes: 0,
  handle: () =>
    Promise.resolve(
      Right({ status: 200, headers: {}, body: new Uint8Array(32_000_000) }),
    ),
};

const THROWING: HttpEndpoint = {
  method: "GET",
  path: "/faulty",
  bodyLimitBytes: 0,
  handle: () => Promise.reject(new Error("broken")),
};

const THROWING_LIMIT: HttpEndpoint = {
  method: "GET",
  path: "/unbounded",
  bodyLimitBytes: () => {
    throw new Error("no limit");
  },
  handle: () => Promise.reject(new Error("not reached")),
};

const REFUSING: HttpEndpoint = {
  method: "GET",
  path: "/refusing",
  bodyLimitBytes: 0,
  handle: () => Promise.resolve(failure("overloaded", { location: "queue" })),
};

export async function startServer(
  t: ExecutionContext,
  limits?: Partial<HttpLimits>,
) {
  const clock = new FakeClock();
  const held = new HeldEndpoint();
  const metrics = new MetricsRegistry();
  const server = new HttpServer({
    clock,
    metrics,
    endpoints: [held, ECHO, LARGE, THROWING, THROWING_LIMIT, REFUSING],
    ...(limits === undefined ? {} : { limits }),
  });
  const address = await server.listen({ host: "127.0.0.1", port: 0 });
  const { port } = address.unsafeCoerce();
  server.markReady();
  t.teardown(() => {
    held.answerAll();
    return server.close({ leaveMs: 0, deadlineMs: clock.nowMs() });
  });
  return { clock, held, metrics, server, port };
}

/** A connection on which a test sends raw bytes. */
export class RawCaller {
  readonly socket: Socket;
  readonly closed: Promise<string>;
  #text = "";
  #waiters: (() => void)[] = [];

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.on("error", () => undefined);
    this.socket.on("data", (chunk) => {
      this.#text += chunk.toString("latin1");
      this.#waiters.splice(0).forEach((resume) => resume());
    });
    this.closed = new Promise((resolve) => {
      this.socket.on("close", () => resolve(this.#text));
    });
  }

  send(...lines: string[]): void {
    this.socket.write(lines.join("\r\n"));
  }

  async waitFor(text: string): Promise<string> {
    while (!this.#text.includes(text)) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
    return this.#text;
  }
}

/** Waits, one turn of the event loop at a time, until the condition holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
