import test from "ava";
import { REMOVED_LIMIT } from "./group_configuration.ts";
import { COMMAND_LIMIT_BYTES } from "./replication_timing.ts";
import { diskVoters, learners, memoryVoters } from "./testing/fault_session.ts";
import { type Member, MemberGroup } from "./testing/member_group.ts";

test("a group forms, commits from any member and updates learners", async (t) => {
  const group = new MemberGroup([
    ...diskVoters("a", "b", "c"),
    ...learners("d"),
  ]);
  await group.startAll();
  await group.run(1_000);
  for (const id of ["a", "b", "c", "d"]) {
    const result = await group.propose(id, `from ${id}`);
    t.true(result.isRight(), id);
  }
  await group.run(1_500);
  for (const [id, machine] of group.machines) {
    t.deepEqual(machine.texts, ["from a", "from b", "from c", "from d"], id);
  }
  const age = group.clock.nowMs() -
    group.members.get("d")!.status().currentAtMs;
  t.true(age <= 1_200, `the learner's copy is ${age} ms old`);
  await group.close();
});

test("a restart of every member keeps all acknowledged commands", async (t) => {
  const group = new MemberGroup(
    [...diskVoters("a"), ...memoryVoters("b", "c")],
    { snapshotEntries: 20, tailEntries: 5 },
  );
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at < 50; at++) {
    (await group.propose("b", `text ${at}`)).unsafeCoerce();
  }
  for (const id of ["a", "b", "c"]) {
    await group.stop(id);
  }
  await group.startAll();
  await group.run(4_000);
  t.is(group.leader()?.status().voterIds.length, 3);
  t.deepEqual((await group.propose("c", "more")).extract(), 51);
  await group.run(1_000);
  t.is(group.machines.get("c")!.texts.length, 51);
  await group.close();
});

test("a wiped member votes again only after it has caught up", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"), {
    snapshotEntries: 10,
    tailEntries: 2,
  });
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at < 30; at++) {
    (await group.propose("a", `text ${at}`)).unsafeCoerce();
  }
  await group.stop("c");
  group.disks.get("c")!.wipe();
  await group.start("c");
  await group.run(3_000);
  t.is(group.leader()?.status().voterIds.length, 3);
  t.is(group.machines.get("c")!.texts.length, 30);
  // A second member is lost as soon as the first has caught up.
  await group.stop("a");
  t.deepEqual((await group.propose("c", "more")).extract(), 31);
  await group.close();
});

test("a group continues without its only durable voter", async (t) => {
  const group = new MemberGroup([
    ...diskVoters("a"),
    ...memoryVoters("b", "c"),
  ]);
  await group.startAll();
  await group.run(1_000);
  (await group.propose("b", "one")).unsafeCoerce();
  await group.stop("a");
  t.deepEqual((await group.propose("b", "two")).extract(), 2);
  await group.start("a");
  await group.run(3_000);
  t.deepEqual((await group.propose("a", "three")).extract(), 3);
  t.deepEqual(group.machines.get("a")!.texts, ["one", "two", "three"]);
  await group.close();
});

test("an isolated leader's lease ends and another leads within 3 s", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const old = group.leader()!;
  const oldId = old.status().leaderId!;
  group.hub.isolate(oldId);
  await group.run(1_300);
  t.true(old.status().leaseEndMs <= group.clock.nowMs());
  await group.run(1_700);
  const next = group.leader();
  t.not(next, undefined);
  t.not(next?.status().leaderId, oldId);
  await group.close();
});

test("a member with a damaged log is repaired by its peers", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at < 20; at++) {
    (await group.propose("a", `text ${at}`)).unsafeCoerce();
  }
  await group.stop("b");
  group.disks.get("b")!.corrupt("test.log.00000001", 20);
  await group.start("b");
  t.is(group.members.get("b")!.status().role, "learner");
  t.is(group.members.get("b")!.status().appliedIndex, 0);
  await group.run(3_000);
  t.is(group.machines.get("b")!.texts.length, 20);
  t.is(group.members.get("b")!.status().voterIds.length, 3);
  await group.close();
});

