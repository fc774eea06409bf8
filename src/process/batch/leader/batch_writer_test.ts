import test from "ava";
import { Right } from "purify-ts/Either";
import { failure, FakeClock, type Result } from "../../../base/mod.ts";
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
  /** The log refuses batches with more items than this as too large. */
  batchLimit?: number;
  /** The log fails each batch that isn't too large with this kind of error. */
  failsWith?: "unavailable" | "outcomeUnknown";
}): {
  writer: BatchWriter;
  deposed: string[];
  batches: BatchItem[][];
  unknown: BatchItem[];
} {
  const { batchLimit = Infinity, failsWith } = options;
  const unknown: BatchItem[] = [];
  const batches: BatchItem[][] = [];
  const propose = (
    { items }: Extract<BatchCommand, { kind: "batch" }>,
  ): Promise<Result<BatchOutcome>> => {
    if (items.length > batchLimit) {
      return Promise.resolve(failure("tooLarge"));
    }
    batches.push([...items]);
    if (failsWith !== undefined) {
      return Promise.resolve(failure(failsWith));
    }
    const applied = items.map(() => true);
    return Promise.resolve(Right({ kind: "batch", applied }));
  };
  const deposed: string[] = [];
  const writer = new BatchWriter({
    log: { propose } as unknown as ReplicatedLog<BatchCommand, BatchOutcome>,
    clock: options.clock ?? new FakeClock(),
    epoch: 1,
    commitTimeoutMs: 1_000,
    plan: options.plan ?? (() => []),
    onApplied: options.onApplied ?? (() => undefined),
    onBatch: () => undefined,
    onTooLarge: () => undefined,
    onUnknown: (items) => unknown.push(...items),
    onDeposed: (detail) => deposed.push(detail),
  });
  return { writer, deposed, batches, unknown };
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

// Guards against a batch that ends the leader each time it is proposed.
test("a batch that is too large for the log is committed in parts, in order", async (t) => {
  const { writer, deposed, batches } = writerOf({ batchLimit: 3 });
  const items = Array.from(
    { length: 10 },
    (_, at): BatchItem => ({ kind: "cancel", jobId: `job${at}` }),
  );
  const results = await Promise.all(items.map((item) => writer.write(item)));
  t.true(results.every((applied) => applied === true));
  t.deepEqual(batches.flat(), items);
  t.true(batches.every((batch) => batch.length <= 3));
  t.deepEqual(deposed, []);
});

test("an item that is too large by itself is refused, and the writer goes on", async (t) => {
  const { writer, deposed } = writerOf({ batchLimit: 0 });
  t.is(await writer.write(ITEM), false);
  t.is(await writer.write(ITEM), false);
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

for (const failsWith of ["outcomeUnknown", "unavailable"] as const) {
  const isUnknown = failsWith === "outcomeUnknown";
  test(`items of a batch that fails with ${failsWith} are ${isUnknown ? "" : "not "}reported as unknown`, async (t) => {
    const { writer, deposed, unknown } = writerOf({ failsWith });
    t.is(await writer.write(ITEM), undefined);
    await new Promise((done) => setImmediate(done));
    t.deepEqual(unknown, isUnknown ? [ITEM] : []);
    t.deepEqual(deposed, [failsWith]);
  });
}
