import test from "ava";
import fc from "fast-check";
import { jobSpecificationSchema } from "../core/job.ts";
import { decodeJobCommand, type JobCommand } from "./job_command.ts";
import { JobLedger } from "./job_ledger.ts";
import { toWorkerClockMs } from "./lease_rule.ts";

const resources = { cores: 1, memoryBytes: 1, accelerators: 1 };
const jobId = fc.constantFrom("j1", "j2", "j3");
const atMs = fc.nat({ max: 100_000 });
const term = fc.nat({ max: 3 });
const attempt = fc.integer({ min: 1, max: 4 });
const formatVersion = fc.constant(1 as const);
const base = { formatVersion, atMs };
const ofTerm = { ...base, term };

const command: fc.Arbitrary<JobCommand> = fc.oneof(
  fc.record({ kind: fc.constant("termBegan" as const), ...ofTerm }),
  fc.record({
    kind: fc.constant("submitted" as const),
    ...base,
    submittedAtMs: atMs,
    transfers: fc.nat({ max: 2 }),
    attemptsUsed: fc.nat({ max: 2 }),
    specification: fc.tuple(jobId, fc.integer({ min: 1, max: 2 })).map((
      [jobId, tasks],
    ) =>
      jobSpecificationSchema.parse({
        jobId,
        clientAccount: "lab",
        jobClass: "batch",
        tasks,
        resources,
        declaredRunMs: 1,
      })
    ),
  }),
  fc.record({ kind: fc.constant("cancelled" as const), ...base, jobId }),
  fc.record({
    kind: fc.constant("attemptIntended" as const),
    ...ofTerm,
    jobId,
    attempt,
    placements: fc.array(fc.constant({ taskIndex: 0, workerId: "w1" }), {
      minLength: 1,
      maxLength: 2,
    }),
    resources: fc.constant(resources),
    configurationVersion: fc.constant(1),
  }),
  fc.record({
    kind: fc.constant("attemptEnded" as const),
    ...ofTerm,
    jobId,
    attempt,
    hasFailed: fc.boolean(),
    detail: fc.constant("x"),
  }),
  fc.record({
    kind: fc.constant("ended" as const),
    ...ofTerm,
    jobId,
    outcome: fc.constant("succeeded" as const),
  }),
  fc.record({
    kind: fc.constant("transferIntended" as const),
    ...ofTerm,
    jobId,
    toDataCentre: fc.constant("dc2"),
  }),
  fc.record({
    kind: fc.constant("transferAccepted" as const),
    ...ofTerm,
    jobId,
    isCancellationPassedOn: fc.boolean(),
  }),
);

function contentOf(ledger: JobLedger) {
  const live = [...ledger.liveRecords()]
    .map((record) => record.specification.jobId);
  return { records: [...ledger.records()], live: live.sort() };
}

test("restoring a snapshot of any point leads to the same state", (t) => {
  fc.assert(
    fc.property(
      fc.array(command, { maxLength: 60 }),
      fc.nat(),
      (all, cutPoint) => {
        const options = { endedRetentionMs: 20_000, endedLimit: 2 };
        const original = new JobLedger(options);
        const resumed = new JobLedger(options);
        const snapshotIndex = cutPoint % (all.length + 1);
        all.slice(0, snapshotIndex).forEach((each) => original.apply(each));
        t.true(resumed.restore(original.snapshot()).isRight());
        for (const each of all.slice(snapshotIndex)) {
          t.deepEqual(resumed.apply(each), original.apply(each));
        }
        t.deepEqual(contentOf(resumed), contentOf(original));
      },
    ),
    { seed: 41, numRuns: 300 },
  );
});

test("an attempt is intended only with a new number, by the newest term, while no other is open", (t) => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 80 }), (all) => {
      const ledger = new JobLedger();
      for (const each of all) {
        const jobId = "jobId" in each ? each.jobId : "";
        const before = ledger.get(jobId);
        const termBefore = ledger.highestTerm;
        const outcome = ledger.apply(each);
        if (each.kind !== "attemptIntended" || outcome.kind !== "applied") {
          continue;
        }
        t.true(each.attempt > (before?.attemptsUsed ?? 0));
        t.is(before?.openAttempt, undefined);
        t.is(before?.end, undefined);
        t.is(before?.transfer, undefined);
        t.true(each.term >= termBefore);
      }
    }),
    { seed: 42, numRuns: 300 },
  );
});

test("ended jobs are dropped by age and by number", (t) => {
  const ledger = new JobLedger({ endedRetentionMs: 1_000, endedLimit: 3 });
  const end = (jobId: string, atMs: number) => {
    const common = { formatVersion: 1 as const, atMs };
    ledger.apply({
      kind: "submitted",
      ...common,
      submittedAtMs: atMs,
      transfers: 0,
      attemptsUsed: 0,
      specification: jobSpecificationSchema.parse({
        jobId,
        clientAccount: "lab",
        jobClass: "batch",
        tasks: 1,
        resources,
        declaredRunMs: 1,
      }),
    });
    const outcome = "succeeded";
    ledger.apply({ kind: "ended", ...common, term: 0, jobId, outcome });
  };
  ["a", "b", "c", "d"].forEach((jobId) => end(jobId, 0));
  t.is(ledger.get("a"), undefined);
  t.not(ledger.get("b"), undefined);
  end("e", 2_000);
  t.deepEqual([...ledger.records()].map((each) => each.specification.jobId), [
    "e",
  ]);
});

test("a command or snapshot of a newer format is refused", (t) => {
  const newer = { formatVersion: 2, kind: "cancelled", atMs: 0, jobId: "j1" };
  t.true(decodeJobCommand(newer).isLeft());
  t.true(decodeJobCommand({ ...newer, formatVersion: 1 }).isRight());
  const bytes = new TextEncoder().encode(JSON.stringify({ formatVersion: 2 }));
  t.true(new JobLedger().restore(bytes).isLeft());
});

test("a time converted to the worker's clock never comes later than on the leader's", (t) => {
  fc.assert(
    fc.property(
      fc.double({ min: -0.0005, max: 0.0005, noNaN: true }),
      fc.nat({ max: 20_000 }),
      fc.nat({ max: 10_000 }),
      fc.nat({ max: 60_000 }),
      (rateError, originMs, delayMs, aheadMs) => {
        const rate = 1 + rateError;
        const workerClock = (trueMs: number) => originMs + trueMs * rate;
        const anchor = {
          workerClockMs: workerClock(0),
          receivedAtMs: delayMs,
        };
        const leaderMs = delayMs + aheadMs;
        const clockDriftFraction = 0.001;
        const workerMs = toWorkerClockMs(leaderMs, {
          anchor,
          clockDriftFraction,
        });
        return workerMs <= workerClock(leaderMs) + 1e-6;
      },
    ),
    { seed: 43, numRuns: 1_000 },
  );
  t.pass();
});