test("a leadership transfer doesn't wait for an election timeout", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const old = group.leader()!;
  await group.runUntilDone(old.handOver());
  await group.run(200);
  t.not(group.leader(), undefined);
  t.not(group.leader(), old);
  await group.close();
});

test("a leader that stops during a slow sync is replaced at once", async (t) => {
  const { group, old, oldId } = await groupWithHangingLeader();
  t.true((await group.propose(oldId, "held by the others")).isRight());
  await stopDuringSync(group, old);
  await group.run(100);
  t.not(group.leader(), undefined);
  await group.close();
});

test("a leader that stops learns the results of its last commands", async (t) => {
  const { group, old, oldId } = await groupWithHangingLeader();
  group.hub.isolate(["a", "b", "c"].find((id) => id !== oldId)!);
  const deadlineMs = group.clock.nowMs() + 5_000;
  const proposed = old.propose("held by one other", { deadlineMs });
  await group.run(20);
  await stopDuringSync(group, old);
  t.deepEqual((await proposed).extract(), 1);
  await group.close();
});

/** A group whose leader's syncs hang. */
async function groupWithHangingLeader() {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const old = group.leader()!;
  const oldId = old.status().leaderId!;
  group.disks.get(oldId)!.faults.syncHangs = true;
  return { group, old, oldId };
}

/** Stops the leader as its process would; hanging syncs end 20 ms later. */
async function stopDuringSync(group: MemberGroup, old: Member): Promise<void> {
  const oldId = old.status().leaderId!;
  const stopped = old.handOver().then(() => group.stop(oldId));
  await group.run(20);
  group.disks.get(oldId)!.endHang();
  await group.runUntilDone(stopped);
}

test("a removed leader that is added again has all commands", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  (await group.propose("a", "one")).unsafeCoerce();
  const id = group.leader()!.status().leaderId!;
  const deadlineMs = group.clock.nowMs() + 60_000;
  const change = (kind: "add" | "remove") =>
    group.runUntilDone(
      group.leader()!.changeMembers({ kind, id }, { deadlineMs }),
    );
  t.true((await change("remove")).isRight());
  await group.run(3_000);
  t.false(group.leader()!.status().voterIds.includes(id));
  (await group.propose(id, "two")).unsafeCoerce();
  t.true((await change("add")).isRight());
  t.true(group.leader()!.status().voterIds.includes(id));
  t.deepEqual(group.machines.get(id)!.texts, ["one", "two"]);
  await group.close();
});

test("a group outlives more removals than its configuration keeps", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b"));
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at <= REMOVED_LIMIT; at++) {
    const deadlineMs = group.clock.nowMs() + 60_000;
    const change = { kind: "remove", id: `gone-${at}` } as const;
    const removed = group.leader()!.changeMembers(change, { deadlineMs });
    t.true((await group.runUntilDone(removed)).isRight());
  }
  await group.stop("a");
  await group.start("a");
  await group.run(3_000);
  t.deepEqual((await group.propose("a", "one")).extract(), 1);
  await group.close();
});

test("a learner never replaces a silent voter", async (t) => {
  const group = new MemberGroup(
    [...diskVoters("a", "b", "c"), ...learners("d")],
    { voterSilenceMs: 1_500 },
    { wantedVoters: 3 },
  );
  await group.startAll();
  await group.run(3_000);
  await group.stop("c");
  await group.run(8_000);
  t.deepEqual([...group.leader()!.status().voterIds].sort(), ["a", "b", "c"]);
  await group.close();
});

