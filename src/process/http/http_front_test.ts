import test from "ava";
import { eventually, RawCaller, startFront } from "./http_front_fixture.ts";

test("a whole call gets a whole answer", async (t) => {
  const { held, port } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("POST /held/one?x=1 HTTP/1.1", "host: x", "content-length: 3");
  caller.send("", "", "abc");
  await held.reached(1);
  t.is(held.calls[0]?.query.get("x"), "1");
  held.answerAll();
  t.regex(await caller.until("}"), /200 OK[^]*{"name":"one","size":3}/);
  caller.socket.destroy();
});

test("a body over the limit is refused before it is read", async (t) => {
  const { port, front } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 1001", "", "");
  t.regex(await caller.until("}}"), /413 [^]*"kind":"tooLarge"/);
  caller.socket.end();
  await caller.closed;
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
});

test("a chunked body is refused when it passes the limit", async (t) => {
  const { port, front } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "transfer-encoding: chunked");
  caller.send("", "", "3f0", "x".repeat(0x3f0), "");
  caller.send("3f0", "x".repeat(0x3f0), "");
  t.regex(await caller.until("}}"), /413 [^]*"execution":"not run"/);
  caller.socket.destroy();
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
});

test("bytes sent after an early answer are dropped, then cut", async (t) => {
  const { port, clock, front } = await startFront(t, { lingerMs: 500 });
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 900000", "");
  caller.send("", "x".repeat(100_000));
  await caller.until("}}");
  await eventually(() => front.calls === 0);
  clock.advance(501);
  await caller.closed;
  t.is(front.heldBytes, 0);
});

test("a slow body is refused at its deadline", async (t) => {
  const { port, clock, front } = await startFront(t, { bodyReadMs: 5_000 });
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 10", "", "a");
  await eventually(() => front.heldBytes > 0);
  clock.advance(4_999);
  t.is(front.calls, 1);
  clock.advance(2);
  t.regex(await caller.until("}}"), /408 [^]*"kind":"slowCaller"/);
  caller.socket.destroy();
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
});

test("a body that breaks off leaves nothing held", async (t) => {
  const { port, front } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 10", "", "a");
  await eventually(() => front.heldBytes > 0);
  caller.socket.destroy();
  await eventually(() => front.calls === 0 && front.connections === 0);
  t.is(front.heldBytes, 0);
});

test("bodies of many callers stay within the held bytes", async (t) => {
  const limits = { heldBytes: 3_000, bodyReadMs: 5_000 };
  const { port, front } = await startFront(t, limits);
  const callers = Array.from({ length: 5 }, () => new RawCaller(port));
  for (const caller of callers) {
    caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 900", "");
    caller.send("", "x");
  }
  const refused = await Promise.race(
    callers.map((caller) => caller.until("}}")),
  );
  t.regex(refused, /429 [^]*"kind":"overloaded"/);
  t.true(front.heldBytes <= limits.heldBytes);
  callers.forEach((caller) => caller.socket.destroy());
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
});

test("headers over the limit are refused", async (t) => {
  const { port } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", `host: ${"x".repeat(20_000)}`, "", "");
  t.regex(await caller.closed, /431 [^]*"kind":"headersTooLarge"/);
});

test("too many header fields are refused, none is dropped", async (t) => {
  const { port } = await startFront(t);
  const caller = new RawCaller(port);
  const fields = Array.from({ length: 150 }, (_, at) => `x${at}: y`);
  caller.send("PUT /echo HTTP/1.1", "host: x", ...fields, "", "");
  t.regex(await caller.until("}}"), /431 /);
  caller.socket.destroy();
});

test("what isn't HTTP is refused", async (t) => {
  const { port } = await startFront(t);
  for (const text of ["\x16\x03\x01\x02\x00", "GET / HTTP/9.9\r\n\r\n"]) {
    const caller = new RawCaller(port);
    caller.send(text, "", "");
    t.regex(await caller.closed, /400 [^]*"kind":"malformed"/);
  }
});

test("two lengths of one body are refused", async (t) => {
  const { port } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 3");
  caller.send("", "transfer-encoding: chunked", "", "0", "", "");
  t.regex(await caller.closed, /400 /);
});

