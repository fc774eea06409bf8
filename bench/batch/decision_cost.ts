/**
 * What one look of the planner takes, by the number of workers; the load grows
 * with them: `node dist/bench/batch/decision_cost.js`.
 *
 * @module
 */

import process from "node:process";
import { performance } from "node:perf_hooks";
import { SeededRandom } from "../../src/base/mod.ts";
import { RATING_LOAD } from "./load.ts";
import { Simulation } from "./simulation.ts";

const SIZES = [33, 100, 246, 720];
const LENGTH_MS = 12_000;
const NOMINAL_WORKERS = 33;

for (const workers of SIZES) {
  const tookMs: number[] = [];
  const simulation = new Simulation({
    load: RATING_LOAD,
    random: new SeededRandom({ seed: 77_777 }),
    factor: workers / NOMINAL_WORKERS,
    burstFactor: 1,
    workers,
    lengthMs: LENGTH_MS,
    settles: false,
    onPlan: (plan) => {
      const beganMs = performance.now();
      plan();
      tookMs.push(performance.now() - beganMs);
    },
  });
  simulation.run();
  tookMs.sort((a, b) => a - b);
  const at = (share: number) =>
    tookMs[Math.floor((tookMs.length - 1) * share)]!.toFixed(2);
  process.stdout.write(
    `${workers} workers: ${tookMs.length} looks, ${at(0.5)} ms median, ` +
      `${at(0.99)} ms p99, ${at(1)} ms at most\n`,
  );
}
