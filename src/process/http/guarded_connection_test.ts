import test from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { ByteBudget } from "./byte_budget.ts";
import { CountedRequest } from "./chunked_body.ts";
import { guardConnections } from "./connection_guard.ts";
import { GuardedConnection } from "./guarded_connection.ts";
import { RawCaller, startServer, waitUntil } from "./http_server_fixture.ts";
import { RequestMemory } from "./request_memory.ts";
import { TurnQueue } from "./turn_queue.ts";

const HELD = "POST /held/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";

/** A head that is estimated at more than an ordinary one. */
const LARGE_HEAD = [
  "POST /held/b HTTP/1.1",
  "host: x",
  ...Array.from({ length: 1_000 }, () => "a:"),
];

// Guards against a chunk of input whose requests all begin at once, and against
// a caller that reads and doesn't get an answer to each of its requests.
test("pipelined requests begin as answers are written, and all are answered", async (t) => {
  const { port, held, server } = await startServer(t, {
    callsPerConnection: 2,
    refusedCallsPerConnection: 1,
  });
  const caller = new RawCaller(port);
  caller.send(HELD.repeat(60));
  await held.waitForCalls(2);
  await waitUntil(() => server.requestBytes > 30_000);
  const bytesOfThree = server.requestBytes;
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(server.requestBytes, bytesOfThree);
  t.is(server.calls, 2);
  let text = "";
  caller.socket.on("data", (chunk) => text += chunk.toString("latin1"));
  await waitUntil(() => {
    held.answerAll();
    return text.split("HTTP/1.1 ").length - 1 === 60;
  });
  await waitUntil(() => server.requestBytes === 0);
  caller.socket.destroy();
});

