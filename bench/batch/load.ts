/**
 * Seeded loads of batch jobs, shaped like those of the two deployments.
 *
 * @module
 */

import type { RandomSource } from "../../src/base/mod.ts";
import type { JobSpec, StepSpec } from "../../src/process/batch/mod.ts";

/** One kind of job. */
export interface JobKind {
  readonly queue: string;
  readonly priority: number;
  readonly jobsPerS: number;
  readonly worth: number;
  readonly lateWorth: number;
  readonly attempts: number;
  readonly stretch: number;
  readonly slackMs: number;
  readonly workMs: { mean: number; spread: number; limit: number };
  readonly width: { mean: number; spread: number; limit: number };
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly accelerators: readonly number[];
  readonly gangShare: number;
  readonly oneRackShare: number;
  readonly checkpointShare: number;
  readonly dataRackShare: number;
  readonly failureShare: number;
  /** How far estimates are off, as a share either way. */
  readonly estimateError: number;
}

/** A deployment's load. */
export interface Load {
  readonly name: string;
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly stopMs: number;
  readonly kinds: readonly JobKind[];
}

/** A job of the load with the truth about its tasks. */
export interface LoadedJob {
  readonly id: string;
  readonly kind: JobKind;
  readonly arrivesAtMs: number;
  readonly account: string;
  readonly spec: JobSpec;
  /** True durations on a sound worker, by step and task. */
  readonly durationsMs: readonly (readonly number[])[];
}

/** Clearances: short urgent checks, audits and wide scans. */
export const CLEARANCE_LOAD: Load = {
  name: "clearance",
  cpuMilli: 32_000,
  memoryMb: 65_536,
  stopMs: 900,
  kinds: [
    newKind("audit", {
      priority: 1,
      jobsPerS: 0.4,
      worth: 3,
      lateWorth: 0.3,
      slackMs: 1_200,
      workMs: { mean: 11_000, spread: 0.3, limit: 11_000 },
      width: { mean: 5, spread: 0.8, limit: 30 },
      cpuMilli: 13_000,
      memoryMb: 26_000,
      gangShare: 1,
      oneRackShare: 0.6,
      checkpointShare: 0.45,
      dataRackShare: 0.3,
    }),
    newKind("check", {
      priority: 0,
      jobsPerS: 1.5,
      worth: 4,
      lateWorth: 0.8,
      stretch: 1.5,
      slackMs: 500,
      workMs: { mean: 2_500, spread: 0.5, limit: 8_000 },
      width: { mean: 3.4, spread: 0.8, limit: 21 },
      cpuMilli: 3_700,
      memoryMb: 7_600,
      gangShare: 1,
      oneRackShare: 0.8,
    }),
    newKind("scan", {
      priority: 2,
      jobsPerS: 0.47,
      worth: 1,
      lateWorth: 0.1,
      attempts: 3,
      slackMs: 3_000,
      workMs: { mean: 7_600, spread: 0.3, limit: 11_000 },
      width: { mean: 16, spread: 0.8, limit: 94 },
      cpuMilli: 2_800,
      memoryMb: 7_400,
      accelerators: [1],
      checkpointShare: 0.45,
      dataRackShare: 0.12,
      failureShare: 0.05,
    }),
  ],
};

/** Loft rating: quote checks beside simulations and sweeps. */
export const RATING_LOAD: Load = {
  name: "rating",
  cpuMilli: 128_000,
  memoryMb: 262_144,
  stopMs: 400,
  kinds: [
    newKind("simulation", {
      priority: 1,
      jobsPerS: 0.7,
      worth: 3,
      lateWorth: 0.9,
      slackMs: 1_200,
      workMs: { mean: 8_500, spread: 0.3, limit: 11_000 },
      width: { mean: 4, spread: 0.8, limit: 24 },
      cpuMilli: 52_000,
      memoryMb: 75_000,
      gangShare: 1,
      oneRackShare: 0.6,
      checkpointShare: 0.45,
      dataRackShare: 0.3,
      failureShare: 0.05,
    }),
    newKind("quote", {
      priority: 0,
      jobsPerS: 1.9,
      worth: 4,
      lateWorth: 0.8,
      attempts: 3,
      stretch: 1.5,
      slackMs: 500,
      workMs: { mean: 2_500, spread: 0.5, limit: 8_000 },
      width: { mean: 3, spread: 0.8, limit: 18 },
      cpuMilli: 15_000,
      memoryMb: 31_000,
      gangShare: 1,
      oneRackShare: 0.8,
      estimateError: 0.9,
    }),
    newKind("sweep", {
      priority: 2,
      jobsPerS: 0.85,
      worth: 1,
      lateWorth: 0.3,
      attempts: 3,
      slackMs: 3_000,
      workMs: { mean: 6_100, spread: 0.3, limit: 11_000 },
      width: { mean: 12, spread: 0.8, limit: 72 },
      cpuMilli: 11_000,
      memoryMb: 16_000,
      accelerators: [1],
      checkpointShare: 0.45,
      dataRackShare: 0.12,
      estimateError: 0.9,
    }),
  ],
};

