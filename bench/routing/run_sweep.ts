/**
 * Runs one sweep: a load on all instances for seconds of simulated time.
 *
 * @module
 */

import { type RandomSource, SeededRandom } from "../../src/base/mod.ts";
import { EventQueue } from "./event_queue.ts";
import {
  CAPACITY_PER_SECOND,
  drawClass,
  LOAD_CLASSES,
  ModelServer,
  SIZES,
} from "./load_model.ts";
import { createInstances, type SweepPolicy } from "./sweep_policy.ts";

/** What one sweep varies. */
export interface SweepOptions {
  readonly policy: SweepPolicy;
  /** Offered load as a multiple of the capacity. */
  readonly load: number;
  readonly seed: number;
  readonly durationMs: number;
  /** Multiplies the service times of the first `slowServers` servers. */
  readonly slowFactor?: number;
  readonly slowServers?: number;
  /** Load of the first instance as a multiple of another instance's. */
  readonly skew?: number;
}

/** Numbers of requests of one class by outcome. */
export interface ClassResult {
  readonly offered: number;
  readonly inDeadline: number;
  readonly late: number;
  /** Requests that ended with an error. */
  readonly refused: number;
}

/** Results of one sweep. */
export interface SweepResult {
  readonly classes: ReadonlyMap<string, ClassResult>;
  /** Answers within the deadline as a fraction of the capacity. */
  readonly goodput: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Most requests that any server had at once, queued ones included. */
  readonly maxServerLoad: number;
}

const WARM_UP_MS = 1_000;

/** How long requests may still end after the last arrival. */
const COOL_DOWN_MS = 5_000;

interface Tally {
  offered: number;
  inDeadline: number;
  late: number;
  refused: number;
}

/** Answers within the deadline, during the measured time. */
interface Goodput {
  answers: number;
}

/** Runs one sweep; the same options give the same result. */
export function runSweep(options: SweepOptions): SweepResult {
  const queue = new EventQueue();
  const { seed } = options;
  const servers = Array.from(
    { length: SIZES.servers },
    (_, at) =>
      new ModelServer({
        serverId: `s${at}`,
        queue,
        random: new SeededRandom({ seed: seed * 1_000 + at }),
        slowFactor: at < (options.slowServers ?? 0)
          ? options.slowFactor ?? 1
          : 1,
      }),
  );
  const instances = createInstances(options.policy, { queue, servers, seed });
  const tallies = new Map(
    LOAD_CLASSES.map(({ name }) => [
      name,
      { offered: 0, inDeadline: 0, late: 0, refused: 0 },
    ]),
  );
  const durations: number[] = [];
  const goodput: Goodput = { answers: 0 };
  const random = new SeededRandom({ seed: seed + 77 });
  const endMs = WARM_UP_MS + options.durationMs;
  const gapMs = 1_000 / (CAPACITY_PER_SECOND * options.load);
  let lastKey = 0;
  const arrive = (): void => {
    const arrivedAtMs = queue.nowMs;
    const loadClass = drawClass(random);
    const tally = arrivedAtMs < WARM_UP_MS
      ? undefined
      : tallies.get(loadClass.name);
    const finish = (isAnswered: boolean): void => {
      const durationMs = queue.nowMs - arrivedAtMs;
      const isInTime = isAnswered && durationMs <= loadClass.timeoutMs;
      const isMeasured = queue.nowMs >= WARM_UP_MS && queue.nowMs < endMs;
      goodput.answers += isInTime && isMeasured ? 1 : 0;
      if (tally !== undefined) {
        count(tally, isAnswered, isInTime);
        if (isAnswered) {
          durations.push(durationMs);
        }
      }
    };
    if (tally !== undefined) {
      tally.offered += 1;
    }
    const key = `r${++lastKey}`;
    const at = drawInstance(random, options.skew ?? 1);
    instances[at]?.submit({ key, loadClass, arrivedAtMs, finish });
    const nextMs = arrivedAtMs - Math.log(1 - random.nextUnit()) * gapMs;
    if (nextMs < endMs) {
      queue.at(nextMs, arrive);
    }
  };
  queue.at(10, arrive);
  queue.runUntil(endMs + COOL_DOWN_MS);
  return summarize(tallies, { durations, servers, options, goodput });
}

function drawInstance(random: RandomSource, skew: number): number {
  const point = random.nextUnit() * (SIZES.instances - 1 + skew);
  return point < skew ? 0 : Math.floor(point - skew) + 1;
}

function count(tally: Tally, isAnswered: boolean, isInTime: boolean): void {
  if (!isAnswered) {
    tally.refused += 1;
  } else if (isInTime) {
    tally.inDeadline += 1;
  } else {
    tally.late += 1;
  }
}

function summarize(
  tallies: ReadonlyMap<string, Tally>,
  run: {
    durations: number[];
    servers: readonly ModelServer[];
    options: SweepOptions;
    goodput: Goodput;
  },
): SweepResult {
  const { durations, servers, options } = run;
  durations.sort((left, right) => left - right);
  const capacity = CAPACITY_PER_SECOND * options.durationMs / 1_000;
  return {
    classes: tallies,
    goodput: run.goodput.answers / capacity,
    p50Ms: durations[Math.floor(durations.length * 0.5)] ?? 0,
    p99Ms: durations[Math.floor(durations.length * 0.99)] ?? 0,
    maxServerLoad: Math.max(...servers.map((server) => server.maxLoad)),
  };
}