// Guards against calls that count as in progress for good: Node emits no event
// for a response that waits behind another one when the connection closes.
test("a closed connection releases the answers that wait behind another", async (t) => {
  const { port, held, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send(HELD, "GET /refusing HTTP/1.1\r\nhost: x\r\n\r\n");
  await held.waitForCalls(1);
  await waitUntil(() => server.calls === 2);
  caller.socket.destroy();
  await waitUntil(() => held.calls[0]!.signal.aborted);
  held.answerAll();
  await waitUntil(() => server.calls === 0);
  t.is(server.heldBytes, 0);
  t.is(server.requestBytes, 0);
});

// Guards against large heads that use up the memory of ordinary callers.
test("large heads over the limit are refused while ordinary ones are served", async (t) => {
  const { port, held, server, metrics } = await startServer(t, {
    requestBytes: 400_000,
  });
  const first = new RawCaller(port);
  first.send(...LARGE_HEAD, "content-length: 0", "", "");
  await held.waitForCalls(1);
  const second = new RawCaller(port);
  second.send(...LARGE_HEAD, "content-length: 0", "", "");
  t.regex(await second.closed, /429 [^]*retry-after: 1[^]*"kind":"overloaded"/);
  const ordinary = new RawCaller(port);
  ordinary.send("PUT /echo HTTP/1.1", "host: x", "content-length: 2", "", "ok");
  t.regex(await ordinary.waitFor("ok"), /200 OK/);
  t.is(held.calls.length, 1);
  t.regex(
    metrics.render(),
    /connections_refused_total\{reason="requestMemory"\} 1\n/,
  );
  first.socket.destroy();
  ordinary.socket.destroy();
  await waitUntil(() => server.requestBytes === 0);
});

// Guards against Node's own answers, which no limit of the server counts.
test("requests without Host and with an unknown Expect are answered as calls", async (t) => {
  const { port } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("PUT /echo HTTP/1.1", "", "");
  t.regex(await caller.waitFor("}}"), /400 [^]*Host header is missing/);
  caller.send("PUT /echo HTTP/1.1", "host: x", "expect: else", "", "");
  t.regex(await caller.waitFor("expectation"), /417 /);
  caller.send("PUT /echo HTTP/1.1", "host: x", "content-length: 2", "", "ok");
  t.regex(await caller.waitFor("ok"), /200 OK/);
  caller.socket.destroy();
});

// Guards against a call that is run although its connection is about to close.
test("no request begins behind one whose answer closes the connection", async (t) => {
  const { port, held } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send(
    "PUT /echo HTTP/1.1",
    "host: x",
    "content-length: 2000",
    "",
    "x".repeat(1_000),
  );
  t.regex(await caller.waitFor("}}"), /413 [^]*connection: close/i);
  caller.send("x".repeat(1_000) + HELD);
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(held.calls.length, 0);
  caller.socket.destroy();
});

// Guards against heads that end in another chunk than they began in.
test("requests in single bytes are served", async (t) => {
  const { port } = await startServer(t);
  const caller = new RawCaller(port);
  caller.socket.setNoDelay(true);
  const chunked = "PUT /echo HTTP/1.1\r\nhost: x\r\n" +
    "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
  const text = "\r\n" + chunked + chunked.replace("ab", "cd");
  for (const character of text) {
    caller.socket.write(character);
    await new Promise((resolve) => setImmediate(resolve));
  }
  await caller.waitFor("ab");
  t.is((await caller.waitFor("cd")).split("200 OK").length - 1, 2);
  caller.socket.destroy();
});

// Guards against lost connections that count as refused ones.
test("invalid heads count as refused, lost connections don't", async (t) => {
  const { port, held, metrics } = await startServer(t);
  const lost = new RawCaller(port);
  lost.send(HELD);
  await held.waitForCalls(1);
  lost.socket.resetAndDestroy();
  await waitUntil(() => held.calls[0]!.signal.aborted);
  t.false(metrics.render().includes("connections_refused_total"));
  const invalid = new RawCaller(port);
  invalid.send("no request", "", "");
  t.regex(await invalid.closed, /400 /);
  t.regex(metrics.render(), /refused_total\{reason="invalidHead"\} 1\n/);
});

// Guards against a refusal that says "not run" in the place of the answer to a
// call that is in progress.
test("invalid input is refused after the answers to earlier requests", async (t) => {
  const { port, held, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send(HELD);
  await held.waitForCalls(1);
  caller.send("no request", "", "");
  for (let turn = 0; turn < 50; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  held.answerAll();
  t.regex(await caller.closed, /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 400 /);
  await waitUntil(() => server.connections === 0);
  t.is(server.requestBytes, 0);
});

// Guards against trailers that are held, without a reservation, until the answer.
test("the trailers of a request are dropped when it is complete", async (t) => {
  const requests: CountedRequest[] = [];
  const options = { IncomingMessage: CountedRequest };
  const server = createServer(options, (request, response) => {
    const connection = request.socket as unknown as GuardedConnection;
    connection.begin(request, response, () => undefined);
    requests.push(request);
    request.resume();
  });
  const memory = new RequestMemory({ limitBytes: 1_000_000 });
  guardConnections(server, (socket) =>
    new GuardedConnection({
      socket,
      memory,
      headerBytes: 16_384,
      pendingRequests: 10,
      heldInput: new ByteBudget({ limitBytes: 1_000_000 }),
      turns: new TurnQueue(),
      onOverload: () => t.fail(),
      onHeadTooLarge: () => t.fail(),
      onInputDropped: () => t.fail(),
    }));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const caller = new RawCaller(port);
  caller.send(
    "PUT /echo HTTP/1.1",
    "host: x",
    "transfer-encoding: chunked",
    "",
    "0",
    ...Array.from({ length: 100 }, (_, at) => `a${at}:`),
    "",
    "",
  );
  await waitUntil(() => requests[0]?.complete === true);
  t.is(requests[0]!.rawTrailers.length, 0);
  caller.socket.destroy();
  await waitUntil(() => memory.reservedBytes === 0);
});

// Guards against calls that stay in progress until the time limit of a body.
test("a connection that ends within a body releases its calls", async (t) => {
  const { port, held, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send(
    HELD + "PUT /echo HTTP/1.1\r\ncontent-length: 9\r\nhost: x\r\n\r\na",
  );
  await waitUntil(() => server.calls === 2);
  caller.socket.destroy();
  for (let turn = 0; turn < 1_000 && server.connections > 0; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(server.connections, 0);
  held.answerAll();
  await waitUntil(() => server.calls === 0);
  t.is(server.requestBytes, 0);
});

// Guards against trailers that are held until the answer and in no limit.
test("trailers that never end are refused, at the limit of a head or of the memory", async (t) => {
  const chunked = [
    "PUT /echo HTTP/1.1",
    ...["host: x", "transfer-encoding: chunked", "", "0", ""],
  ].join("\r\n");
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send(chunked + "a:\r\n".repeat(5_000));
  t.regex(await caller.closed, /^HTTP\/1\.1 431 /);
  t.is(server.requestBytes, 0);
  const small = await startServer(t, { requestBytes: 400_000 });
  const second = new RawCaller(small.port);
  second.send(chunked + "a:\r\n".repeat(4_000));
  t.regex(await second.closed, /^HTTP\/1\.1 429 /);
  await waitUntil(() => small.server.requestBytes === 0);
});

// Guards against a reservation that ends before the parser's: Node counts names
// and values, and takes heads of up to 80 kB in lines of one letter.
test("a head over the limit is refused, whatever the length of its lines", async (t) => {
  const { port, server } = await startServer(t);
  const caller = new RawCaller(port);
  caller.send("GET /refusing HTTP/1.1\r\nhost: x\r\n" + "a:\r\n".repeat(5_000));
  t.regex(await caller.closed, /^HTTP\/1\.1 431 /);
  t.is(server.requestBytes, 0);
});

// Guards against a turn of the event loop that grows with the number of callers:
// an ordinary request needs several turns.
test("in a turn each connection begins a share of requests, and all together no more than one", async (t) => {
  const CONNECTIONS = 60;
  const { port, held } = await startServer(t, { calls: 100_000 });
  const callers = Array.from(
    { length: CONNECTIONS },
    () => new RawCaller(port),
  );
  let most = 0;
  let known = 0;
  let isOver = false;
  const countTurn = () => {
    most = Math.max(most, held.calls.length - known);
    known = held.calls.length;
    held.answerAll();
    if (!isOver) {
      setImmediate(countTurn);
    }
  };
  countTurn();
  callers.forEach((caller) => caller.send(HELD.repeat(200)));
  await waitUntil(() => held.calls.length === CONNECTIONS * 200);
  isOver = true;
  // The share of each, and what all may begin beyond.
  t.true(most <= CONNECTIONS * 2 + 10, `${most} requests in one turn`);
  callers.forEach((caller) => caller.socket.destroy());
});
