import test from "ava";
import { RawCaller, startServer, waitUntil } from "./http_server_fixture.ts";

test("a call with a body is handled and answered", async (t) => {
  const { held, port } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("POST /held/one?x=1 HTTP/1.1", "host: x", "content-length: 3");
  caller.send("", "", "abc");
  await held.waitForCalls(1);
  t.is(held.calls[0]?.query.get("x"), "1");
  held.answerAll();
  t.regex(await caller.waitFor("}"), /200 OK[^]*{"name":"one","size":3}/);
  caller.socket.destroy();
});

test("a body over the limit is refused before it is read", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 1001", "", "");
  t.regex(await caller.waitFor("}}"), /413 [^]*"kind":"tooLarge"/);
  caller.socket.end();
  await caller.closed;
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
});

test("a chunked body is refused when it passes the limit", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "transfer-encoding: chunked");
  caller.send("", "", "3f0", "x".repeat(0x3f0), "");
  caller.send("3f0", "x".repeat(0x3f0), "");
  t.regex(await caller.waitFor("}}"), /413 [^]*"execution":"not run"/);
  caller.socket.destroy();
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
});

test("input after an early answer is discarded until lingerMs has passed", async (t) => {
  const { port, clock, server } = await startServer(t, { lingerMs: 500 });
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 900000", "");
  caller.send("", "x".repeat(100_000));
  await caller.waitFor("}}");
  await waitUntil(() => server.calls === 0);
  clock.advance(501);
  await caller.closed;
  t.is(server.heldBytes, 0);
});

test("a body that is incomplete at its deadline is refused", async (t) => {
  const { port, clock, server } = await startServer(t, { bodyReadMs: 5_000 });
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 10", "", "a");
  await waitUntil(() => server.heldBytes > 0);
  clock.advance(4_999);
  t.is(server.calls, 1);
  clock.advance(2);
  t.regex(await caller.waitFor("}}"), /408 [^]*"kind":"slowCaller"/);
  caller.socket.destroy();
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
});

test("the memory of an interrupted body is released", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 10", "", "a");
  await waitUntil(() => server.heldBytes > 0);
  caller.socket.destroy();
  await waitUntil(() => server.calls === 0 && server.connections === 0);
  t.is(server.heldBytes, 0);
});

test("bodies of many callers stay within heldBytes", async (t) => {
  const limits = { heldBytes: 3_000, bodyReadMs: 5_000 };
  const { port, server } = await startServer(t, limits);
  const callers = Array.from({ length: 5 }, () => new RawCaller(port));
  for (const caller of callers) {
    caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 900", "");
    caller.send("", "x");
  }
  const refused = await Promise.race(
    callers.map((caller) => caller.waitFor("}}")),
  );
  t.regex(refused, /429 [^]*"kind":"overloaded"/);
  t.true(server.heldBytes <= limits.heldBytes);
  callers.forEach((caller) => caller.socket.destroy());
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
});

test("headers over the limit are refused", async (t) => {
  const { port } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", `host: ${"x".repeat(20_000)}`, "", "");
  t.regex(await caller.closed, /431 [^]*"kind":"headersTooLarge"/);
});

test("headers of the largest size are served, however short their lines", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  const fixed = ["PUT /echo HTTP/1.1", "host: x", "content-length: 4"];
  const short = Array.from({ length: 4_050 }, () => "a:");
  const last = `last: ${"x".repeat(100)}`;
  caller.send(...fixed, ...short, last, "", "echo");
  t.regex(await caller.waitFor("echo"), /200 OK/);
  caller.socket.destroy();
  await waitUntil(() => server.connections === 0);
  t.is(server.requestBytes, 0);
});

test("input that isn't HTTP/1.1 is refused", async (t) => {
  const { port } = await startServer(t);
  for (const text of ["\x16\x03\x01\x02\x00", "GET / HTTP/9.9\r\n\r\n"]) {
    const caller = new RawCaller(port);
    caller.send(text, "", "");
    t.regex(await caller.closed, /400 [^]*"kind":"malformed"/);
  }
});

test("content-length together with chunked encoding is refused", async (t) => {
  const { port } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 3");
  caller.send("", "transfer-encoding: chunked", "", "0", "", "");
  t.regex(await caller.closed, /400 /);
});

test("connections over the limit get an error answer", async (t) => {
  const { port, held, server } = await startServer(t, { connections: 2 });
  const callers = [new RawCaller(port), new RawCaller(port)];
  callers.forEach((caller) =>
    caller.send("POST /held/a HTTP/1.1", "host: x", "content-length: 0", "", "")
  );
  await held.waitForCalls(2);
  const late = new RawCaller(port);
  t.regex(await late.closed, /429 [^]*"kind":"overloaded"/);
  t.is(server.connections, 2);
  callers.forEach((caller) => caller.socket.destroy());
});

