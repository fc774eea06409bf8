import test from "ava";
import { FakeClock, SILENT_EVENT_LOG, SystemClock } from "../../base/mod.ts";
import { HttpServer } from "../http/mod.ts";
import { callsEndpoint, HttpCallTransport } from "./http_call_transport.ts";
import type { JobCall } from "./job_call.ts";

test("a submission's time doesn't depend on the clock of the instance before", async (t) => {
  const clock = new SystemClock();
  const received: JobCall[] = [];
  const leaderClock = new FakeClock({ startMs: 1_000_000 });
  // Its time of day was set forward by 2.4 s.
  const doorClock = new FakeClock({ startMs: 1_002_400 });
  const server = new HttpServer({
    clock,
    eventLog: SILENT_EVENT_LOG,
    endpoints: [
      callsEndpoint({
        clock: leaderClock,
        answer: (call) => {
          received.push(call);
          return Promise.resolve({ kind: "accepted" });
        },
      }),
    ],
  });
  const { port } = (await server.listen({ host: "127.0.0.1", port: 0 }))
    .unsafeCoerce();
  const transport = new HttpCallTransport({
    clock: doorClock,
    addressOf: () => `127.0.0.1:${port}`,
  });
  const submission: JobCall = {
    kind: "submit",
    target: { host: "h", path: "/q/1", apiKey: undefined },
    jobId: "1",
    spec: { payload: "", steps: [], recurrence: undefined },
    // Two attempts before this one got no answer.
    receivedAtMs: doorClock.nowMs() - 1_400,
  };
  const answer = await transport.call("leader", submission, {
    timeoutMs: 5_000,
  });
  t.deepEqual(answer.unsafeCoerce(), { kind: "accepted" });
  t.deepEqual(received, [{ ...submission, receivedAtMs: 1_000_000 - 1_400 }]);
  await transport.close();
  await server.close({ leaveMs: 0, deadlineMs: clock.nowMs() + 1_000 });
});

// Guards against reads and pings that wait behind hundreds of submissions: an
// entry instance lost contact with the leader, and its callers got 503.
test("other calls don't wait behind submissions that aren't answered", async (t) => {
  const clock = new SystemClock();
  const pending: (() => void)[] = [];
  const server = new HttpServer({
    clock,
    eventLog: SILENT_EVENT_LOG,
    endpoints: [
      callsEndpoint({
        clock,
        answer: async (call) => {
          if (call.kind === "submit") {
            await new Promise<void>((resolve) => pending.push(resolve));
            return { kind: "accepted" };
          }
          return { kind: "unknownJob" };
        },
      }),
    ],
  });
  const { port } = (await server.listen({ host: "127.0.0.1", port: 0 }))
    .unsafeCoerce();
  const transport = new HttpCallTransport({
    clock,
    addressOf: () => `127.0.0.1:${port}`,
  });
  const target = { host: "h", path: "/q/1", apiKey: undefined };
  const submissions = Array.from(
    { length: 50 },
    (_, at) =>
      transport.call("leader", {
        kind: "submit",
        target,
        jobId: `${at}`,
        spec: { payload: "", steps: [], recurrence: undefined },
        receivedAtMs: clock.nowMs(),
      }, { timeoutMs: 60_000 }),
  );
  const answer = await transport.call("leader", {
    kind: "state",
    target,
    jobId: "1",
  }, { timeoutMs: 5_000 });
  t.deepEqual(answer.unsafeCoerce(), { kind: "unknownJob" });
  await transport.close();
  await Promise.all(submissions);
  pending.forEach((resolve) => resolve());
  await server.close({ leaveMs: 0, deadlineMs: clock.nowMs() + 1_000 });
});
