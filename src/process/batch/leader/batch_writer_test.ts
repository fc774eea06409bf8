import test from "ava";
import { Right } from "purify-ts/Either";
import { FakeClock, type Result } from "../../../base/mod.ts";
import type { ReplicatedLog } from "../../replication/mod.ts";
import type {
  BatchCommand,
  BatchItem,
  BatchOutcome,
} from "../batch_command.ts";
import { BatchWriter } from "./batch_writer.ts";

const ITEM: BatchItem = { kind: "cancel", jobId: "a" };

/** A writer to a log in which every item takes effect. */
function writerOf(options: {
  plan?: () => BatchItem[];
  onApplied?: () => void;
  clock?: FakeClock;
}): { writer: BatchWriter; deposed: string[] } {
  const propose = (
    command: Extract<BatchCommand, { kind: "batch" }>,
  ): Promise<Result<BatchOutcome>> =>
    Promise.resolve(Right({
      kind: "batch",
      applied: command.items.map(() => true),
    }));
  const deposed: string[] = [];
  const writer = new BatchWriter({
    log: { propose } as unknown as ReplicatedLog<BatchCommand, BatchOutcome>,
    clock: options.clock ?? new FakeClock(),
    epoch: 1,
    commitTimeoutMs: 1_000,
    plan: options.plan ?? (() => []),
    onApplied: options.onApplied ?? (() => undefined),
    onBatch: () => undefined,
    onDeposed: (detail) => deposed.push(detail),
  });
  return { writer, deposed };
}

/** A writer whose planning passes take 50 ms each. */
function slowWriter(): {
  clock: FakeClock;
  writer: BatchWriter;
  planTimes: number[];
} {
  const clock = new FakeClock();
  const planTimes: number[] = [];
  const { writer } = writerOf({
    clock,
    plan: () => {
      planTimes.push(clock.nowMs());
      clock.advance(50);
      return [];
    },
  });
  return { clock, writer, planTimes };
}

function throwUnexpected(): never {
  throw new RangeError("unexpected");
}

test("written items take effect in one batch", async (t) => {
  const { writer, deposed } = writerOf({});
  const results = await Promise.all([writer.write(ITEM), writer.write(ITEM)]);
  t.deepEqual(results, [true, true]);
  t.deepEqual(deposed, []);
});

test("an unexpected error ends the writer, which answers what waits", async (t) => {
  for (
    const failing of [
      { plan: throwUnexpected },
      { onApplied: throwUnexpected },
    ]
  ) {
    const { writer, deposed } = writerOf(failing);
    writer.requestPlan();
    const first = writer.write(ITEM);
    t.is(await first, undefined);
    await new Promise((done) => setImmediate(done));
    t.deepEqual(deposed, ["RangeError: unexpected"]);
    t.is(await writer.write(ITEM), undefined);
  }
});

test("items are committed without waiting for slow planning passes", async (t) => {
  const { clock, writer, planTimes } = slowWriter();
  const beganAtMs = clock.nowMs();
  let committed = 0;
  // A job every 5 ms; every commit makes a new plan useful.
  while (clock.nowMs() - beganAtMs < 2_000) {
    void writer.write(ITEM).then(() => committed += 1);
    await new Promise((done) => setImmediate(done));
    await new Promise((done) => setImmediate(done));
    clock.advance(5);
  }
  t.true(planTimes.length >= 8, "planning goes on");
  t.true(planTimes.length <= 11, "three quarters of the time are left");
  t.true(committed >= 270, `${committed} were committed`);
});

test("a plan that waits for a pause is made at its end", async (t) => {
  const { clock, writer, planTimes } = slowWriter();
  writer.requestPlan();
  await new Promise((done) => setImmediate(done));
  writer.requestPlan();
  await new Promise((done) => setImmediate(done));
  t.is(planTimes.length, 1);
  clock.advance(150);
  await new Promise((done) => setImmediate(done));
  t.is(planTimes.length, 2);
});
