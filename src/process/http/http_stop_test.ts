import test from "ava";
import { eventually, RawCaller, startFront } from "./http_front_fixture.ts";

test("a stop leaves the balancer first and finishes every call", async (t) => {
  const { port, held, front, clock } = await startFront(t);
  const callers = Array.from({ length: 200 }, () => new RawCaller(port));
  callers.forEach((caller, at) => {
    caller.send(`POST /held/${at} HTTP/1.1`, "host: x", "content-length: 0");
    caller.send("", "", "");
  });
  await held.reached(200);
  const stopped = front.close({ leaveMs: 1_000, deadlineMs: 30_000 });
  const probe = new RawCaller(port);
  probe.send("GET /healthz HTTP/1.1", "host: x", "", "");
  t.regex(await probe.closed, /503 [^]*connection: close[^]*"stopping"/);
  const late = new RawCaller(port);
  late.send("PUT /echo HTTP/1.1", "host: x", "content-length: 2", "", "hi");
  t.regex(await late.closed, /200 OK/);
  clock.advance(1_001);
  await eventually(() => held.calls.length === 200);
  held.answerAll();
  const texts = await Promise.all(callers.map((caller) => caller.closed));
  texts.forEach((text, at) => t.regex(text, new RegExp(`"name":"${at}"`)));
  t.is(held.calls.length, 200);
  await stopped;
  t.is(front.connections, 0);
});

test("a stop past its deadline cuts off what is left", async (t) => {
  const { port, held, front, clock } = await startFront(t);
  const caller = new RawCaller(port);
  caller.send("POST /held/a HTTP/1.1", "host: x", "content-length: 0", "", "");
  await held.reached(1);
  const stopped = front.close({ leaveMs: 0, deadlineMs: 10 });
  clock.advance(11);
  t.is(await caller.closed, "");
  await stopped;
});
