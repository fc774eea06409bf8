import test from "ava";
import { diskVoters } from "./testing/fault_session.ts";
import { RaftSimulation } from "./testing/raft_simulation.ts";
import { FAST_TIMING } from "./testing/fast_timing.ts";

test.failing("one of two voters goes on without the other's disk though a removed member is gone for good", (t) => {
  const lateSeeds: number[] = [];
  for (let seed = 1; seed <= 10; seed++) {
    const simulation = new RaftSimulation({
      members: diskVoters("a", "b", "z"),
      seed,
      timing: FAST_TIMING,
      mayLoseState: true,
    });
    simulation.startAll();
    simulation.run(4_000);
    const leader = simulation.leaseHolders()[0]!.id;
    const gone = ["a", "b", "z"].find((id) => id !== leader)!;
    simulation.input(leader, { kind: "removeMember", id: gone });
    simulation.run(1_000);
    simulation.crash(gone);
    simulation.crash(leader);
    simulation.member(leader).eraseDisk();
    simulation.start(leader);
    simulation.run(10_000);
    if (simulation.leaseHolders().length === 0) {
      lateSeeds.push(seed);
    }
  }
  t.deepEqual(lateSeeds, []);
});
