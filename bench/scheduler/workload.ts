/**
 * Workloads: jobs drawn at random from a seed.
 *
 * @module
 */

import { SeededRandom } from "../../src/base/mod.ts";
import type { JobSpecification } from "../../src/process/scheduler/core/mod.ts";
import {
  type Document,
  documentSchema,
  type Guarantee,
} from "../../src/version/document/document.ts";

/** The ID of the simulated data centre. */
export const DATA_CENTRE = "bench";

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

/** A size of data centre, and the duration of its workload in hours. */
export interface BenchSize {
  readonly name: string;
  readonly racks: number;
  readonly workersPerRack: number;
  readonly accelerators: number;
  readonly cores: number;
  readonly memoryBytes: number;
  readonly clientAccounts: number;
  readonly hours: number;
  /** Multiplies the weight of gangs of 32 and 64 tasks. */
  readonly largeGangFactor: number;
}

/** Both users' sizes of one data centre, and the size expected in two years. */
export const SIZES = {
  lakeshore: {
    name: "lakeshore",
    racks: 8,
    workersPerRack: 8,
    accelerators: 8,
    cores: 32,
    memoryBytes: 64e9,
    clientAccounts: 4,
    hours: 24,
    largeGangFactor: 1,
  },
  murshidabad: {
    name: "murshidabad",
    racks: 8,
    workersPerRack: 8,
    accelerators: 8,
    cores: 128,
    memoryBytes: 256e9,
    clientAccounts: 4,
    hours: 24,
    largeGangFactor: 1.5,
  },
  twoYears: {
    name: "twoYears",
    racks: 90,
    workersPerRack: 8,
    accelerators: 8,
    cores: 128,
    memoryBytes: 256e9,
    clientAccounts: 180,
    hours: 8,
    largeGangFactor: 1,
  },
} as const satisfies Record<string, BenchSize>;

/** A job with its actual behaviour, which the scheduler doesn't know. */
export interface WorkloadJob {
  readonly specification: JobSpecification;
  readonly submittedAtMs: number;
  readonly actualRunMs: number;
  /** When its submitter cancels it, if it still can; undefined for never. */
  readonly cancelledAtMs: number | undefined;
  /** Whether it fails wherever it runs. */
  readonly alwaysFails: boolean;
}

/** Options of {@link drawWorkload}. */
export interface WorkloadOptions {
  readonly size: BenchSize;
  readonly seed: number;
  /** Work offered, as a fraction of the capacity of all accelerators. */
  readonly load: number;
}

interface JobShape {
  readonly weight: number;
  readonly tasks: number;
  readonly accelerators: number;
  readonly adjacency: JobSpecification["adjacency"];
}

const JOB_SHAPES: readonly JobShape[] = [
  { weight: 30, tasks: 1, accelerators: 1, adjacency: "worker" },
  { weight: 25, tasks: 1, accelerators: 4, adjacency: "worker" },
  { weight: 14, tasks: 1, accelerators: 8, adjacency: "worker" },
  { weight: 16, tasks: 8, accelerators: 1, adjacency: "rack" },
  { weight: 8, tasks: 32, accelerators: 1, adjacency: "rack" },
  { weight: 4, tasks: 64, accelerators: 1, adjacency: "rack" },
];

/** Weights of the job classes, and the ranges of their jobs' run times. */
const JOB_CLASSES = {
  urgent: { weight: 15, fromMs: MINUTE_MS / 2, toMs: 5 * MINUTE_MS },
  dispatch: { weight: 40, fromMs: 5 * MINUTE_MS, toMs: 40 * MINUTE_MS },
  overnight: { weight: 45, fromMs: 20 * MINUTE_MS, toMs: 3 * HOUR_MS },
} as const;

type ClassName = keyof typeof JOB_CLASSES;

/** Urgent jobs have one of the first four shapes, of at most 8 tasks. */
const URGENT_SHAPES = JOB_SHAPES.slice(0, 4);
const BURST_PERIOD_MS = 2 * HOUR_MS;
const BURST_JOBS_FRACTION = 0.25;
const CANCELLATION_PERIOD_MS = 3 * HOUR_MS;
const CANCELLED_FRACTION = 0.08;
const ALWAYS_FAILING_FRACTION = 0.01;
/** Declared run times are wrong by up to this factor, in either direction. */
const DECLARED_FACTOR_LIMIT = 10;
/** Half of all accelerators are guaranteed, in whole workers. */
const GUARANTEED_FRACTION = 0.5;

/** Draws the jobs of the whole duration, in order of submission. */
export function drawWorkload(options: WorkloadOptions): WorkloadJob[] {
  const { size, load } = options;
  const random = new SeededRandom({ seed: options.seed });
  const total = size.racks * size.workersPerRack * size.accelerators;
  const endMs = size.hours * HOUR_MS;
  const targetWork = total * endMs * load;
  const jobs: WorkloadJob[] = [];
  let work = 0;
  while (work < targetWork) {
    const job = drawJob(random, { ...options, order: jobs.length, endMs });
    const { tasks, resources } = job.specification;
    work += tasks * resources.accelerators * job.actualRunMs;
    jobs.push(job);
  }
  return jobs.sort((left, right) => left.submittedAtMs - right.submittedAtMs);
}

