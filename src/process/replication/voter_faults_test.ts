import test from "ava";
import { EventRecord } from "../../base/event_record.ts";
import type { GroupMember } from "./raft_effect.ts";
import { MemberGroup } from "./testing/member_group.ts";
import { clockBehind } from "./testing/clock_behind.ts";
import { FAST_TIMING } from "./testing/fast_timing.ts";

function durableVoter(id: string): GroupMember {
  return { id, isVoter: true, isDurable: true };
}

function voters(group: MemberGroup): string {
  return [...group.leader()?.status().voterIds ?? []].sort().join("");
}

function leaderId(group: MemberGroup): string {
  return group.leader()!.status().leaderId!;
}

function openWith(
  members: readonly GroupMember[],
  options: Record<string, unknown> = {},
): MemberGroup {
  return new MemberGroup(members, FAST_TIMING, {
    founderIds: ["a", "b", "c"],
    wantedVoters: 3,
    ...options,
  });
}

async function startThenRun(
  group: MemberGroup,
  ids: readonly string[],
  ms = 3_000,
): Promise<void> {
  for (const id of ids) {
    await group.start(id);
  }
  await group.run(ms);
}

test("the only voter with a disk isn't removed as surplus", async (t) => {
  const diskless = (id: string): GroupMember => ({
    id,
    isVoter: true,
    isDurable: false,
  });
  let farId = "";
  const group = openWith(
    [durableVoter("a"), diskless("b"), diskless("c"), diskless("d")],
    {
      delayMs: (from: string, to: string) =>
        from === farId || to === farId ? 20 : 1,
    },
  );
  await startThenRun(group, ["a", "b", "c", "d"]);
  while (leaderId(group) === "a") {
    await group.stop("a");
    await group.run(1_300);
    await group.start("a");
    await group.run(3_000);
  }
  farId = "a";
  await group.run(1_000);
  t.is(voters(group), "abc");
  const silent = ["b", "c"].find((id) => id !== leaderId(group))!;
  group.hub.isolate(silent);
  for (let i = 0; i < 600 && !voters(group).includes("d"); i++) {
    await group.run(5);
  }
  group.hub.heal();
  await group.run(3_000);
  t.true(voters(group).includes("a"), `voters ${voters(group)}`);
  await group.close();
});

test("a lost voter is replaced by a leader that stalls 0.35 s a second", async (t) => {
  const group = openWith(["a", "b", "c", "d"].map(durableVoter));
  await startThenRun(group, ["a", "b", "c", "d"]);
  const lost = ["a", "b", "c"].find((id) => id !== leaderId(group))!;
  await group.stop(lost);
  for (let second = 0; second < 20; second++) {
    group.clock.aheadMs += 350;
    await group.run(1_000);
  }
  t.is(voters(group), "abcd".replace(lost, ""));
  await group.close();
});

test("a voter that freezes again and again is replaced once", async (t) => {
  const events = new EventRecord();
  const group = new MemberGroup(
    ["a", "b", "c", "d"].map(durableVoter),
    { ...FAST_TIMING, followMs: 1_000 },
    { founderIds: ["a", "b", "c"], wantedVoters: 3, events },
  );
  await startThenRun(group, ["a", "b", "c", "d"]);
  const frozen = ["a", "b", "c"].find((id) => id !== leaderId(group))!;
  for (let i = 0; i < 10; i++) {
    group.hub.isolate(frozen);
    await group.run(1_600);
    group.hub.heal();
    await group.run(1_000);
  }
  t.true(
    events.of("votersChanged").length <= 2,
    JSON.stringify(events.of("votersChanged")),
  );
  await group.close();
});

