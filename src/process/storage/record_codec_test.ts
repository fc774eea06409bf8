import { Buffer } from "node:buffer";
import test from "ava";
import * as fc from "fast-check";
import { encodeRecord, scanRecords } from "./record_codec.ts";

/** Batches of records; each batch is written after the previous was synced. */
const batches = fc.array(
  fc.array(fc.uint8Array({ maxLength: 40 }), { minLength: 1, maxLength: 4 }),
  { minLength: 1, maxLength: 5 },
);

function writeBatches(written: readonly (readonly Uint8Array[])[]) {
  let file = Buffer.alloc(0);
  const syncedAt: number[] = [0];
  for (const batch of written) {
    const syncedBytes = file.byteLength;
    const records = batch.map((payload) =>
      encodeRecord(payload, { syncedBytes })
    );
    file = Buffer.concat([file, ...records]);
    syncedAt.push(file.byteLength);
  }
  return { file, syncedAt };
}

test("written records are read back", (t) => {
  const property = fc.property(batches, (written) => {
    const scan = scanRecords(writeBatches(written).file);
    return scan.state === "whole" &&
      Buffer.concat(scan.payloads).equals(Buffer.concat(written.flat()));
  });
  t.notThrows(() => fc.assert(property, { seed: 5 }));
});

test("a torn write is discarded, but nothing that was synced before", (t) => {
  const property = fc.property(batches, fc.nat(), fc.nat(), (w, cut, hole) => {
    const { file, syncedAt } = writeBatches(w);
    const synced = syncedAt.at(-2)!;
    const kept = synced + cut % (file.byteLength - synced);
    const torn = Buffer.from(file.subarray(0, kept));
    torn.fill(0, synced + hole % (kept - synced + 1), kept);
    const scan = scanRecords(torn);
    return scan.state !== "corrupt" && scan.wholeBytes >= synced;
  });
  t.notThrows(() => fc.assert(property, { seed: 6 }));
});

test("damage to synced bytes is distinguished from a torn write", (t) => {
  const property = fc.property(
    batches.filter((written) => written.length > 1),
    fc.nat(),
    fc.integer({ min: 1, max: 255 }),
    (written, offset, bits) => {
      const { file, syncedAt } = writeBatches(written);
      const at = offset % syncedAt.at(-2)!;
      file[at] = file[at]! ^ bits;
      return scanRecords(file).state === "corrupt";
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7 }));
});
