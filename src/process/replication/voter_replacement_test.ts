import test from "ava";
import type { GroupMember } from "./raft_effect.ts";
import { MemberGroup } from "./testing/member_group.ts";

const TIMING = { tickMs: 25, heartbeatMs: 150 };

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
    TIMING,
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
    onMemberNamed: (named) => members.push(durableVoter(named)),
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
