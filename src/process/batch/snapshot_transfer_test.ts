import test from "ava";
import { diskVoters } from "../replication/testing/fault_session.ts";
import { MemberGroup } from "../replication/testing/member_group.ts";
import { GROUP_TIMING } from "./state_host.ts";

for (const megabytes of [1, 2, 4, 8]) {
  test(`a successor 20 ms away gets a snapshot of ${megabytes} MB and votes within 4 s`, async (t) => {
    const group = new MemberGroup(
      diskVoters("a", "b", "c", "d"),
      { ...GROUP_TIMING, tailEntries: 1, snapshotEntries: 4 },
      {
        founderIds: ["a", "b", "c"],
        wantedVoters: 3,
        delayMs: (from, to) => from === "d" || to === "d" ? 20 : 1,
      },
    );
    for (const id of ["a", "b", "c"]) {
      await group.start(id);
    }
    await group.run(3_000);
    const leader = group.leader()!;
    const { leaderId } = leader.status();
    for (let at = 0; at < megabytes * 4; at++) {
      await group.propose(leaderId!, "x".repeat(256 * 1_024));
    }
    for (let at = 0; at < 4; at++) {
      await group.propose(leaderId!, "x");
    }
    await group.run(1_000);
    const lost = ["a", "b", "c"].find((id) => id !== leaderId)!;
    await group.stop(lost);
    await group.start("d");
    await group.run(4_000);
    t.true(leader.status().voterIds.includes("d"));
    t.false(leader.status().voterIds.includes(lost));
    await group.close();
  });
}
