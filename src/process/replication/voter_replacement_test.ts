import test from "ava";
import type { GroupMember } from "./raft_effect.ts";
import { MemberGroup } from "./testing/member_group.ts";
import { FAST_TIMING } from "./testing/fast_timing.ts";
import { clockBehind } from "./testing/clock_behind.ts";

const SILENCE_MS = FAST_TIMING.voterSilenceMs;
function durableVoter(id: string): GroupMember {
  return { id, isVoter: true, isDurable: true };
}

/** Founders `a`, `b` and `c`, which vote; the others stand by once started. */
async function openGroup(
  ids: readonly string[],
  options: {
    startedIds?: readonly string[];
    delayMs?: (from: string, to: string) => number;
  } = {},
): Promise<MemberGroup> {
  const { startedIds = ids, ...hubOptions } = options;
  const group = new MemberGroup(
    ids.map(durableVoter),
    FAST_TIMING,
    { founderIds: ["a", "b", "c"], wantedVoters: 3, ...hubOptions },
  );
  for (const id of startedIds) {
    await group.start(id);
  }
  await group.run(3_000);
  return group;
}

function voters(group: MemberGroup): string {
  return [...group.leader()?.status().voterIds ?? []].sort().join("");
}

function leaderId(group: MemberGroup): string | undefined {
  return group.leader()?.status().leaderId;
}

/** A voter that doesn't lead. */
function follower(group: MemberGroup): string {
  return voters(group).split("").find((id) =>
    group.members.get(id)?.status().role === "follower"
  )!;
}

test("nothing changes without a silent or missing voter", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"]);
  await group.run(10_000);
  t.is(voters(group), "abc");
  await group.close();
});

test("a silent voter stays until another member can replace it", async (t) => {
  const group = await openGroup(["a", "b", "c"]);
  await group.stop(follower(group));
  await group.run(10_000);
  t.is(voters(group), "abc");
  await group.close();
});

test("a lost voter is replaced 2 s after its loss, and removed", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"]);
  const lost = follower(group);
  await group.stop(lost);
  await group.run(2_000);
  t.is(voters(group), "abcd".replace(lost, ""));
  await group.close();
});

test("a standby without anything to acknowledge gets a vote and costs the leader nothing", async (t) => {
  for (let play = 0; play < 12; play++) {
    const group = await openGroup(["a", "b", "c", "d"], {
      delayMs: () => 20,
    });
    await group.run(37 * play);
    const { term } = group.leader()!.status();
    const lost = follower(group);
    await group.stop(lost);
    await group.run(3_000);
    t.is(voters(group), "abcd".replace(lost, ""));
    t.is(group.leader()!.status().term, term);
    await group.close();
  }
});

test("a lost leader's voter is replaced 3 s after its successor's start", async (t) => {
  for (let play = 0; play < 12; play++) {
    const group = await openGroup(["a", "b", "c", "d"], {
      startedIds: ["a", "b", "c"],
      delayMs: () => 20,
    });
    await group.run(37 * play);
    const lost = leaderId(group)!;
    await group.stop(lost);
    await group.run(50);
    await group.start("d");
    await group.run(3_000);
    t.is(voters(group), "abcd".replace(lost, ""));
    await group.close();
  }
});

test("a voter that is back before its replacement stays", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"]);
  const lost = follower(group);
  await group.stop(lost);
  await group.run(SILENCE_MS - 500);
  await group.start(lost);
  await group.run(5_000);
  t.is(voters(group), "abc");
  await group.close();
});

test("a leader that was stalled doesn't take its voters for silent", async (t) => {
  let farId = "";
  const group = await openGroup(["a", "b", "c", "d"], {
    delayMs: (from, to) => from === farId || to === farId ? 40 : 1,
  });
  const leader = group.leader()!;
  farId = follower(group);
  group.clock.aheadMs += SILENCE_MS + 100;
  const deadlineMs = group.clock.nowMs() + 1_000;
  await group.runUntilDone(leader.propose("text", { deadlineMs }));
  await group.run(50);
  t.is(voters(group), "abc");
  await group.close();
});

test("a replacement that is lost as soon as it votes leaves a majority", async (t) => {
  for (let play = 0; play < 12; play++) {
    const group = await openGroup(["a", "b", "c", "d"], {
      delayMs: () => 20,
    });
    const lost = follower(group);
    await group.stop(lost);
    let hasVote = false;
    for (let passedMs = 0; passedMs < 4_000 && !hasVote; passedMs += 5) {
      await group.run(5);
      hasVote = [...group.members.values()].some((member) =>
        member.status().voterIds.includes("d")
      );
    }
    t.true(hasVote);
    await group.run(10 * play);
    await group.stop("d");
    await group.run(4_000);
    t.not(group.leader(), undefined);
    await group.close();
  }
});

