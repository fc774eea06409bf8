/**
 * The heap of the scheduler core by workers, waiting jobs, running tasks and
 * client accounts, one of them growing at a time, and its decision times.
 *
 * @module
 */

import {
  type JobSpecification,
  SchedulerCore,
  type SchedulerEvent,
} from "../../src/process/scheduler/core/mod.ts";
import { type CostFigures, CostRun, spreadsOf } from "../scheduler/cost_run.ts";
import {
  type BenchSize,
  DATA_CENTRE,
  documentFor,
  SIZES,
} from "../scheduler/workload.ts";
import { type Series, weighSizes } from "./heap.ts";

/** The heap of each part of the core's state. */
export interface SchedulerHeap {
  readonly perWorker: Series;
  readonly perWaitingJob: Series;
  readonly perRunningTask: Series;
  readonly perClientAccount: Series;
}

const RACKS = [12, 23, 45, 90, 180];
const WORKERS_PER_RACK = 8;
const AT_MS = 1_000;
const PERMITTED_UNTIL_MS = 600_000;
const TASKS_PER_JOB = 8;

/** Weighs the core's state. */
export async function weighScheduler(): Promise<SchedulerHeap> {
  return {
    perWorker: await weighSizes(
      [180, 360, 720, 1_440],
      (workers) => coreOf({ workers, clientAccounts: 4 }),
    ),
    perWaitingJob: await weighSizes(
      [500, 1_000, 2_000, 4_000],
      (jobs) => submitted(coreOf({ workers: 8, clientAccounts: 4 }), jobs),
    ),
    perRunningTask: await weighSizes(
      [1_600, 3_200, 6_400, 12_800],
      (tasks) =>
        submitted(
          coreOf({ workers: 720, clientAccounts: 4 }),
          tasks / TASKS_PER_JOB,
        ),
    ),
    perClientAccount: await weighSizes(
      [45, 90, 180, 360],
      (clientAccounts) => coreOf({ workers: 720, clientAccounts }),
    ),
  };
}

/** The figures of one size with the spread of its times, of one run. */
export type TimedFigures = CostFigures & {
  readonly microseconds: ReturnType<typeof spreadsOf>;
};

/** Decisions of a full data centre, timed at several sizes. */
export async function timeScheduler(
  options: { seed: number; steps: number },
): Promise<TimedFigures[]> {
  const figures: TimedFigures[] = [];
  for (const racks of RACKS) {
    const size = {
      ...SIZES.twoYears,
      racks,
      clientAccounts: Math.min(180, racks * 2),
    };
    const run = new CostRun({ size, seed: options.seed });
    const sizes = run.run(options.steps);
    figures.push({ ...sizes, microseconds: spreadsOf([run.times]) });
    await new Promise((resolve) => setImmediate(resolve));
  }
  return figures;
}

function coreOf(
  options: { workers: number; clientAccounts: number },
): SchedulerCore {
  const size: BenchSize = {
    ...SIZES.twoYears,
    racks: Math.ceil(options.workers / WORKERS_PER_RACK),
    clientAccounts: options.clientAccounts,
  };
  const core = new SchedulerCore({ dataCentre: DATA_CENTRE });
  core.handle({
    kind: "configurationChanged",
    atMs: AT_MS,
    configuration: {
      version: 1,
      acceptedAtMs: AT_MS,
      document: documentFor(size),
    },
  });
  core.handle({
    kind: "startPermissionExtended",
    atMs: AT_MS,
    permittedUntilMs: PERMITTED_UNTIL_MS,
  });
  for (let at = 0; at < options.workers; at++) {
    core.handle(joinOf(size, at));
  }
  return core;
}

function joinOf(size: BenchSize, at: number): SchedulerEvent {
  const rack = Math.floor(at / WORKERS_PER_RACK);
  return {
    kind: "workerJoined",
    atMs: AT_MS,
    worker: {
      workerId: `worker-${rack}-${at % WORKERS_PER_RACK}`,
      rack: `rack-${rack}`,
      cores: size.cores,
      memoryBytes: size.memoryBytes,
      accelerators: size.accelerators,
    },
    running: [],
  };
}

/** Submits jobs without accelerators; what fits is started. */
function submitted(core: SchedulerCore, jobs: number): SchedulerCore {
  for (let at = 0; at < jobs; at++) {
    core.handle({ kind: "jobSubmitted", atMs: AT_MS, job: jobOf(at) });
  }
  const decisions = core.handle({ kind: "clockTicked", atMs: AT_MS + 250 });
  for (const decision of decisions) {
    if (decision.kind === "startGang") {
      const { jobId, attempt } = decision;
      core.handle({ kind: "gangStarted", atMs: AT_MS + 300, jobId, attempt });
    }
  }
  return core;
}

function jobOf(at: number): JobSpecification {
  return {
    jobId: `job-${at}`,
    clientAccount: `account-${at % 4}`,
    jobClass: "overnight",
    tasks: TASKS_PER_JOB,
    resources: { cores: 4, memoryBytes: 1e9, accelerators: 0 },
    adjacency: "any",
    declaredRunMs: 3_600_000,
    dataCentres: [],
    canCheckpoint: true,
    command: [],
  };
}
