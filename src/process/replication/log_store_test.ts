import test from "ava";
import { pack } from "msgpackr";
import * as fc from "fast-check";
import { SeededRandom } from "../../base/random_source.ts";
import { FakeStorage } from "../storage/fake_storage.ts";
import { EMPTY_CONFIGURATION } from "./group_configuration.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import { LogStore } from "./log_store.ts";
import type { PersistEffect } from "./raft_effect.ts";
import type { LoadedLog } from "./stored_log.ts";

function entry(index: number, term: number): LogEntry {
  return { index, term, kind: "command", data: pack(index * 1_000 + term) };
}

function effect(parts: Partial<PersistEffect>): PersistEffect {
  return {
    kind: "persist",
    sequence: 0,
    hardState: undefined,
    snapshot: undefined,
    replacesEntries: false,
    entries: [],
    ...parts,
  };
}

function hardState(term: number) {
  return { incarnation: 7, formationId: "g", term, votedFor: "a" };
}

function snapshot(index: number, term: number): LogSnapshot {
  return { index, term, configuration: EMPTY_CONFIGURATION, data: pack(index) };
}

/** Waits for background writes. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

async function load(storage: FakeStorage): Promise<LoadedLog> {
  const store = new LogStore({ storage, groupId: "g" });
  return (await store.load()).unsafeCoerce();
}

async function loadWholeLog(storage: FakeStorage) {
  const loaded = await load(storage);
  if (loaded.kind !== "whole") {
    throw new Error(`the log is ${loaded.kind}`);
  }
  return loaded.log;
}

async function storeWith(count: number) {
  const storage = new FakeStorage();
  const store = new LogStore({ storage, groupId: "g" });
  await store.persist([effect({ hardState: hardState(3) })]);
  for (let index = 1; index <= count; index++) {
    await store.persist([effect({ entries: [entry(index, 3)] })]);
  }
  return { storage, store };
}

test("a later entry replaces those stored from its index on", async (t) => {
  const { storage, store } = await storeWith(5);
  await store.persist([effect({ entries: [entry(3, 4)] })]);
  const log = await loadWholeLog(storage);
  t.deepEqual(log.entries.map(({ index, term }) => [index, term]), [
    [1, 3],
    [2, 3],
    [3, 4],
  ]);
  t.is(log.hardState.term, 4);
  t.is(log.hardState.votedFor, undefined);
});

test("effects that are persisted together take one sync", async (t) => {
  const { storage, store } = await storeWith(1);
  const before = storage.syncs;
  const effects = [2, 3, 4, 5].map((index) =>
    effect({ entries: [entry(index, 3)] })
  );
  await store.persist(effects);
  t.is(storage.syncs, before + 1);
});

test("a local snapshot removes the entries before it", async (t) => {
  const { storage, store } = await storeWith(5);
  await store.persist([effect({ snapshot: snapshot(4, 3) })]);
  await store.persist([effect({ entries: [entry(6, 3)] })]);
  await store.persist([effect({ snapshot: snapshot(6, 3) })]);
  await settle();
  const log = await loadWholeLog(storage);
  t.is(log.snapshot.index, 6);
  t.deepEqual(log.entries, []);
  const segments = (await storage.list()).unsafeCoerce()
    .filter((name) => name.includes(".log."));
  t.true(segments.length <= 1, segments.join());
});

test("a leader's snapshot replaces the entries of an older term", async (t) => {
  const { storage, store } = await storeWith(5);
  await store.persist([
    effect({ snapshot: snapshot(3, 9), replacesEntries: true }),
  ]);
  t.deepEqual((await loadWholeLog(storage)).entries, []);
  // A crash before the removal of the old entries.
  const crashed = await storeWith(5);
  const replaced = await storage.read("g.snapshot");
  await crashed.storage.replace("g.snapshot", replaced.unsafeCoerce()!);
  t.deepEqual((await loadWholeLog(crashed.storage)).entries, []);
});

test("a torn tail is truncated and synced entries remain", async (t) => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const { storage } = await storeWith(4);
    await storage.append("g.log.00000001", pack("never synced, half written"));
    storage.crash(new SeededRandom({ seed }));
    const log = await loadWholeLog(storage);
    return log.entries.length === 4;
  });
  await t.notThrowsAsync(fc.assert(property, { seed: 3, numRuns: 50 }));
});

test("damage in the middle of any file is detected", async (t) => {
  for (const name of ["g.log.00000001", "g.state", "g.snapshot"]) {
    const { storage, store } = await storeWith(4);
    await store.persist([effect({ snapshot: snapshot(1, 3) })]);
    await settle();
    storage.corrupt(name, 25);
    t.is((await load(storage)).kind, "corrupt", name);
  }
});

test("a wiped store is empty, even after an interrupted wipe", async (t) => {
  const { storage, store } = await storeWith(4);
  await storage.remove("g.state");
  t.is((await load(storage)).kind, "empty");
  await store.wipe();
  t.deepEqual((await storage.list()).unsafeCoerce(), []);
});

test("a full disk and a failed sync fail the write", async (t) => {
  for (const fault of ["isFull", "syncFails"] as const) {
    const { storage, store } = await storeWith(1);
    storage.faults[fault] = true;
    const result = await store.persist([effect({ entries: [entry(2, 3)] })]);
    t.is(result.swap().unsafeCoerce().kind, "storageFailed", fault);
  }
});

test("a full disk keeps a snapshot from nobody's entries", async (t) => {
  const { storage, store } = await storeWith(4);
  storage.faults.isFull = true;
  const started = await store.persist([effect({ snapshot: snapshot(4, 3) })]);
  t.true(started.isRight());
  await settle();
  storage.faults.isFull = false;
  t.true((await store.persist([effect({ entries: [entry(5, 3)] })])).isRight());
  const log = await loadWholeLog(storage);
  t.is(log.snapshot.index, 0);
  t.deepEqual(log.entries.map(({ index }) => index), [1, 2, 3, 4, 5]);
  // The next snapshot removes what the failed one would have removed.
  await store.persist([effect({ snapshot: snapshot(5, 3) })]);
  await settle();
  t.is((await loadWholeLog(storage)).snapshot.index, 5);
  const names = (await storage.list()).unsafeCoerce();
  t.false(names.includes("g.log.00000001"), names.join());
});

test("a snapshot is not written into the space that entries need", async (t) => {
  const { storage, store } = await storeWith(4);
  storage.spaceBytes = 100;
  await store.persist([effect({ snapshot: snapshot(4, 3) })]);
  await settle();
  t.is((await loadWholeLog(storage)).snapshot.index, 0);
  storage.spaceBytes = 10_000;
  await store.persist([effect({ snapshot: snapshot(4, 3) })]);
  await settle();
  t.is((await loadWholeLog(storage)).snapshot.index, 4);
});

test("a segment that couldn't be removed goes with the next snapshot", async (t) => {
  const { storage, store } = await storeWith(4);
  storage.faults.removeFails = true;
  await store.persist([effect({ snapshot: snapshot(4, 3) })]);
  await settle();
  t.true((await store.persist([effect({ entries: [entry(5, 3)] })])).isRight());
  storage.faults.removeFails = false;
  await store.persist([effect({ snapshot: snapshot(5, 3) })]);
  await settle();
  const names = (await storage.list()).unsafeCoerce();
  t.false(names.includes("g.log.00000001"), names.join());
});

test("after a failed write, the loaded log holds all that was acknowledged", async (t) => {
  for (const fault of ["isFull", "syncFails"] as const) {
    const { storage, store } = await storeWith(3);
    storage.faults[fault] = true;
    const lost = await store.persist([effect({ entries: [entry(4, 3)] })]);
    t.true(lost.isLeft(), fault);
    t.true((await store.load()).isLeft(), `${fault}: not writable yet`);
    storage.faults[fault] = false;
    const loaded = (await store.load()).unsafeCoerce();
    t.is(loaded.kind, "whole", fault);
    t.true(
      (await store.persist([effect({ entries: [entry(4, 5)] })])).isRight(),
    );
    storage.crash(new SeededRandom({ seed: 1 }));
    const log = await loadWholeLog(storage);
    t.deepEqual(log.entries.map(({ index, term }) => [index, term]), [
      [1, 3],
      [2, 3],
      [3, 3],
      [4, 5],
    ], fault);
  }
});

test("a loaded log that lacks what was acknowledged is corrupt", async (t) => {
  const whole = await storeWith(3);
  const shorter = await storeWith(2);
  const copy = (await shorter.storage.read("g.log.00000001")).unsafeCoerce()!;
  await whole.storage.replace("g.log.00000001", copy);
  t.deepEqual((await whole.store.load()).unsafeCoerce(), {
    kind: "corrupt",
    detail: "entry 3 of term 3 is missing",
  });
  const voted = await storeWith(1);
  const earlier = (await voted.storage.read("g.state")).unsafeCoerce()!;
  await voted.store.persist([effect({ hardState: hardState(4) })]);
  await voted.storage.replace("g.state", earlier);
  t.is((await voted.store.load()).unsafeCoerce().kind, "corrupt");
});

test("what a killed process wrote without a sync is durable once loaded", async (t) => {
  const { storage } = await storeWith(2);
  const whole = await storeWith(3);
  const copy = (await whole.storage.read("g.log.00000001")).unsafeCoerce()!;
  const synced = storage.sizeBytes("g.log.00000001");
  await storage.append("g.log.00000001", copy.slice(synced));
  t.is((await loadWholeLog(storage)).entries.length, 3);
  storage.crash(new SeededRandom({ seed: 4 }));
  t.is((await loadWholeLog(storage)).entries.length, 3);
});
