import test from "ava";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import {
  CallTimeoutError,
  CallUnsentError,
  HttpClient,
} from "./http_client.ts";

const OPTIONS = { connections: 1, keepAliveMs: 1_000, connectTimeoutMs: 500 };

const CALL = {
  method: "POST",
  path: "/echo",
  headers: { "content-type": "text/plain" },
} as const;

/** A server that echoes bodies, but never answers calls to /silent. */
async function openServer(
  receivedCalls: string[],
): Promise<{ server: Server; address: string }> {
  const server = createServer((request, response) => {
    let text = "";
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      receivedCalls.push(`${request.socket.remotePort} ${request.url}`);
      if (request.url !== "/silent") {
        response.statusCode = 202;
        response.end(text);
      }
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((done) => server.close(done));
}

test("consecutive calls get complete answers over one connection", async (t) => {
  const receivedCalls: string[] = [];
  const { server, address } = await openServer(receivedCalls);
  const client = new HttpClient(OPTIONS);
  const long = "x".repeat(300_000);
  for (const body of ["one", "", long]) {
    const answer = await client.call({
      ...CALL,
      address,
      body,
      timeoutMs: 5_000,
    });
    t.is(answer.status, 202);
    t.is(answer.body.toString(), body);
  }
  t.is(new Set(receivedCalls).size, 1, "all calls used the same connection");
  await client.close();
  await closeServer(server);
});

test("a call to a closed port fails with ECONNREFUSED, so it was never sent", async (t) => {
  const { server, address } = await openServer([]);
  await closeServer(server);
  const client = new HttpClient(OPTIONS);
  await t.throwsAsync(
    client.call({ ...CALL, address, body: "", timeoutMs: 5_000 }),
    { code: "ECONNREFUSED" },
  );
  await client.close();
});

test("calls time out, and one that still waits for a connection is never sent", async (t) => {
  const receivedCalls: string[] = [];
  const { server, address } = await openServer(receivedCalls);
  const client = new HttpClient(OPTIONS);
  const unanswered = { ...CALL, address, path: "/silent", body: "" };
  const first = client.call({ ...unanswered, timeoutMs: 150 });
  const waiting = client.call({ ...CALL, address, body: "", timeoutMs: 50 });
  await t.throwsAsync(waiting, { instanceOf: CallUnsentError });
  const error = await t.throwsAsync(first, { instanceOf: CallTimeoutError });
  t.false(error instanceof CallUnsentError);
  const next = await client.call({
    ...CALL,
    address,
    body: "next",
    timeoutMs: 5_000,
  });
  t.is(next.body.toString(), "next");
  t.deepEqual(
    receivedCalls.map((line) => line.split(" ")[1]),
    ["/silent", "/echo"],
    "a call that timed out before it was sent is never sent",
  );
  await client.close();
  await closeServer(server);
});

/** Answers each call after 50 ms, whatever the event loop of the test does. */
const DELAYED_SERVER = `
  const { createServer } = require("node:http");
  const { parentPort } = require("node:worker_threads");
  const server = createServer((request, response) => {
    request.resume();
    setTimeout(() => response.end("answer"), 50);
  });
  server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

test("an answer that arrived while the event loop was blocked isn't taken for a timeout", async (t) => {
  const thread = new Worker(DELAYED_SERVER, { eval: true });
  t.teardown(() => thread.terminate());
  const [port] = await once(thread, "message");
  const client = new HttpClient(OPTIONS);
  t.teardown(() => client.close());
  const call = { ...CALL, address: `127.0.0.1:${port}`, body: "" };
  await client.call({ ...call, timeoutMs: 5_000 });
  const answered = client.call({ ...call, timeoutMs: 200 });
  // Timers come before input after a turn like this one.
  await new Promise((done) => setTimeout(() => setImmediate(done), 10));
  const blockedUntilMs = performance.now() + 500;
  while (performance.now() < blockedUntilMs);
  t.is((await answered).body.toString(), "answer");
});
