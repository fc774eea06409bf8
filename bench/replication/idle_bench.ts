/**
 * Measures processor time and memory of idle members: one group of nine voters
 * in one process.
 *
 *     node --expose-gc dist/bench/replication/idle_bench.js
 *
 * @module
 */

import process from "node:process";
import { BenchGroup } from "./bench_group.ts";

const MEMBERS = 9;
const MEASUREMENT_MS = 10_000;

async function main(): Promise<void> {
  const collect = (globalThis as { gc?: () => void }).gc;
  collect?.();
  const before = process.memoryUsage();
  const group = await BenchGroup.open({
    members: MEMBERS,
    seed: 11,
    hasDisks: false,
  });
  await group.waitForLeader();
  const startUsage = process.cpuUsage();
  await new Promise((resolve) => setTimeout(resolve, MEASUREMENT_MS));
  const usage = process.cpuUsage(startUsage);
  collect?.();
  const after = process.memoryUsage();
  const busyMs = (usage.user + usage.system) / 1_000;
  const percent = busyMs * 100 / MEASUREMENT_MS;
  const heapBytes = after.heapUsed - before.heapUsed;
  console.log(
    `${MEMBERS} idle voters: ${percent.toFixed(2)} % of a core together, ` +
      `${(percent / MEMBERS).toFixed(3)} % each; ` +
      `${(heapBytes / MEMBERS / 1_024).toFixed(0)} KiB of heap each`,
  );
  await group.close();
}

await main();