test("connections over the limit are refused in words", async (t) => {
  const { port, front } = await startFront(t, { connections: 2 });
  const callers = [new RawCaller(port), new RawCaller(port)];
  await eventually(() => front.connections === 2);
  const late = new RawCaller(port);
  t.regex(await late.closed, /429 [^]*"kind":"overloaded"/);
  callers.forEach((caller) => caller.socket.destroy());
});

test("pipelined calls of one connection are bounded", async (t) => {
  const { port, held, front } = await startFront(t, { callsPerConnection: 2 });
  const caller = new RawCaller(port);
  const call = "POST /held/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
  caller.send(call.repeat(5));
  await held.reached(2);
  t.true(front.calls <= 2);
  held.answerAll();
  const text = await caller.until("overloaded");
  t.is(text.split("200 OK").length - 1, 2);
  caller.socket.destroy();
});

test("a caller that leaves before its answer aborts the call", async (t) => {
  const { port, held, front } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("POST /held/a HTTP/1.1", "host: x", "content-length: 0", "", "");
  await held.reached(1);
  caller.socket.destroy();
  await eventually(() => held.calls[0]?.signal.aborted === true);
  held.answerAll();
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
});

test("a caller that doesn't read its answer is given up", async (t) => {
  const { port, clock, front } = await startFront(t, { answerWriteMs: 9_000 });
  const caller = new RawCaller(port);
  caller.socket.pause();
  caller.send("GET /large HTTP/1.1", "host: x", "", "");
  await eventually(() => front.heldBytes >= 32_000_000);
  clock.advance(9_001);
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
  caller.socket.destroy();
});

test("a caller that leaves mid-answer leaves nothing held", async (t) => {
  const { port, front } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("GET /large HTTP/1.1", "host: x", "", "");
  await caller.until("200 OK");
  caller.socket.destroy();
  await eventually(() => front.calls === 0);
  t.is(front.heldBytes, 0);
});

test("errors and faults come as JSON of the closed list", async (t) => {
  const { port } = await startFront(t);
  const cases = [
    ["GET /faulty", /500 [^]*"kind":"internal"/],
    ["GET /refusing", /429 [^]*retry-after[^]*"location":"queue"/],
    ["GET /nowhere", /404 [^]*"kind":"notFound"/],
    ["DELETE /echo", /405 [^]*"allowed":\["PUT"\]/],
  ] as const;
  for (const [line, expected] of cases) {
    const caller = new RawCaller(port);
    caller.send(`${line} HTTP/1.1`, "host: x", "", "");
    t.regex(await caller.until("}}"), expected);
    caller.socket.destroy();
  }
});

test("odd targets are refused and harm nothing", async (t) => {
  const { port, front } = await startFront(t);
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
    t.regex(await caller.until("}}"), /HTTP\/1.1 4\d\d /, target);
    caller.socket.destroy();
  }
  const tunnel = new RawCaller(port);
  tunnel.send("CONNECT other:443 HTTP/1.1", "host: x", "", "");
  t.notRegex(await tunnel.closed, /200/);
  const upgrade = new RawCaller(port);
  upgrade.send("GET /healthz HTTP/1.1", "host: x", "connection: upgrade");
  upgrade.send("", "upgrade: websocket", "", "");
  t.regex(await upgrade.until("}"), /200 OK/);
  upgrade.socket.destroy();
  await eventually(() => front.calls === 0);
});

test("a fault before the body is read closes its connection only", async (t) => {
  const { port, front } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("GET /unbounded HTTP/1.1", "host: x", "", "");
  t.is(await caller.closed, "");
  await eventually(() => front.calls === 0);
  const next = new RawCaller(port);
  next.send("GET /healthz HTTP/1.1", "host: x", "", "");
  t.regex(await next.until("}"), /200 OK/);
  next.socket.destroy();
});

test("leave to send a body is given only within the limit", async (t) => {
  const { port } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "host: x", "expect: 100-continue");
  caller.send("", "content-length: 2", "", "");
  await caller.until("100 Continue");
  caller.send("ok");
  t.regex(await caller.until("\r\n\r\nok"), /200 OK/);
  caller.socket.destroy();
  const over = new RawCaller(port);
  over.send("PUT /echo HTTP/1.1", "host: x", "expect: 100-continue");
  over.send("", "content-length: 2000", "", "");
  t.notRegex(await over.until("}}"), /100 Continue/);
  over.socket.destroy();
});
