import test from "ava";
import { diskVoters } from "./testing/fault_session.ts";
import { MemberGroup } from "./testing/member_group.ts";

test("disks that were full in turn leave a group that takes commands", async (t) => {
  for (const fault of ["syncFails", "isFull"] as const) {
    const group = new MemberGroup(diskVoters("a", "b", "c"), {
      snapshotEntries: 8,
      tailEntries: 2,
    });
    await group.startAll();
    await group.run(1_000);
    const sent: string[] = [];
    for (const id of ["a", "b", "c"]) {
      group.disks.get(id)!.faults[fault] = true;
      const other = ["a", "b", "c"].find((one) => one !== id)!;
      // The answer of a leader whose disk fails is lost with it.
      await group.propose(other, "meets the fault");
      for (let at = 0; at < 6; at++) {
        sent.push(`${id}${at}`);
        const result = await group.propose(other, `${id}${at}`);
        t.true(result.isRight(), `${fault} ${id}${at}`);
      }
      t.is(group.members.get(id)!.status().role, "learner");
      group.disks.get(id)!.faults[fault] = false;
      await group.run(2_000);
      sent.push(`after ${id}`);
      const after = await group.propose(id, `after ${id}`);
      t.true(after.isRight(), `${fault} after ${id}`);
    }
    await group.run(1_000);
    t.is(group.leader()?.status().voterIds.length, 3);
    for (const [id, machine] of group.machines) {
      const answered = machine.texts.filter((text) =>
        text !== "meets the fault"
      );
      t.deepEqual(answered, sent, `${fault} ${id}`);
    }
    const length = group.machines.get("a")!.texts.length;
    for (const id of ["a", "b", "c"]) {
      await group.stop(id);
    }
    await group.startAll();
    await group.run(4_000);
    t.deepEqual((await group.propose("a", "last")).extract(), length + 1);
    await group.close();
  }
});

test("a leader whose disk is full is replaced at once", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const old = group.leader()!;
  const oldId = old.status().leaderId!;
  group.disks.get(oldId)!.faults.isFull = true;
  const deadlineMs = group.clock.nowMs() + 5_000;
  const proposed = old.propose("held by the others", { deadlineMs });
  await group.run(100);
  t.is((await proposed).swap().unsafeCoerce().kind, "outcomeUnknown");
  t.not(group.leader(), undefined);
  t.not(group.leader(), old);
  await group.close();
});

test("a member whose files are lost while it runs is repaired by its peers", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at < 5; at++) {
    (await group.propose("a", `text ${at}`)).unsafeCoerce();
  }
  await group.run(1_000);
  const leaderId = group.leader()!.status().leaderId!;
  const id = ["a", "b", "c"].find((other) => other !== leaderId)!;
  const disk = group.disks.get(id)!;
  disk.faults.isFull = true;
  (await group.propose(leaderId, "while it is full")).unsafeCoerce();
  disk.wipe();
  disk.faults.isFull = false;
  await group.run(4_000);
  t.is(group.leader()!.status().voterIds.length, 3);
  const third = ["a", "b", "c"].find((one) => one !== id && one !== leaderId)!;
  await group.stop(third);
  t.deepEqual((await group.propose(id, "last")).extract(), 7);
  t.is(group.machines.get(id)!.texts.length, 7);
  await group.close();
});

test("a member opens once its disk can be written", async (t) => {
  const group = new MemberGroup(diskVoters("a"));
  group.disks.get("a")!.faults.isFull = true;
  const started = group.start("a");
  await group.run(3_000);
  t.is(group.members.get("a"), undefined);
  group.disks.get("a")!.faults.isFull = false;
  await group.runUntilDone(started);
  t.deepEqual((await group.propose("a", "one")).extract(), 1);
  await group.close();
});

test("a failed sync stops the member, which acknowledges nothing", async (t) => {
  for (const fault of ["syncFails", "isFull"] as const) {
    const group = new MemberGroup(diskVoters("a", "b", "c"));
    await group.startAll();
    await group.run(1_000);
    const leaderId = group.leader()!.status().leaderId!;
    const old = group.members.get(leaderId)!;
    group.disks.get(leaderId)!.faults[fault] = true;
    const result = await group.propose(leaderId, "lost or not");
    t.is(result.swap().unsafeCoerce().kind, "outcomeUnknown", fault);
    t.is(old.status().role, "learner");
    t.is(old.status().leaseEndMs, 0);
    const refused = await group.propose(leaderId, "refused");
    t.is(refused.swap().unsafeCoerce().kind, "unavailable", fault);
    const other = ["a", "b", "c"].find((id) => id !== leaderId)!;
    t.true((await group.propose(other, "goes on")).isRight(), fault);
    await group.close();
  }
});

test("a leader whose disk hangs hands over, and leads no other astray", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const old = group.leader()!;
  const oldId = old.status().leaderId!;
  group.disks.get(oldId)!.faults.syncHangs = true;
  t.true((await group.propose(oldId, "synced by the others")).isRight());
  await group.run(1_500);
  const next = group.leader();
  t.not(next, undefined);
  t.not(next, old);
  group.disks.get(oldId)!.endHang();
  t.deepEqual((await group.propose(oldId, "two")).extract(), 2);
  await group.close();
});

test("the status shows a disk that failed and one that works", async (t) => {
  const group = new MemberGroup(diskVoters("a", "b", "c"));
  await group.startAll();
  await group.run(11_000);
  const id = group.leader()!.status().leaderId!;
  const member = group.members.get(id)!;
  t.is(member.status().disk?.freeBytes, 1e9);
  t.is(member.status().disk?.suspendedAtMs, undefined);
  group.disks.get(id)!.faults.isFull = true;
  await group.propose(id, "meets the fault");
  t.true(member.status().disk!.suspendedAtMs! > 1_000_000);
  group.disks.get(id)!.faults.isFull = false;
  await group.run(1_000);
  t.is(member.status().disk?.suspendedAtMs, undefined);
  await group.close();
});
