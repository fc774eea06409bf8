/**
 * Measures the slopes that docs/CAPACITY.md calculates with, and writes them to
 * docs/report/capacity.json. Run it from the repository's root by
 * `npm run capacity -- --seed N`.
 *
 * @module
 */

import { once } from "node:events";
import { mkdir, writeFile } from "node:fs/promises";
import process from "node:process";
import { parseArgs } from "node:util";
import { Worker } from "node:worker_threads";
import { type IdleDaemon, measureIdleDaemon } from "./idle_daemon.ts";

const FOLDER = "docs/report";
const STEPS = 1_500;

/** Heap limits of the thread that runs a daemon, in MiB. */
const THREAD_LIMITS = {
  maxOldGenerationSizeMb: 24,
  maxYoungGenerationSizeMb: 2,
};

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { seed: { type: "string", default: "1" } },
  });
  const seed = Number(values.seed);
  const runtime = runtimeMemory();
  const daemon = await measureIdleDaemon();
  const beforeThread = runtimeMemory();
  const daemonInThread = await measureInThread();
  const figures = {
    seed,
    node: process.version,
    runtime,
    daemon,
    daemonInThread: { limits: THREAD_LIMITS, beforeThread, ...daemonInThread },
    ...await measureSlopes(seed),
  };
  await mkdir(FOLDER, { recursive: true });
  const text = JSON.stringify(figures, null, 2) + "\n";
  await writeFile(`${FOLDER}/capacity.json`, text);
  process.stdout.write(text);
}

function runtimeMemory() {
  globalThis.gc?.();
  const { rss, heapUsed } = process.memoryUsage();
  return { residentBytes: rss, heapBytes: heapUsed };
}

async function measureInThread(): Promise<IdleDaemon> {
  const worker = new Worker(new URL("./daemon_thread.js", import.meta.url), {
    resourceLimits: THREAD_LIMITS,
  });
  const [figures] = await once(worker, "message");
  await worker.terminate();
  return figures as IdleDaemon;
}

/** Imports its modules dynamically, to keep them out of the memory readings. */
async function measureSlopes(seed: number) {
  const scheduler = await import("./scheduler_states.ts");
  const traffic = await import("./worker_traffic.ts");
  const others = await import("./other_states.ts");
  return {
    schedulerHeap: await scheduler.measureSchedulerHeap(),
    otherHeap: await others.measureOtherHeap(),
    schedulerDecisions: await scheduler.timeDecisions({ seed, steps: STEPS }),
    workerTraffic: await traffic.measureWorkerTraffic(),
    configuration: others.measureConfiguration(),
    replication: await others.measureReplication(),
    membership: others.measureMembership(),
  };
}

await main();
