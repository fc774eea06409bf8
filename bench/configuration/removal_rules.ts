/**
 * Compares rules for taking a data centre out while it is partitioned: how much
 * work it completes during the partition, when the removal is reported to the
 * operator as having taken effect, and how many tasks start after that.
 *
 *     node dist/bench/configuration/removal_rules.js
 *
 * Simulates one data centre in virtual time: gangs of one worker arrive at
 * random and start when a worker is free and starts are permitted.
 *
 * @module
 */

import process from "node:process";
import { SeededRandom } from "../../src/base/random_source.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** The data centre, the load and the partition. */
const SCENARIO = {
  workers: 16,
  load: 0.8,
  partitionStartMs: 4 * HOUR_MS,
  partitionMs: HOUR_MS,
  /** From the start of the partition until the removal. */
  removalAfterMs: 10 * MINUTE_MS,
  endMs: 6 * HOUR_MS,
  seeds: 40,
  /**
   * Added to a permission before the removal is reported: a start may still be
   * in flight when the permission expires.
   */
  startInFlightMs: 500,
} as const;

/** How long starts continue, and when the removal is reported. */
interface Rule {
  readonly name: string;
  /** From the start of the partition until starts are no longer permitted. */
  readonly permissionMs: number;
  /** From a removal until it is reported to have taken effect. */
  readonly reportedAfterMs: number;
}

const REMAINING_PARTITION_MS = SCENARIO.partitionMs - SCENARIO.removalAfterMs;

/**
 * Infinite permissions let starts continue throughout the partition. The last
 * rule reports a removal once the partition has ended, when the data centre
 * answers again.
 */
const RULES: readonly Rule[] = [
  { name: "answer at once", permissionMs: Infinity, reportedAfterMs: 0 },
  { name: "stop on silence", permissionMs: 0, reportedAfterMs: 0 },
  makePermissionRule("permission 2 s", 2_000),
  makePermissionRule("permission 1 min", MINUTE_MS),
  makePermissionRule("permission 10 min", 10 * MINUTE_MS),
  makePermissionRule("permission 30 min", 30 * MINUTE_MS),
  makePermissionRule("permission 60 min", HOUR_MS),
  {
    name: "wait for its answer",
    permissionMs: Infinity,
    reportedAfterMs: REMAINING_PARTITION_MS,
  },
];

function makePermissionRule(name: string, permissionMs: number): Rule {
  const expiryMs = permissionMs + SCENARIO.startInFlightMs;
  return {
    name,
    permissionMs,
    reportedAfterMs: Math.min(REMAINING_PARTITION_MS, expiryMs),
  };
}

interface Run {
  /** Worker milliseconds used during the partition. */
  readonly workedMs: number;
  /** Starts after the removal was reported to have taken effect. */
  readonly lateStarts: number;
}

interface Arrival {
  readonly atMs: number;
  readonly runMs: number;
}

function drawArrivals(seed: number, meanRunMs: number): Arrival[] {
  const random = new SeededRandom({ seed });
  const exponential = (mean: number) => -mean * Math.log(1 - random.nextUnit());
  const gapMs = meanRunMs / (SCENARIO.workers * SCENARIO.load);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < SCENARIO.endMs; atMs += exponential(gapMs)) {
    arrivals.push({ atMs, runMs: exponential(meanRunMs) });
  }
  return arrivals;
}

/** When a start that is due at `atMs` may happen; Infinity for never. */
function permittedStartMs(atMs: number, options: {
  readonly rule: Rule | undefined;
  readonly isRemoved: boolean;
}): number {
  const { partitionStartMs, partitionMs } = SCENARIO;
  const healsAtMs = partitionStartMs + partitionMs;
  if (atMs >= healsAtMs && options.isRemoved) {
    return Infinity;
  }
  const expiresAtMs = partitionStartMs +
    (options.rule?.permissionMs ?? Infinity);
  if (atMs < expiresAtMs || atMs >= healsAtMs) {
    return atMs;
  }
  return options.isRemoved ? Infinity : healsAtMs;
}

/** First come, first served on equal workers; no rule means no partition. */
function simulate(
  arrivals: readonly Arrival[],
  options: { readonly rule: Rule | undefined; readonly isRemoved: boolean },
): Run {
  const { partitionStartMs, partitionMs, removalAfterMs } = SCENARIO;
  const healsAtMs = partitionStartMs + partitionMs;
  const reportedAtMs = partitionStartMs + removalAfterMs +
    (options.rule?.reportedAfterMs ?? Infinity);
  const freeAtMs = Array<number>(SCENARIO.workers).fill(0);
  let workedMs = 0;
  let lateStarts = 0;
  for (const { atMs, runMs } of arrivals) {
    freeAtMs.sort((a, b) => a - b);
    const earliestMs = Math.max(atMs, freeAtMs[0] ?? 0);
    const startMs = permittedStartMs(earliestMs, options);
    if (startMs === Infinity) {
      break;
    }
    const endMs = startMs + runMs;
    freeAtMs[0] = endMs;
    const overlapMs = Math.min(endMs, healsAtMs) -
      Math.max(startMs, partitionStartMs);
    workedMs += Math.max(0, overlapMs);
    if (options.isRemoved && startMs > reportedAtMs && startMs < healsAtMs) {
      lateStarts++;
    }
  }
  return { workedMs, lateStarts };
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function printResults(meanRunMs: number): void {
  const minutes = meanRunMs / MINUTE_MS;
  process.stdout.write(`mean run time ${minutes} min\n`);
  const seeds = Array.from({ length: SCENARIO.seeds }, (_, seed) => seed);
  const all = seeds.map((seed) => drawArrivals(seed, meanRunMs));
  const unpartitionedMs = all.map((arrivals) =>
    simulate(arrivals, { rule: undefined, isRemoved: false }).workedMs
  );
  for (const rule of RULES) {
    const inService = all.map((arrivals) =>
      simulate(arrivals, { rule, isRemoved: false })
    );
    const removed = all.map((arrivals) =>
      simulate(arrivals, { rule, isRemoved: true })
    );
    const ratio = meanOf(inService.map((run) => run.workedMs)) /
      meanOf(unpartitionedMs);
    const late = meanOf(removed.map((run) => run.lateStarts));
    process.stdout.write(
      [
        rule.name.padEnd(20),
        `work ${(100 * ratio).toFixed(0).padStart(3)} %`,
        `reported after ${
          (rule.reportedAfterMs / 1_000).toFixed(1).padStart(7)
        } s`,
        `late starts ${late.toFixed(1).padStart(6)}`,
      ].join("  ") + "\n",
    );
  }
}

for (const meanRunMs of [5 * MINUTE_MS, 30 * MINUTE_MS, 3 * HOUR_MS]) {
  printResults(meanRunMs);
}
