/**
 * Measures the heap of the scheduler core by workers, waiting jobs, running
 * tasks and client accounts, varying one of them at a time, and its decision
 * times.
 *
 * @module
 */

import {
  type JobSpecification,
  SchedulerCore,
  type SchedulerEvent,
} from "../../src/process/scheduler/core/mod.ts";
import {
  type CostFigures,
  CostRun,
  distributionsByKind,
} from "../scheduler/cost_run.ts";
import {
  type BenchSize,
  DATA_CENTRE,
  documentFor,
  SIZES,
} from "../scheduler/workload.ts";
import { measureHeapBySize, type Series } from "./heap.ts";

/** The heap of each kind of entry in the core's state. */
export interface SchedulerHeap {
  readonly perWorker: Series;
  readonly perWaitingJob: Series;
  readonly perRunningTask: Series;
  readonly perClientAccount: Series;
}

const RACK_COUNTS = [12, 23, 45, 90, 180];
const WORKERS_PER_RACK = 8;
const EVENT_TIME_MS = 1_000;
const PERMITTED_UNTIL_MS = 600_000;
const TASKS_PER_JOB = 8;

/** Measures the heap of the core's state. */
export async function measureSchedulerHeap(): Promise<SchedulerHeap> {
  return {
    perWorker: await measureHeapBySize(
      [180, 360, 720, 1_440],
      (workers) => makeCore({ workers, clientAccounts: 4 }),
    ),
    perWaitingJob: await measureHeapBySize(
      [500, 1_000, 2_000, 4_000],
      (jobs) => submitJobs(makeCore({ workers: 8, clientAccounts: 4 }), jobs),
    ),
    perRunningTask: await measureHeapBySize(
      [1_600, 3_200, 6_400, 12_800],
      (tasks) =>
        submitJobs(
          makeCore({ workers: 720, clientAccounts: 4 }),
          tasks / TASKS_PER_JOB,
        ),
    ),
    perClientAccount: await measureHeapBySize(
      [45, 90, 180, 360],
      (clientAccounts) => makeCore({ workers: 720, clientAccounts }),
    ),
  };
}

/** The figures of one run with the distributions of its decision times. */
export type TimedFigures = CostFigures & {
  readonly microseconds: ReturnType<typeof distributionsByKind>;
};

/** Times the decisions of a full data centre at several sizes. */
export async function timeDecisions(
  options: { seed: number; steps: number },
): Promise<TimedFigures[]> {
  const figures: TimedFigures[] = [];
  for (const racks of RACK_COUNTS) {
    const size = {
      ...SIZES.twoYears,
      racks,
      clientAccounts: Math.min(180, racks * 2),
    };
    const run = new CostRun({ size, seed: options.seed });
    const sizes = run.run(options.steps);
    figures.push({
      ...sizes,
      microseconds: distributionsByKind([run.timedEvents]),
    });
    await new Promise((resolve) => setImmediate(resolve));
  }
  return figures;
}

function makeCore(
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
    atMs: EVENT_TIME_MS,
    configuration: {
      version: 1,
      acceptedAtMs: EVENT_TIME_MS,
      document: documentFor(size),
    },
  });
  core.handle({
    kind: "startPermissionExtended",
    atMs: EVENT_TIME_MS,
    permittedUntilMs: PERMITTED_UNTIL_MS,
  });
  for (let at = 0; at < options.workers; at++) {
    core.handle(makeJoinEvent(size, at));
  }
  return core;
}

function makeJoinEvent(size: BenchSize, at: number): SchedulerEvent {
  const rack = Math.floor(at / WORKERS_PER_RACK);
  return {
    kind: "workerJoined",
    atMs: EVENT_TIME_MS,
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

/** Submits jobs without accelerators and starts those that fit. */
function submitJobs(core: SchedulerCore, jobs: number): SchedulerCore {
  for (let at = 0; at < jobs; at++) {
    core.handle({
      kind: "jobSubmitted",
      atMs: EVENT_TIME_MS,
      job: makeJob(at),
    });
  }
  const decisions = core.handle({
    kind: "clockTicked",
    atMs: EVENT_TIME_MS + 250,
  });
  for (const decision of decisions) {
    if (decision.kind === "startGang") {
      const { jobId, attempt } = decision;
      core.handle({
        kind: "gangStarted",
        atMs: EVENT_TIME_MS + 300,
        jobId,
        attempt,
      });
    }
  }
  return core;
}

function makeJob(at: number): JobSpecification {
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