// Guards against callers that hold all connections and send nothing.
test("a new caller gets the place of a connection without a call in progress", async (t) => {
  const { port, held, server } = await startServer(t, { connections: 2 });
  const busy = new RawCaller(port);
  busy.send("POST /held/a HTTP/1.1", "host: x", "content-length: 0", "", "");
  await held.waitForCalls(1);
  const silent = new RawCaller(port);
  silent.send("GET /refusing HTTP/1.1", "hos");
  await waitUntil(() => server.connections === 2);
  const late = new RawCaller(port);
  late.send("PUT /echo HTTP/1.1", "host: x", "content-length: 2", "", "ok");
  t.regex(await late.waitFor("ok"), /200 OK/);
  t.is(await silent.closed, "");
  held.answerAll();
  t.regex(await busy.waitFor("200 OK"), /200 OK/);
  busy.socket.destroy();
  late.socket.destroy();
});

test("pipelined calls of one connection are limited", async (t) => {
  const { port, held, server } = await startServer(t, {
    callsPerConnection: 2,
  });
  const caller = new RawCaller(port);
  const call = "POST /held/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
  caller.send(call.repeat(5));
  await held.waitForCalls(2);
  t.true(server.calls <= 2);
  held.answerAll();
  const text = await caller.waitFor("overloaded");
  t.is(text.split("200 OK").length - 1, 2);
  caller.socket.destroy();
});

test("the call is aborted when its connection closes before the answer", async (t) => {
  const { port, held, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("POST /held/a HTTP/1.1", "host: x", "content-length: 0", "", "");
  await held.waitForCalls(1);
  caller.socket.destroy();
  await waitUntil(() => held.calls[0]?.signal.aborted === true);
  held.answerAll();
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
});

test("the connection of a caller that doesn't read its answer is closed", async (t) => {
  const { port, clock, server } = await startServer(t, {
    answerWriteMs: 9_000,
  });
  const caller = new RawCaller(port);
  caller.socket.pause();
  caller.send("GET /large HTTP/1.1", "host: x", "", "");
  await waitUntil(() => server.heldBytes >= 32_000_000);
  clock.advance(9_001);
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
  caller.socket.destroy();
});

test("the memory of an interrupted answer is released", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("GET /large HTTP/1.1", "host: x", "", "");
  await caller.waitFor("200 OK");
  caller.socket.destroy();
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
});

test("errors and exceptions are answered as JSON with an error kind", async (t) => {
  const { port } = await startServer(t);
  const cases = [
    ["GET /faulty", /500 [^]*"kind":"internal"/],
    ["GET /refusing", /429 [^]*retry-after[^]*"location":"queue"/],
    ["GET /nowhere", /404 [^]*"kind":"notFound"/],
    ["DELETE /echo", /405 [^]*"allowed":\["PUT"\]/],
  ] as const;
  for (const [line, expected] of cases) {
    const caller = new RawCaller(port);
    caller.send(`${line} HTTP/1.1`, "host: x", "", "");
    t.regex(await caller.waitFor("}}"), expected);
    caller.socket.destroy();
  }
});

test("malformed and unsupported targets are refused", async (t) => {
  const { port, server } = await startServer(t);
  const targets = [
    "/held/%ff",
    "/%",
    "*",
    "http://other/echo",
    "//echo",
    "/held/" + "x".repeat(4_000),
    "/held/..%2f..%2fecho",
    "/echo;x=1?%zz=%ff",
  ];
  for (const target of targets) {
    const caller = new RawCaller(port);
    caller.send(`GET ${target} HTTP/1.1`, "host: x", "", "");
    t.regex(await caller.waitFor("}}"), /HTTP\/1.1 4\d\d /, target);
    caller.socket.destroy();
  }
  const tunnel = new RawCaller(port);
  tunnel.send("CONNECT other:443 HTTP/1.1", "host: x", "", "");
  t.notRegex(await tunnel.closed, /200/);
  const upgrade = new RawCaller(port);
  upgrade.send("GET /healthz HTTP/1.1", "host: x", "connection: upgrade");
  upgrade.send("", "upgrade: websocket", "", "");
  t.regex(await upgrade.waitFor("}"), /200 OK/);
  upgrade.socket.destroy();
  await waitUntil(() => server.calls === 0);
});

test("an exception before the body is read closes only its connection", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("GET /unbounded HTTP/1.1", "host: x", "", "");
  t.is(await caller.closed, "");
  await waitUntil(() => server.calls === 0);
  const next = new RawCaller(port);
  next.send("GET /healthz HTTP/1.1", "host: x", "", "");
  t.regex(await next.waitFor("}"), /200 OK/);
  next.socket.destroy();
});

test("100 Continue is sent only for bodies within the limit", async (t) => {
  const { port } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "expect: 100-continue");
  caller.send("", "content-length: 2", "", "");
  await caller.waitFor("100 Continue");
  caller.send("ok");
  t.regex(await caller.waitFor("\r\n\r\nok"), /200 OK/);
  caller.socket.destroy();
  const over = new RawCaller(port);
  over.send("PUT /echo HTTP/1.1", "host: x", "expect: 100-continue");
  over.send("", "content-length: 2000", "", "");
  t.notRegex(await over.waitFor("}}"), /100 Continue/);
  over.socket.destroy();
});
