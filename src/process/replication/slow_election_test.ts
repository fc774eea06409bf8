import test from "ava";
import { diskVoters } from "./testing/fault_session.ts";
import { RaftSimulation } from "./testing/raft_simulation.ts";
import { FAST_TIMING } from "./testing/fast_timing.ts";

const LIMIT_MS = 5_000;

test.failing("votes that arrive after the candidate's next attempt began are counted: slow disks delay an election by few syncs", (t) => {
  const lateSeeds: string[] = [];
  for (let seed = 1; seed <= 20; seed++) {
    const simulation = new RaftSimulation({
      members: diskVoters("a", "b", "c"),
      seed,
      timing: FAST_TIMING,
      delayMs: 20,
      // Syncs take 0 to 0.8 s, far below `diskTimeoutMs` of a leader.
      syncMs: 800,
    });
    simulation.startAll();
    simulation.run(12_000);
    const leader = simulation.leaseHolders()[0];
    if (leader === undefined) {
      lateSeeds.push(`${seed}: none after 12 s`);
      continue;
    }
    simulation.crash(leader.id);
    simulation.run(LIMIT_MS);
    if (simulation.leaseHolders().length === 0) {
      lateSeeds.push(`${seed}: none 5 s after a crash`);
    }
  }
  t.deepEqual(lateSeeds, []);
});
