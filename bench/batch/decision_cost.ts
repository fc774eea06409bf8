/**
 * Measures the time of one planning pass by the number of workers, with the
 * load in proportion to them: `node dist/bench/batch/decision_cost.js`.
 *
 * @module
 */

import process from "node:process";
import { performance } from "node:perf_hooks";
import { SeededRandom } from "../../src/base/mod.ts";
import { RATING_LOAD } from "./load.ts";
import { Simulation } from "./simulation.ts";

const WORKER_COUNTS = [33, 100, 246, 720];
const LENGTH_MS = 12_000;
/** The number of workers that the load is defined for. */
const NOMINAL_WORKERS = 33;

for (const workers of WORKER_COUNTS) {
  const timesMs: number[] = [];
  const simulation = new Simulation({
    load: RATING_LOAD,
    random: new SeededRandom({ seed: 77_777 }),
    loadFactor: workers / NOMINAL_WORKERS,
    burstFactor: 1,
    workers,
    lengthMs: LENGTH_MS,
    runsToCompletion: false,
    onPlan: (plan) => {
      const startMs = performance.now();
      plan();
      timesMs.push(performance.now() - startMs);
    },
  });
  simulation.run();
  timesMs.sort((a, b) => a - b);
  const at = (fraction: number) =>
    timesMs[Math.floor((timesMs.length - 1) * fraction)]!.toFixed(2);
  process.stdout.write(
    `${workers} workers: ${timesMs.length} plans, ${at(0.5)} ms median, ` +
      `${at(0.99)} ms p99, ${at(1)} ms at most\n`,
  );
}