test("a leader that stalls again and again replaces a lost voter", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"]);
  const lost = follower(group);
  await group.stop(lost);
  for (let second = 0; second < 4; second++) {
    await group.run(1_000);
    group.clock.aheadMs += 350;
  }
  t.is(voters(group), "abcd".replace(lost, ""));
  await group.close();
});

test("a voter that answers again while it is replaced leaves three voters", async (t) => {
  for (let silentMs = 1_400; silentMs <= 1_600; silentMs += 25) {
    const group = await openGroup(["a", "b", "c", "d"]);
    const silent = follower(group);
    group.hub.isolate(silent);
    await group.run(silentMs);
    group.hub.heal();
    await group.run(3_000);
    t.is(voters(group).length, 3);
    await group.close();
  }
});

test("a voter of the log that isn't among the known members is named", async (t) => {
  const named: string[] = [];
  const group = await openGroup(["a", "b", "c", "d"], { startedIds: [] });
  await group.start("a");
  await group.start("b");
  await group.start("c", {
    ...group.extraOptions,
    members: ["c", "a"].map(durableVoter),
    onMemberDiscovered: (id) => named.push(id),
  });
  await group.run(3_000);
  t.deepEqual([...new Set(named)].sort(), ["a", "b"]);
  await group.close();
});

test("a member that was lost together with a voter doesn't replace it", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"]);
  await group.stop("d");
  await group.stop(follower(group));
  await group.run(10_000);
  t.is(voters(group), "abc");
  await group.close();
});

test("members far away get votes while the leader commits without pause", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"], {
    startedIds: ["a", "b", "c"],
    delayMs: (from, to) => from === "d" || to === "d" ? 20 : 1,
  });
  const leader = group.leader()!;
  let isLoaded = true;
  const load = async (): Promise<void> => {
    while (isLoaded) {
      const deadlineMs = group.clock.nowMs() + 1_000;
      await leader.propose("text", { deadlineMs });
    }
  };
  const loads = [load(), load(), load()];
  await group.run(200);
  await group.stop(follower(group));
  await group.start("d");
  await group.run(4_000);
  t.true(voters(group).includes("d"));
  isLoaded = false;
  await group.runUntilDone(Promise.all(loads));
  await group.close();
});

/** Starts a member that knows its seeds, and later those that it is told of. */
async function startWithSeeds(
  group: MemberGroup,
  id: string,
  seedIds: readonly string[],
): Promise<void> {
  const members = [id, ...seedIds].map(durableVoter);
  await group.start(id, {
    ...group.extraOptions,
    members,
    onMemberDiscovered: (named) => members.push(durableVoter(named)),
  });
}

test("a member whose seeds don't include the leader joins", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"], {
    startedIds: ["a", "b", "c"],
  });
  await startWithSeeds(group, "d", [follower(group)]);
  await group.run(2_000);
  t.is(group.members.get("d")!.status().leaderId, leaderId(group));
  await group.close();
});

test("a voter that was replaced while cut off joins under a leader that it never met", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"], { startedIds: [] });
  await group.start("a");
  await group.start("b");
  await startWithSeeds(group, "c", ["a", "b"]);
  await group.run(3_000);
  group.hub.isolate("c");
  await group.run(2_000);
  await group.start("d");
  await group.run(4_000);
  t.is(voters(group), "abd");
  for (let id = leaderId(group)!; id !== "d"; id = leaderId(group)!) {
    await group.stop(id);
    await group.run(3_000);
    await group.start(id);
  }
  group.hub.heal();
  await group.run(3_000);
  t.is(group.members.get("c")!.status().leaderId, "d");
  await group.close();
});

test("a standby that comes back empty, its clock behind, is served again", async (t) => {
  const group = await openGroup(["a", "b", "c", "d"]);
  await group.stop("d");
  group.disks.get("d")!.wipe();
  const clock = clockBehind(group.clock, 10_000);
  await group.start("d", { ...group.extraOptions, founderIds: [], clock });
  await group.run(5_000);
  t.is(
    group.members.get("d")!.status().commitIndex,
    group.leader()!.status().commitIndex,
  );
  await group.close();
});
