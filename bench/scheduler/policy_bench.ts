/**
 * Compares the scheduler with the baselines on the same streams. Arguments:
 * the size's name, the load and the seed; then, if wanted, `outage` (the data
 * centre leaves for an hour), `healthy` (no worker fails its tasks), `checked`
 * (the core's invariants are looked at on the way) and the names of the
 * policies. Prints one JSON line for each policy.
 *
 * @module
 */

import {
  SchedulerCore,
  type SchedulerPolicy,
} from "../../src/process/scheduler/core/mod.ts";
import { BaselinePolicy } from "./baseline_policy.ts";
import { Simulation } from "./simulation.ts";
import { DATA_CENTRE, drawWorkload, SIZES } from "./workload.ts";

const HOUR_MS = 3_600_000;
const BAD_WORKER_FRACTION = 0.05;

interface Contender {
  readonly name: string;
  readonly policy: SchedulerPolicy;
  readonly freeRoom: () => { total: number; largest: number };
  readonly findBroken?: () => readonly string[];
}

function makeContenders(names: readonly string[]): Contender[] {
  const core = new SchedulerCore({ dataCentre: DATA_CENTRE });
  const firstFit = new BaselinePolicy({
    kind: "firstFit",
    dataCentre: DATA_CENTRE,
  });
  const bestFit = new BaselinePolicy({
    kind: "bestFit",
    dataCentre: DATA_CENTRE,
  });
  const all: Contender[] = [
    {
      name: "core",
      policy: core,
      findBroken: () => core.findViolations(),
      freeRoom: () => {
        const metrics = core.metrics();
        return {
          total: metrics.freeAccelerators,
          largest: metrics.largestStartableGang,
        };
      },
    },
    {
      name: "firstFit",
      policy: firstFit,
      freeRoom: () => firstFit.freeRoom(),
    },
    { name: "bestFit", policy: bestFit, freeRoom: () => bestFit.freeRoom() },
  ];
  return all.filter(({ name }) => names.includes(name));
}

function main(): void {
  const [sizeName = "lakeshore", load = "0.9", seed = "1", ...rest] = process
    .argv.slice(2);
  const size = SIZES[sizeName as keyof typeof SIZES];
  const switches = ["outage", "healthy", "checked"];
  const chosen = rest.filter((word) => !switches.includes(word));
  const isChecked = rest.includes("checked");
  const isHealthy = rest.includes("healthy");
  const outage = { fromMs: 3 * HOUR_MS, toMs: 4 * HOUR_MS };
  const jobs = drawWorkload({ size, load: Number(load), seed: Number(seed) });
  const names = chosen.length > 0 ? chosen : ["core", "firstFit", "bestFit"];
  for (const { name, policy, freeRoom, findBroken } of makeContenders(names)) {
    const simulation = new Simulation({
      policy,
      size,
      jobs,
      seed: Number(seed),
      badWorkerFraction: isHealthy ? 0 : BAD_WORKER_FRACTION,
      freeRoom,
      ...(isChecked && findBroken !== undefined ? { findBroken } : {}),
      tailMs: 0,
      ...(rest.includes("outage") ? { outage } : {}),
    });
    const figures = simulation.run().figures();
    console.log(JSON.stringify({
      policy: name,
      size: sizeName,
      load,
      seed,
      jobs: jobs.length,
      ...figures,
    }));
  }
}

main();
