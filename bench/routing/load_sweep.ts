/**
 * Compares load balancing policies under load, and the effect of slow servers,
 * with the real routing core, simulated servers and simulated time.
 *
 * `npm run build && node dist/bench/routing/load_sweep.js [seed]`
 *
 * @module
 */

import process from "node:process";
import { LOAD_CLASSES, SIZES } from "./load_model.ts";
import { runSweep, type SweepOptions, type SweepResult } from "./run_sweep.ts";
import { SweepPolicy } from "./sweep_policy.ts";

const LOADS = [0.5, 1, 2, 4] as const;
const DURATION_MS = 4_000;
const SLOW_LOAD = 0.5;
const SLOW_FACTOR = 10;
const SLOW_DURATION_MS = 20_000;

function main(): void {
  const seed = Number(process.argv[2] ?? 1);
  console.log(`seed ${seed}; ${JSON.stringify(SIZES)}`);
  compareLoads(seed);
  compareSkews(seed);
  compareSlowServers(seed);
}

function compareLoads(seed: number): void {
  console.log(
    "\nload | policy | goodput/capacity | in deadline by class | " +
      "p50 ms | p99 ms | most at once on a server",
  );
  for (const load of LOADS) {
    for (const policy of Object.values(SweepPolicy)) {
      const options = { policy, load, seed, durationMs: DURATION_MS };
      console.log(describeRun(options, runSweep(options)));
    }
  }
}

function compareSkews(seed: number): void {
  console.log("\none instance gets four times the load of another");
  for (const load of [0.5, 0.8]) {
    for (const policy of Object.values(SweepPolicy)) {
      const durationMs = DURATION_MS;
      const options = { policy, load, seed, durationMs, skew: 4 };
      console.log(describeRun(options, runSweep(options)));
    }
  }
}

function compareSlowServers(seed: number): void {
  console.log(`\none server in ten ${SLOW_FACTOR} times as slow, at half load`);
  for (const policy of Object.values(SweepPolicy)) {
    const options = {
      policy,
      load: SLOW_LOAD,
      seed,
      durationMs: SLOW_DURATION_MS,
    };
    const baseline = runSweep(options);
    const slow = runSweep({
      ...options,
      slowFactor: SLOW_FACTOR,
      slowServers: SIZES.servers / 10,
    });
    const ratio = slow.p99Ms / baseline.p99Ms;
    console.log(
      `${policy}: p99 ${baseline.p99Ms.toFixed(0)} ms without slow servers, ` +
        `${slow.p99Ms.toFixed(0)} ms with them, ratio ${ratio.toFixed(2)}`,
    );
  }
}

function describeRun(options: SweepOptions, result: SweepResult): string {
  const byClass = LOAD_CLASSES.map(({ name }) => {
    const { offered, inDeadline } = result.classes.get(name) ??
      { offered: 1, inDeadline: 0 };
    return `${name} ${(100 * inDeadline / offered).toFixed(1)}%`;
  });
  return [
    options.load,
    options.policy,
    `${(100 * result.goodput).toFixed(1)}%`,
    byClass.join(", "),
    result.p50Ms.toFixed(0),
    result.p99Ms.toFixed(0),
    result.maxServerLoad,
  ].join(" | ");
}

main();