test("a voter that lost its state twice, its clock set back, isn't added and removed again and again", async (t) => {
  const events = new EventRecord();
  const group = new MemberGroup(
    ["a", "b", "c", "d"].map(durableVoter),
    { ...FAST_TIMING, followMs: 1_000 },
    { founderIds: ["a", "b", "c"], wantedVoters: 3, events },
  );
  await startThenRun(group, ["a", "b", "c"]);
  const lost = ["a", "b", "c"].find((id) => id !== leaderId(group))!;
  await group.stop(lost);
  group.disks.get(lost)!.wipe();
  await group.start(lost, { ...group.extraOptions, founderIds: [] });
  await group.run(3_000);
  t.is(voters(group), "abc");
  await group.stop(lost);
  group.disks.get(lost)!.wipe();
  await group.start("d");
  await group.run(4_000);
  t.is(voters(group), "abcd".replace(lost, ""));
  const before = leaderId(group);
  await group.stop(before);
  await group.run(1_400);
  await group.start(before);
  await group.run(1_000);
  events.clear();
  await group.start(lost, {
    ...group.extraOptions,
    founderIds: [],
    clock: clockBehind(group.clock, 60_000),
  });
  await group.run(500);
  const other = voters(group).split("").find((id) => id !== leaderId(group))!;
  await group.stop(other);
  await group.run(5_000);
  const changes = events.of("votersChanged");
  t.true(
    changes.length <= 4,
    `${changes.length}: ${JSON.stringify(changes.slice(0, 8))}`,
  );
  await group.close();
});

test("a member that knew the lost leader alone finds the next one by the log's voters", async (t) => {
  const group = openWith(["a", "b", "c", "d"].map(durableVoter));
  await startThenRun(group, ["a", "b", "c"]);
  const first = leaderId(group);
  const members = ["d", first].map(durableVoter);
  await group.start("d", {
    ...group.extraOptions,
    members,
    onMemberDiscovered: (named) => members.push(durableVoter(named)),
  });
  await group.run(2_000);
  t.deepEqual(
    [...group.members.get("d")!.status().voterIds].sort(),
    ["a", "b", "c"],
  );
  await group.stop(first);
  await group.run(4_000);
  t.is(group.members.get("d")!.status().leaderId, leaderId(group));
  await group.close();
});

test("a leader that hears nothing is replaced, and so is its vote", async (t) => {
  const group = openWith(["a", "b", "c", "d"].map(durableVoter));
  await startThenRun(group, ["a", "b", "c", "d"]);
  const deaf = leaderId(group);
  for (const id of ["a", "b", "c", "d"]) {
    group.hub.cut(id, deaf);
  }
  await group.run(5_000);
  t.is(voters(group), "abcd".replace(deaf, ""));
  await group.close();
});

test("a voter that doesn't hear its leader alone is replaced", async (t) => {
  const group = openWith(["a", "b", "c", "d"].map(durableVoter));
  await startThenRun(group, ["a", "b", "c", "d"]);
  const deaf = ["a", "b", "c"].find((id) => id !== leaderId(group))!;
  group.hub.cut(leaderId(group), deaf);
  await group.run(5_000);
  t.is(voters(group), "abcd".replace(deaf, ""));
  await group.close();
});

test("three founders that needn't bear a loss go on accepting commands", async (t) => {
  const group = openWith(["a", "b", "c"].map(durableVoter), {
    wantedVoters: 1,
  });
  await startThenRun(group, ["a", "b", "c"]);
  const result = await group.propose(leaderId(group), "text");
  t.true(result.isRight(), `voters ${voters(group)}`);
  await group.close();
});

test("a voter that an operator adds beyond the target stays", async (t) => {
  const group = openWith(["a", "b", "c", "d"].map(durableVoter));
  await startThenRun(group, ["a", "b", "c", "d"]);
  const deadlineMs = group.clock.nowMs() + 3_000;
  const change = await group.runUntilDone(
    group.leader()!.changeMembers({ kind: "add", id: "d" }, { deadlineMs }),
  );
  await group.run(2_000);
  t.true(change.isRight(), String(change.extract()));
  t.is(voters(group), "abcd");
  await group.close();
});

test("a member that is behind gets no vote before it has caught up", async (t) => {
  const group = openWith(["a", "b", "c", "d"].map(durableVoter), {
    catchUpBytesPerSecond: () => 512 * 1024,
  });
  await startThenRun(group, ["a", "b", "c"]);
  const id = leaderId(group);
  for (let i = 0; i < 16; i++) {
    await group.propose(id, "x".repeat(256 * 1024));
  }
  await group.run(10_000);
  await group.stop(["a", "b", "c"].find((other) => other !== id)!);
  await group.start("d");
  for (let i = 0; i < 800 && !voters(group).includes("d"); i++) {
    await group.run(25);
  }
  const index = group.members.get("d")!.status().commitIndex;
  t.true(
    index >= group.leader()!.status().commitIndex - 2,
    `${index} of ${group.leader()!.status().commitIndex}`,
  );
  await group.close();
});
