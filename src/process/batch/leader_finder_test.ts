import test from "ava";
import { Left, Right } from "purify-ts/Either";
import { FakeClock, type Result, SesameError } from "../../base/mod.ts";
import { SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";
import { type CallTransport, LeaderFinder } from "./leader_finder.ts";

/** Instances that answer as a test says, and take 10 ms. */
class FakeTransport implements CallTransport {
  readonly asked: string[] = [];

  constructor(
    readonly clock: FakeClock,
    readonly answers: Record<string, () => Result<JobAnswer>>,
  ) {}

  async call(instanceId: string): Promise<Result<JobAnswer>> {
    this.asked.push(instanceId);
    await new Promise<void>((done) => this.clock.after(10, done));
    return this.answers[instanceId]!();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

const QUESTION: JobCall = {
  kind: "state",
  target: { host: "h", path: "/q/1", apiKey: undefined },
  jobId: "1",
};
const NOTED: JobAnswer = { kind: "noted" };

function notLeader(leaderId: string | undefined): () => Result<JobAnswer> {
  return () =>
    Right<JobAnswer>({ kind: "notLeader", leaderId, memberIds: ["a", "b"] });
}

function broken(kind: "unavailable" | "outcomeUnknown") {
  return () => Left(new SesameError(kind));
}

function newFinder(answers: Record<string, () => Result<JobAnswer>>) {
  const clock = new FakeClock({ startMs: 1_000 });
  const transport = new FakeTransport(clock, answers);
  const finder = new LeaderFinder({
    transport,
    clock,
    events: SILENT_EVENT_LOG,
    seedIds: ["a", "b"],
  });
  return { clock, transport, finder };
}

/** Lets logical time pass until a promise is settled. */
async function settle<T>(clock: FakeClock, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  void promise.finally(() => isSettled = true);
  while (!isSettled) {
    clock.advance(10);
    await new Promise((done) => setImmediate(done));
  }
  return await promise;
}

test("a hint is followed to the leader, which is asked first next time", async (t) => {
  const { clock, transport, finder } = newFinder({
    a: notLeader("b"),
    b: () => Right(NOTED),
  });
  const ask = () =>
    settle(clock, finder.call(QUESTION, { deadlineMs: clock.nowMs() + 1_000 }));
  t.is((await ask()).kind, "answered");
  transport.asked.length = 0;
  await ask();
  t.deepEqual(transport.asked, ["b"]);
});

test("what was never sent isn't taken; what may have been isn't certain", async (t) => {
  for (
    const [kind, found] of [
      ["unavailable", "notTaken"],
      ["outcomeUnknown", "unknown"],
    ] as const
  ) {
    const { clock, finder } = newFinder({
      a: broken(kind),
      b: broken("unavailable"),
    });
    const deadlineMs = clock.nowMs() + 500;
    const answer = await settle(clock, finder.call(QUESTION, { deadlineMs }));
    t.is(answer.kind, found);
  }
});

test("a door that is cut off answers at once", async (t) => {
  const { clock, transport, finder } = newFinder({
    a: broken("unavailable"),
    b: broken("unavailable"),
  });
  finder.startPinging();
  await settle(
    clock,
    finder.call(QUESTION, { deadlineMs: clock.nowMs() + 2_000 }),
  );
  transport.asked.length = 0;
  const answer = await finder.call(QUESTION, {
    deadlineMs: clock.nowMs() + 2_000,
  });
  t.is(answer.kind, "notTaken");
  t.deepEqual(transport.asked, []);
  await finder.close();
});

test("one that keeps no contact tries however long it was idle", async (t) => {
  const { clock, finder } = newFinder({
    a: notLeader("b"),
    b: () => Right(NOTED),
  });
  clock.advance(60_000);
  const answer = await settle(
    clock,
    finder.call(QUESTION, { deadlineMs: clock.nowMs() + 1_000 }),
  );
  t.is(answer.kind, "answered");
});

test("a change that may have been taken is asked until its outcome is known", async (t) => {
  let answer: () => Result<JobAnswer> = broken("outcomeUnknown");
  const { clock, finder } = newFinder({
    a: () => answer(),
    b: () => answer(),
  });
  finder.startPinging();
  clock.advance(1_400);
  const change = { ...QUESTION, kind: "cancel" } as const;
  const deadlineMs = clock.nowMs() + 3_000;
  const asked = finder.call(change, { deadlineMs });
  for (let turn = 0; turn < 100; turn++) {
    clock.advance(10);
    await new Promise((done) => setImmediate(done));
  }
  t.true(finder.isCutOff());
  answer = () => Right({ kind: "cancelled" });
  t.deepEqual(await settle(clock, asked), {
    kind: "answered",
    answer: { kind: "cancelled" },
  });
  await finder.close();
});
