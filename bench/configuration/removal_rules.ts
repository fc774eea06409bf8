/**
 * Compares rules for taking a data centre out while it is cut off: how much
 * work it completes through a partition, when the operator is told that the
 * removal holds, and how many tasks start after that.
 *
 *     node dist/bench/configuration/removal_rules.js
 *
 * A model of one data centre in virtual time: gangs of one worker arrive at
 * random and start while workers are free and starts are permitted.
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
  /** After the start of the partition. */
  removalAfterMs: 10 * MINUTE_MS,
  endMs: 6 * HOUR_MS,
  seeds: 40,
  /** What the confirmation adds to a permission. */
  startInFlightMs: 500,
} as const;

/** A rule: how long starts go on, and when the removal is called accepted. */
interface Rule {
  readonly name: string;
  /** How long after the cut the data centre may start tasks. */
  readonly permissionMs: number;
  /** How long after a removal it is called accepted. */
  readonly answerMs: number;
}

const CUT_LEFT_MS = SCENARIO.partitionMs - SCENARIO.removalAfterMs;

const RULES: readonly Rule[] = [
  { name: "answer at once", permissionMs: Infinity, answerMs: 0 },
  { name: "stop on silence", permissionMs: 0, answerMs: 0 },
  permission("permission 2 s", 2_000),
  permission("permission 1 min", MINUTE_MS),
  permission("permission 10 min", 10 * MINUTE_MS),
  permission("permission 30 min", 30 * MINUTE_MS),
  permission("permission 60 min", HOUR_MS),
  {
    name: "wait for its answer",
    permissionMs: Infinity,
    answerMs: CUT_LEFT_MS,
  },
];

function permission(name: string, permissionMs: number): Rule {
  const lapseMs = permissionMs + SCENARIO.startInFlightMs;
  return { name, permissionMs, answerMs: Math.min(CUT_LEFT_MS, lapseMs) };
}

interface Run {
  /** Worker milliseconds done during the partition. */
  readonly workedMs: number;
  /** Starts after the operator was told that the removal holds. */
  readonly lateStarts: number;
}

interface Arrival {
  readonly atMs: number;
  readonly runMs: number;
}

function arrivalsOf(seed: number, meanRunMs: number): Arrival[] {
  const random = new SeededRandom({ seed });
  const exponential = (mean: number) => -mean * Math.log(1 - random.nextUnit());
  const gapMs = meanRunMs / (SCENARIO.workers * SCENARIO.load);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < SCENARIO.endMs; atMs += exponential(gapMs)) {
    arrivals.push({ atMs, runMs: exponential(meanRunMs) });
  }
  return arrivals;
}

/** When a start at `atMs` may go ahead; the same moment when permitted. */
function permittedAtMs(atMs: number, options: {
  readonly rule: Rule | undefined;
  readonly isRemoved: boolean;
}): number {
  const { partitionStartMs, partitionMs } = SCENARIO;
  const healedMs = partitionStartMs + partitionMs;
  if (atMs >= healedMs && options.isRemoved) {
    return Infinity;
  }
  const lapseMs = partitionStartMs + (options.rule?.permissionMs ?? Infinity);
  if (atMs < lapseMs || atMs >= healedMs) {
    return atMs;
  }
  return options.isRemoved ? Infinity : healedMs;
}

/** First come, first served on like workers; no rule means no partition. */
function simulate(
  arrivals: readonly Arrival[],
  options: { readonly rule: Rule | undefined; readonly isRemoved: boolean },
): Run {
  const { partitionStartMs, partitionMs, removalAfterMs } = SCENARIO;
  const healedMs = partitionStartMs + partitionMs;
  const toldMs = partitionStartMs + removalAfterMs +
    (options.rule?.answerMs ?? Infinity);
  const freeAtMs = Array<number>(SCENARIO.workers).fill(0);
  let workedMs = 0;
  let lateStarts = 0;
  for (const { atMs, runMs } of arrivals) {
    freeAtMs.sort((a, b) => a - b);
    const earliestMs = Math.max(atMs, freeAtMs[0] ?? 0);
    const startMs = permittedAtMs(earliestMs, options);
    if (startMs === Infinity) {
      break;
    }
    const endMs = startMs + runMs;
    freeAtMs[0] = endMs;
    const overlapMs = Math.min(endMs, healedMs) -
      Math.max(startMs, partitionStartMs);
    workedMs += Math.max(0, overlapMs);
    if (options.isRemoved && startMs > toldMs && startMs < healedMs) {
      lateStarts++;
    }
  }
  return { workedMs, lateStarts };
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function reportFor(meanRunMs: number): void {
  const minutes = meanRunMs / MINUTE_MS;
  process.stdout.write(`mean run time ${minutes} min\n`);
  const seeds = Array.from({ length: SCENARIO.seeds }, (_, seed) => seed);
  const all = seeds.map((seed) => arrivalsOf(seed, meanRunMs));
  const whole = all.map((arrivals) =>
    simulate(arrivals, { rule: undefined, isRemoved: false }).workedMs
  );
  for (const rule of RULES) {
    const kept = all.map((arrivals) =>
      simulate(arrivals, { rule, isRemoved: false })
    );
    const removed = all.map((arrivals) =>
      simulate(arrivals, { rule, isRemoved: true })
    );
    const ratio = meanOf(kept.map((run) => run.workedMs)) / meanOf(whole);
    const late = meanOf(removed.map((run) => run.lateStarts));
    process.stdout.write(
      [
        rule.name.padEnd(20),
        `work ${(100 * ratio).toFixed(0).padStart(3)} %`,
        `told after ${(rule.answerMs / 1_000).toFixed(1).padStart(7)} s`,
        `late starts ${late.toFixed(1).padStart(6)}`,
      ].join("  ") + "\n",
    );
  }
}

for (const meanRunMs of [5 * MINUTE_MS, 30 * MINUTE_MS, 3 * HOUR_MS]) {
  reportFor(meanRunMs);
}
