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
    clock: new FakeClock(),
    epoch: 1,
    commitTimeoutMs: 1_000,
    plan: options.plan ?? (() => []),
    onApplied: options.onApplied ?? (() => undefined),
    onBatch: () => undefined,
    onDeposed: (detail) => deposed.push(detail),
  });
  return { writer, deposed };
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
    const first = writer.write(ITEM);
    t.is(await first, undefined);
    await new Promise((done) => setImmediate(done));
    t.deepEqual(deposed, ["RangeError: unexpected"]);
    t.is(await writer.write(ITEM), undefined);
  }
});
