/**
 * Compares the scheduler with the baselines on the same workload. Arguments:
 * the name of the size, the load and the seed; then, optionally, `outage` (the
 * data centre is out for an hour), `healthy` (no worker is faulty), `checked`
 * (checks the core's invariants during the run) and the names of the policies.
 * Prints one JSON line for each policy.
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
const FAULTY_WORKER_FRACTION = 0.05;

interface PolicyUnderTest {
  readonly name: string;
  readonly policy: SchedulerPolicy;
  readonly freeCapacity: () => { total: number; largest: number };
  readonly findViolations?: () => readonly string[];
}

function makePolicies(names: readonly string[]): PolicyUnderTest[] {
  const core = new SchedulerCore({ dataCentre: DATA_CENTRE });
  const firstFit = new BaselinePolicy({
    kind: "firstFit",
    dataCentre: DATA_CENTRE,
  });
  const bestFit = new BaselinePolicy({
    kind: "bestFit",
    dataCentre: DATA_CENTRE,
  });
  const all: PolicyUnderTest[] = [
    {
      name: "core",
      policy: core,
      findViolations: () => core.findViolations(),
      freeCapacity: () => {
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
      freeCapacity: () => firstFit.freeCapacity(),
    },
    {
      name: "bestFit",
      policy: bestFit,
      freeCapacity: () => bestFit.freeCapacity(),
    },
  ];
  return all.filter(({ name }) => names.includes(name));
}

function main(): void {
  const [sizeName = "lakeshore", load = "0.9", seed = "1", ...rest] = process
    .argv.slice(2);
  const size = SIZES[sizeName as keyof typeof SIZES];
  const flags = ["outage", "healthy", "checked"];
  const requestedNames = rest.filter((word) => !flags.includes(word));
  const isChecked = rest.includes("checked");
  const isHealthy = rest.includes("healthy");
  const outage = { fromMs: 3 * HOUR_MS, toMs: 4 * HOUR_MS };
  const jobs = drawWorkload({ size, load: Number(load), seed: Number(seed) });
  const names = requestedNames.length > 0
    ? requestedNames
    : ["core", "firstFit", "bestFit"];
  for (
    const {
      name,
      policy,
      freeCapacity,
      findViolations,
    } of makePolicies(names)
  ) {
    const simulation = new Simulation({
      policy,
      size,
      jobs,
      seed: Number(seed),
      faultyWorkerFraction: isHealthy ? 0 : FAULTY_WORKER_FRACTION,
      freeCapacity,
      ...(isChecked && findViolations !== undefined ? { findViolations } : {}),
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