test("a group whose majority lost its disks waits for an operator", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  (await group.propose("a", "one")).unsafeCoerce();
  await group.run(1_000);
  for (const id of ["a", "b", "c"]) {
    await group.stop(id);
  }
  group.disks.get("b")!.wipe();
  group.disks.get("c")!.wipe();
  await group.startAll();
  await group.run(10_000);
  t.is(group.leader(), undefined);
  group.members.get("a")!.declareLost("b");
  group.members.get("a")!.declareLost("c");
  await group.run(6_000);
  t.deepEqual((await group.propose("b", "two")).extract(), 2);
  t.is(group.leader()?.status().voterIds.length, 3);
  await group.close();
});

test("a leader continues when all its followers lost their state", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  (await group.propose("a", "one")).unsafeCoerce();
  const leaderId = group.leader()!.status().leaderId!;
  for (const id of ["a", "b", "c"].filter((other) => other !== leaderId)) {
    await group.stop(id);
    group.disks.get(id)!.wipe();
    await group.start(id);
  }
  await group.run(3_000);
  t.deepEqual((await group.propose(leaderId, "two")).extract(), 2);
  t.is(group.leader()?.status().voterIds.length, 3);
  await group.close();
});

test("a group forms only after every founder has started", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.start("a");
  await group.start("b");
  await group.run(5_000);
  t.is(group.leader(), undefined);
  await group.start("c");
  await group.run(2_000);
  t.not(group.leader(), undefined);
  await group.close();
});

// Guards against a founder that restarts without being told to form the group.
test("a group forms though a founder was killed before it could", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"), {}, {
    founderIds: ["a", "b", "c"],
  });
  for (const killed of ["a", "b"]) {
    await group.start(killed);
    await group.run(200);
    await group.stop(killed);
    await group.start(killed, { founderIds: [] });
  }
  await group.start("c");
  await group.run(2_000);
  t.not(group.leader(), undefined);
  await group.close();
});

// Guards against taking an empty disk for one that never belonged to a group.
test("a founder that lost its disk doesn't form the group", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"), {}, {
    founderIds: ["a", "b", "c"],
  });
  await group.start("a");
  await group.run(200);
  await group.stop("a");
  group.disks.get("a")!.wipe();
  await group.start("a", { founderIds: [] });
  await group.start("b");
  await group.start("c");
  await group.run(3_000);
  t.is(group.leader(), undefined);
  await group.close();
});

test("a command that reaches no leader fails as not committed", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.start("a");
  const result = await group.propose("a", "nobody there");
  t.is(result.swap().unsafeCoerce().kind, "unavailable");
  await group.close();
});

test("a command that is too large for a frame is rejected", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const fits = await group.propose("b", "x".repeat(COMMAND_LIMIT_BYTES - 16));
  t.true(fits.isRight());
  const result = await group.propose("b", "x".repeat(COMMAND_LIMIT_BYTES));
  t.is(result.swap().unsafeCoerce().kind, "tooLarge");
  await group.close();
});

test("catch-up stays within the byte budget of its peer", async (t) => {
  const group = new MemberGroup(
    [...diskVoters("a", "b", "c"), ...learners("d")],
    { snapshotEntries: 50, tailEntries: 5, chunkBytes: 4_096 },
    { catchUpBytesPerSecond: (peer) => peer === "d" ? 20_000 : 1e9 },
  );
  for (const id of ["a", "b", "c"]) {
    await group.start(id);
  }
  await group.run(1_000);
  for (let at = 0; at < 100; at++) {
    (await group.propose("a", "x".repeat(1_000))).unsafeCoerce();
  }
  const startMs = group.clock.nowMs();
  await group.start("d");
  while (group.machines.get("d")!.texts.length < 100) {
    await group.run(100);
  }
  // 100 kB at 20 kB per second, after a burst of a quarter of a second.
  const elapsedMs = group.clock.nowMs() - startMs;
  t.true(elapsedMs >= 4_500 && elapsedMs <= 8_000, `${elapsedMs} ms`);
  await group.close();
});