function newKind(
  queue: string,
  kind:
    & Pick<
      JobKind,
      | "priority"
      | "jobsPerS"
      | "worth"
      | "lateWorth"
      | "slackMs"
      | "workMs"
      | "width"
      | "cpuMilli"
      | "memoryMb"
    >
    & Partial<JobKind>,
): JobKind {
  return {
    queue,
    attempts: 2,
    stretch: 3,
    accelerators: [1, 2, 4, 8, 8],
    gangShare: 0,
    oneRackShare: 0,
    checkpointShare: 0,
    dataRackShare: 0,
    failureShare: 0.02,
    estimateError: 0.5,
    ...kind,
  };
}

/** What a run of a load is drawn from. */
export interface LoadOptions {
  readonly random: RandomSource;
  readonly lengthMs: number;
  /** How much more of the urgent kind comes in a burst, and when. */
  readonly burst: { factor: number; fromMs: number; untilMs: number };
  readonly racks: readonly string[];
  /** More or less of everything. */
  readonly factor: number;
}

/** All jobs of a run, by their arrival. */
export function drawLoad(load: Load, options: LoadOptions): LoadedJob[] {
  const jobs: LoadedJob[] = [];
  for (const kind of load.kinds) {
    let atMs = 0;
    for (;;) {
      const { burst, factor, random } = options;
      const isBurst = kind.priority === 0 && atMs >= burst.fromMs &&
        atMs < burst.untilMs;
      const perS = kind.jobsPerS * factor * (isBurst ? burst.factor : 1);
      atMs += -Math.log(1 - random.nextUnit()) * 1_000 / perS;
      if (atMs >= options.lengthMs) {
        break;
      }
      jobs.push(drawJob(kind, `${kind.queue}-${jobs.length}`, atMs, options));
    }
  }
  return jobs.sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
}

function drawJob(
  kind: JobKind,
  id: string,
  arrivesAtMs: number,
  { random, racks }: LoadOptions,
): LoadedJob {
  const draw = (share: number) => random.nextUnit() < share;
  const pick = <T>(list: readonly T[]) => list[random.nextInt(list.length)]!;
  const taskCount = Math.max(1, Math.round(drawSkewed(kind.width, random)));
  const workMs = drawSkewed(kind.workMs, random);
  const isGang = draw(kind.gangShare);
  const error = 1 + (2 * random.nextUnit() - 1) * kind.estimateError;
  const step: StepSpec = {
    taskCount,
    demand: {
      cpuMilli: kind.cpuMilli,
      memoryMb: kind.memoryMb,
      accelerators: pick(kind.accelerators),
    },
    estimateMs: Math.max(100, workMs * error),
    afterSteps: [],
    isCheckpointing: draw(kind.checkpointShare),
    isGang,
    prefersOneRack: isGang && draw(kind.oneRackShare),
    isLasting: false,
    requiredLabel: undefined,
    dataRack: !isGang && draw(kind.dataRackShare) ? pick(racks) : undefined,
    tasksPerWorkerLimit: undefined,
  };
  return {
    id,
    kind,
    arrivesAtMs,
    account: `account-${random.nextInt(4)}`,
    spec: { payload: "", steps: [step], recurrence: undefined },
    durationsMs: [
      Array.from(
        { length: taskCount },
        () => workMs * (0.85 + 0.3 * random.nextUnit()),
      ),
    ],
  };
}

/** A log-normal draw about a mean, cut off at a limit. */
function drawSkewed(
  shape: { mean: number; spread: number; limit: number },
  random: RandomSource,
): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.nextUnit())) *
    Math.cos(2 * Math.PI * random.nextUnit());
  const sigma = shape.spread;
  const value = shape.mean * Math.exp(sigma * normal - sigma * sigma / 2);
  return Math.min(shape.limit, value);
}
