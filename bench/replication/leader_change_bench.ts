/**
 * Measures how long a group has no leader after its leader crashes, over many
 * seeds of a simulated group with drifting clocks, delays up to 25 ms and syncs
 * up to 20 ms.
 *
 *     node dist/bench/replication/leader_change_bench.js
 *
 * @module
 */

import { diskVoters } from "../../src/process/replication/testing/fault_session.ts";
import { RaftSimulation } from "../../src/process/replication/testing/raft_simulation.ts";

const RUNS = 400;
const STEP_MS = 5;
const TIMEOUT_MS = 30_000;

function measureLeaderChange(members: string[], seed: number): number {
  const simulation = new RaftSimulation({
    members: diskVoters(...members),
    seed,
  });
  simulation.startAll();
  simulation.run(3_000 + (seed % 500));
  simulation.crash(simulation.leaseHolders()[0]!.id);
  const startMs = simulation.nowMs;
  while (simulation.leaseHolders().length === 0) {
    simulation.run(STEP_MS);
    if (simulation.nowMs - startMs > TIMEOUT_MS) {
      return Infinity;
    }
  }
  return simulation.nowMs - startMs;
}

function main(): void {
  for (const size of [3, 5, 9]) {
    const ids = Array.from({ length: size }, (_, at) => `m${at}`);
    const times = Array.from(
      { length: RUNS },
      (_, at) => measureLeaderChange(ids, at + 1),
    ).sort((left, right) => left - right);
    const over = times.filter((time) => time > 3_000).length;
    console.log(
      `${size} members, ${RUNS} crashes: p50 ${times[RUNS / 2]} ms, ` +
        `p99 ${times[Math.floor(RUNS * 0.99)]} ms, ` +
        `longest ${times.at(-1)} ms, over 3 s: ${over}`,
    );
  }
}

main();