/** The configuration document: hardware, job classes and guarantees. */
export function documentFor(size: BenchSize): Document {
  const total = size.racks * size.workersPerRack;
  const workersPerAccount = Math.max(
    1,
    Math.floor(total * GUARANTEED_FRACTION / size.clientAccounts),
  );
  const clientAccounts = Object.fromEntries(
    Array.from({ length: size.clientAccounts }, (_, at) => [accountName(at), {
      owner: "team",
      borrowingWeight: 1 + at % 3,
      guarantees: guaranteesFor(size, workersPerAccount),
    }]),
  );
  const racks = Array.from({ length: size.racks }, (_, at) => ({
    name: `rack-${at}`,
    workers: size.workersPerRack,
    coresPerWorker: size.cores,
    memoryBytesPerWorker: size.memoryBytes,
    acceleratorsPerWorker: size.accelerators,
  }));
  return documentSchema.parse({
    formatVersion: 1,
    clientAccounts,
    jobClasses: {
      urgent: { owner: "team", rank: 0, startTargetMs: 1_900 },
      dispatch: { owner: "team", rank: 1, stopFactor: 50 },
      overnight: { owner: "team", rank: 5, stopFactor: 50 },
    },
    dataCentres: {
      [DATA_CENTRE]: { owner: "team", region: "bench", racks },
    },
  });
}

function guaranteesFor(size: BenchSize, workers: number): Guarantee[] {
  const shape = {
    dataCentre: DATA_CENTRE,
    racks: 1,
    acceleratorsPerWorker: size.accelerators,
  };
  const wholeRacks = Math.floor(workers / size.workersPerRack);
  const remainder = workers % size.workersPerRack;
  const guarantees: Guarantee[] = [];
  if (wholeRacks > 0) {
    guarantees.push({
      ...shape,
      workersPerRack: size.workersPerRack,
      count: wholeRacks,
    });
  }
  if (remainder > 0) {
    guarantees.push({ ...shape, workersPerRack: remainder, count: 1 });
  }
  return guarantees;
}

function drawJob(
  random: SeededRandom,
  options: WorkloadOptions & { order: number; endMs: number },
): WorkloadJob {
  const { size, endMs, order } = options;
  const jobClass = pickWeighted(
    random,
    Object.entries(JOB_CLASSES),
  )[0] as ClassName;
  const shapes = jobClass === "urgent" ? URGENT_SHAPES : JOB_SHAPES;
  const shape = pickWeighted(
    random,
    shapes.map((each) => [each, weightFor(each, size)] as const),
  );
  const { fromMs, toMs } = JOB_CLASSES[jobClass];
  const actualRunMs = Math.round(logUniform(random, fromMs, toMs));
  const factor = logUniform(
    random,
    1 / DECLARED_FACTOR_LIMIT,
    DECLARED_FACTOR_LIMIT,
  );
  const coresShare = size.cores * shape[0].accelerators / size.accelerators;
  const memoryShare = size.memoryBytes * shape[0].accelerators /
    size.accelerators;
  const submittedAtMs = drawSubmissionTime(random, endMs);
  // Squared, so that the first client accounts submit most of the jobs.
  const account = Math.floor(random.nextUnit() ** 2 * size.clientAccounts);
  return {
    submittedAtMs,
    actualRunMs,
    alwaysFails: random.nextUnit() < ALWAYS_FAILING_FRACTION,
    cancelledAtMs: drawCancellationTime(random, submittedAtMs),
    specification: {
      jobId: `job-${order}`,
      clientAccount: accountName(account),
      jobClass,
      tasks: shape[0].tasks,
      resources: {
        cores: Math.max(0.1, coresShare * logUniform(random, 0.1, 1)),
        memoryBytes: Math.round(memoryShare * logUniform(random, 0.1, 1)),
        accelerators: shape[0].accelerators,
      },
      adjacency: shape[0].adjacency,
      declaredRunMs: Math.max(1, Math.round(actualRunMs * factor)),
      dataCentres: [],
      canCheckpoint: random.nextUnit() < 0.9,
      command: [],
    },
  };
}

function weightFor(shape: JobShape, size: BenchSize): { weight: number } {
  const factor = shape.tasks >= 32 ? size.largeGangFactor : 1;
  return { weight: shape.weight * factor };
}

/** A quarter of the jobs arrive in bursts: the first minute of each 2 hours. */
function drawSubmissionTime(random: SeededRandom, endMs: number): number {
  const atMs = Math.floor(random.nextUnit() * endMs);
  if (random.nextUnit() >= BURST_JOBS_FRACTION) {
    return atMs;
  }
  return Math.floor(atMs / BURST_PERIOD_MS) * BURST_PERIOD_MS +
    random.nextInt(MINUTE_MS);
}

/** Some jobs are cancelled, in waves of 2 s after each multiple of 3 hours. */
function drawCancellationTime(
  random: SeededRandom,
  submittedAtMs: number,
): number | undefined {
  const waveAtMs = (Math.floor(submittedAtMs / CANCELLATION_PERIOD_MS) + 1) *
    CANCELLATION_PERIOD_MS;
  return random.nextUnit() < CANCELLED_FRACTION
    ? waveAtMs + random.nextInt(2_000)
    : undefined;
}

function accountName(at: number): string {
  return `account-${at}`;
}

function logUniform(random: SeededRandom, from: number, to: number): number {
  return from * (to / from) ** random.nextUnit();
}

function pickWeighted<T extends readonly [unknown, { weight: number }]>(
  random: SeededRandom,
  entries: readonly T[],
): T {
  const total = entries.reduce((sum, [, { weight }]) => sum + weight, 0);
  let left = random.nextUnit() * total;
  for (const entry of entries) {
    left -= entry[1].weight;
    if (left < 0) {
      return entry;
    }
  }
  return entries[entries.length - 1] as T;
}
