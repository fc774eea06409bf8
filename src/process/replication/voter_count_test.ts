import test from "ava";
import { MemberGroup } from "./testing/member_group.ts";

const IDS = ["a", "b", "c", "d", "e", "f"];
const WANTED_VOTERS = 5;

/**
 * Six instances with a disk: three form the group and five vote, so that two may
 * be lost.
 */
async function openGroup(): Promise<MemberGroup> {
  const group = new MemberGroup(
    IDS.map((id) => ({ id, isVoter: true, isDurable: true })),
    { voterSilenceMs: 1_500 },
    { founderIds: ["a", "b", "c"], wantedVoters: WANTED_VOTERS },
  );
  await group.startAll();
  await group.run(4_000);
  return group;
}

function voterIds(group: MemberGroup): readonly string[] {
  return group.leader()?.status().voterIds ?? [];
}

test("a group grows to the target number of voters and no further", async (t) => {
  const group = await openGroup();
  t.is(voterIds(group).length, WANTED_VOTERS);
  await group.close();
});

test("a group that replaced two lost voters can lose two again", async (t) => {
  const group = await openGroup();
  const others = (): string[] =>
    voterIds(group).filter((id) =>
      group.members.get(id)?.status().role === "follower"
    );
  const lost = others().slice(0, 2);
  for (const id of lost) {
    await group.stop(id);
  }
  await group.run(8_000);
  t.true((await group.propose(others()[0]!, "one")).isRight());
  for (const id of lost) {
    await group.start(id);
  }
  await group.run(8_000);
  t.is(voterIds(group).length, WANTED_VOTERS);
  for (const id of others().slice(0, 2)) {
    await group.stop(id);
  }
  await group.run(3_000);
  t.true((await group.propose(others()[0]!, "two")).isRight());
  await group.close();
});
