import test from "ava";
import fc from "fast-check";
import { Left, Right } from "purify-ts/Either";
import {
  FakeClock,
  type Result,
  SesameError,
  SILENT_EVENT_LOG,
} from "../../base/mod.ts";
import type { CallOptions, CallTransport } from "./call_transport.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";
import { LeaderFinder } from "./leader_finder.ts";

const IDS = ["a", "b", "c"] as const;

/** What becomes of one attempt. */
interface Fate {
  readonly kind: "answered" | "lost" | "refusedConnection" | "unsent";
  readonly toMs: number;
  readonly backMs: number;
}

interface Scenario {
  readonly fates: readonly Fate[];
  /** Who leads from each time on; nobody for undefined. */
  readonly leaders: readonly { fromMs: number; id: string | undefined }[];
  /** Whether leaders reject the job. */
  readonly isRejected: readonly boolean[];
  readonly timeoutMs: number;
}

/** Instances that store a job when it arrives while they lead. */
class ScriptedInstances implements CallTransport {
  readonly #clock: FakeClock;
  readonly #scenario: Scenario;
  readonly #startMs: number;
  #attempts = 0;
  openAt: Record<string, number> = { a: 0, b: 0, c: 0 };
  mostOpen = 0;
  isStored = false;

  constructor(clock: FakeClock, scenario: Scenario) {
    this.#clock = clock;
    this.#scenario = scenario;
    this.#startMs = clock.nowMs();
  }

  async call(
    id: string,
    _call: JobCall,
    { timeoutMs, onSending }: CallOptions,
  ): Promise<Result<JobAnswer>> {
    const { fates } = this.#scenario;
    const fate = fates[this.#attempts % fates.length]!;
    this.#attempts += 1;
    this.openAt[id]! += 1;
    this.mostOpen = Math.max(this.mostOpen, this.openAt[id]!);
    const result = await this.#carryOut(id, { fate, timeoutMs, onSending });
    this.openAt[id]! -= 1;
    return result;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  async #carryOut(
    id: string,
    { fate, timeoutMs, onSending }: {
      fate: Fate;
      timeoutMs: number;
      onSending: (() => void) | undefined;
    },
  ): Promise<Result<JobAnswer>> {
    const { kind, toMs, backMs } = fate;
    if (kind === "refusedConnection" || kind === "unsent") {
      await this.#wait(kind === "unsent" ? timeoutMs : Math.min(toMs, 250));
      return Left(new SesameError("unavailable"));
    }
    onSending?.();
    let answer: JobAnswer | undefined;
    this.#clock.after(toMs, () => answer = this.#answerOf(id));
    if (kind === "lost" || toMs + backMs > timeoutMs) {
      await this.#wait(timeoutMs);
      return Left(new SesameError("outcomeUnknown"));
    }
    await this.#wait(toMs + backMs);
    return Right(answer!);
  }

  #answerOf(id: string): JobAnswer {
    const { leaders, isRejected } = this.#scenario;
    const atMs = this.#clock.nowMs() - this.#startMs;
    const position = leaders.findLastIndex(({ fromMs }) => fromMs <= atMs);
    const leaderId = leaders[position]?.id;
    if (leaderId !== id) {
      return { kind: "notLeader", leaderId, memberIds: IDS };
    }
    if (this.isStored) {
      return { kind: "accepted" };
    }
    if (isRejected[position % isRejected.length]) {
      return { kind: "refused", reason: "queueFull", retryAfterS: 1 };
    }
    this.isStored = true;
    return { kind: "accepted" };
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.after(delayMs, resolve);
    });
  }
}

const FATE: fc.Arbitrary<Fate> = fc.record({
  kind: fc.constantFrom(
    "answered",
    "answered",
    "answered",
    "lost",
    "refusedConnection",
    "unsent",
  ),
  toMs: fc.integer({ min: 1, max: 1_200 }),
  backMs: fc.integer({ min: 1, max: 1_200 }),
});

const SCENARIO: fc.Arbitrary<Scenario> = fc.record({
  fates: fc.array(FATE, { minLength: 1, maxLength: 12 }),
  leaders: fc.array(
    fc.record({
      fromMs: fc.integer({ min: 0, max: 3_000 }),
      id: fc.constantFrom(...IDS, undefined),
    }),
    { minLength: 1, maxLength: 4 },
  ).map((leaders) => leaders.sort((a, b) => a.fromMs - b.fromMs)),
  isRejected: fc.array(fc.boolean(), { minLength: 1, maxLength: 3 }),
  timeoutMs: fc.integer({ min: 100, max: 3_000 }),
});

/** By how much the clock advances at once. */
const STEP_MS = 2;

/** Submits a job, and runs on until every attempt has arrived. */
async function play(scenario: Scenario) {
  const clock = new FakeClock({ startMs: 1_000 });
  const transport = new ScriptedInstances(clock, scenario);
  const finder = new LeaderFinder({
    transport,
    clock,
    events: SILENT_EVENT_LOG,
    seedIds: IDS,
  });
  const submission: JobCall = {
    kind: "submit",
    target: { host: "h", path: "/q/1", apiKey: undefined },
    jobId: "1",
    spec: { payload: "", steps: [], recurrence: undefined },
    receivedAtMs: clock.nowMs(),
  };
  const deadlineMs = clock.nowMs() + scenario.timeoutMs;
  let endedAtMs: number | undefined;
  const called = finder.call(submission, { deadlineMs }).finally(() =>
    endedAtMs = clock.nowMs()
  );
  for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise((done) => setImmediate(done));
  }
  return { result: await called, endedAtMs, deadlineMs, transport };
}

test("what a caller is told of its job is true, whatever becomes of the attempts", async (t) => {
  await fc.assert(
    fc.asyncProperty(SCENARIO, async (scenario) => {
      const { result, endedAtMs, deadlineMs, transport } = await play(scenario);
      if (endedAtMs === undefined || endedAtMs > deadlineMs + 10) {
        throw new Error(`ended at ${endedAtMs}, deadline ${deadlineMs}`);
      }
      if (result.kind === "notTaken" && transport.isStored) {
        throw new Error("said to be not taken, and stored");
      }
      if (result.kind === "answered") {
        const isAccepted = result.answer.kind === "accepted";
        if (isAccepted !== transport.isStored) {
          throw new Error(`answered ${result.answer.kind}`);
        }
      }
      // The first attempt and the budget for resends.
      if (transport.mostOpen > 4) {
        throw new Error(`${transport.mostOpen} attempts at one instance`);
      }
    }),
    { numRuns: 150, seed: 37 },
  );
  t.pass();
});
