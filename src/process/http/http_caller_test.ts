import test from "ava";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { CallTimeoutError, HttpCaller } from "./http_caller.ts";

const OPTIONS = { connections: 1, keepAliveMs: 1_000, connectTimeoutMs: 500 };

const CALL = {
  method: "POST",
  path: "/echo",
  headers: { "content-type": "text/plain" },
} as const;

/** A server that echoes, but leaves calls to /silent unanswered. */
async function openServer(
  seen: string[],
): Promise<{ server: Server; address: string }> {
  const server = createServer((request, response) => {
    let text = "";
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      seen.push(`${request.socket.remotePort} ${request.url}`);
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

test("calls are answered whole, one after the other on one connection", async (t) => {
  const seen: string[] = [];
  const { server, address } = await openServer(seen);
  const caller = new HttpCaller(OPTIONS);
  const long = "x".repeat(300_000);
  for (const body of ["one", "", long]) {
    const answer = await caller.call({
      ...CALL,
      address,
      body,
      timeoutMs: 5_000,
    });
    t.is(answer.status, 202);
    t.is(answer.body.toString(), body);
  }
  t.is(new Set(seen).size, 1, "all came over the same connection");
  await caller.close();
  await closeServer(server);
});

test("where nothing listens the error says that nothing was sent", async (t) => {
  const { server, address } = await openServer([]);
  await closeServer(server);
  const caller = new HttpCaller(OPTIONS);
  await t.throwsAsync(
    caller.call({ ...CALL, address, body: "", timeoutMs: 5_000 }),
    { code: "ECONNREFUSED" },
  );
  await caller.close();
});

test("a call without an answer is given up, and so is one that waits for it", async (t) => {
  const seen: string[] = [];
  const { server, address } = await openServer(seen);
  const caller = new HttpCaller(OPTIONS);
  const silent = { ...CALL, address, path: "/silent", body: "" };
  const first = caller.call({ ...silent, timeoutMs: 150 });
  const behind = caller.call({ ...CALL, address, body: "", timeoutMs: 50 });
  await t.throwsAsync(behind, { instanceOf: CallTimeoutError });
  await t.throwsAsync(first, { instanceOf: CallTimeoutError });
  const next = await caller.call({
    ...CALL,
    address,
    body: "next",
    timeoutMs: 5_000,
  });
  t.is(next.body.toString(), "next");
  t.deepEqual(
    seen.map((line) => line.split(" ")[1]),
    ["/silent", "/echo"],
    "what was given up before it was sent is never sent",
  );
  await caller.close();
  await closeServer(server);
});
