/**
 * Runs random histories of the batch scheduler and checks their outcome.
 *
 * @module
 */

import type { EventLog, RandomSource } from "../../../base/mod.ts";
import { JobPhase } from "../job_record.ts";
import type { JobSpec, StepSpec } from "../job_spec.ts";
import { BatchSimulation } from "./batch_simulation.ts";
import { takeNetworkStep } from "./network_steps.ts";
import { restartBehindCut } from "./restart_steps.ts";

/** Options of a history. */
export interface HistoryOptions {
  readonly seed: number;
  readonly steps: number;
  /** Whether some steps are those of {@link takeNetworkStep}. */
  readonly hasNetworkSteps?: boolean;
  /**
   * Whether some steps are those of {@link restartBehindCut}, and workers carry out
   * late calls that were meant for their former lives.
   */
  readonly hasRestarts?: boolean;
  /**
   * Whether jobs are of accounts with limits and weights, some steps are versions
   * that halve the limits or raise them again, and two workers run at half speed.
   */
  readonly hasLimits?: boolean;
  /** Receives the leaders' events, to analyse a failing history. */
  readonly events?: EventLog;
}

/** The violations in a history, and its steps. */
export interface HistoryResult {
  readonly violations: readonly string[];
  readonly steps: readonly string[];
  readonly starts: number;
  /** As in {@link LimitOracle}. */
  readonly highestShareOfLimit: number;
}

/** The number of workers in a history. */
export const WORKERS = 4;
const SLOW_WORKERS = ["w1", "w2"];
const ACCOUNTS = ["a", "b"];

/** Long enough for leases to expire and for every job to end. */
const SETTLE_MS = 120_000;

/** Runs one history. */
export async function runHistory(
  options: HistoryOptions,
): Promise<HistoryResult> {
  const { hasNetworkSteps = false, hasRestarts = false, hasLimits = false } =
    options;
  const simulation = new BatchSimulation({
    ...options,
    workers: WORKERS,
    areLateCallsHeld: hasRestarts,
  });
  await simulation.open();
  if (hasLimits) {
    limitTo(simulation, 1);
    SLOW_WORKERS.forEach((id) => simulation.pool.setPace(id, { speed: 0.5 }));
  }
  const steps: string[] = [];
  const cancelled = new Set<string>();
  for (let number = 0; number < options.steps; number++) {
    const { random } = simulation;
    if (hasLimits) {
      simulation.accounts.set(
        `job${number}`,
        ACCOUNTS[random.nextInt(ACCOUNTS.length)]!,
      );
      if (random.nextInt(8) === 0) {
        const share = random.nextInt(2) === 0 ? 0.5 : 1;
        limitTo(simulation, share);
        await simulation.advance(random.nextInt(300));
        steps.push(`limits times ${share}`);
        continue;
      }
    }
    if (hasRestarts && random.nextInt(3) === 0) {
      const worker = `w${random.nextInt(WORKERS)}`;
      steps.push(await restartBehindCut(simulation, worker));
      continue;
    }
    const isNetworkStep = hasNetworkSteps && random.nextInt(3) === 0;
    steps.push(
      isNetworkStep
        ? await takeNetworkStep(simulation, {
          worker: `w${random.nextInt(WORKERS)}`,
          cancelled,
        })
        : await takeStep(simulation, { number, cancelled }),
    );
    if (simulation.pool.violations.length > 0) {
      break;
    }
  }
  simulation.pool.heal();
  if (hasLimits) {
    limitTo(simulation, 1);
  }
  await simulation.advance(SETTLE_MS);
  const violations = [
    ...simulation.pool.violations,
    ...checkJobs(simulation, cancelled),
  ];
  simulation.close();
  return {
    violations,
    steps,
    starts: simulation.pool.starts,
    highestShareOfLimit: simulation.pool.limits.highestShare,
  };
}

/** Puts a version with this share of the accounts' limits in force. */
function limitTo(simulation: BatchSimulation, share: number): void {
  simulation.limit({
    a: { cpuMilli: 0, memoryMb: 0, accelerators: 12 * share },
    b: { cpuMilli: 400 * share, memoryMb: 0, accelerators: 0 },
  });
}

/** Takes one random step of a history; returns a description of it. */
export async function takeStep(
  simulation: BatchSimulation,
  { number, cancelled }: { number: number; cancelled: Set<string> },
): Promise<string> {
  const { random, pool } = simulation;
  const worker = `w${random.nextInt(WORKERS)}`;
  const kind = random.nextInt(12);
  switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3: {
      const jobId = `job${number}`;
      void simulation.submit(jobId, drawSpec(random));
      await simulation.advance(random.nextInt(300));
      return `submit ${jobId}`;
    }
    case 4: {
      const known = [...simulation.specs.keys()];
      const jobId = known[random.nextInt(Math.max(1, known.length))];
      if (jobId !== undefined) {
        cancelled.add(jobId);
        void simulation.cancel(jobId);
      }
      await simulation.advance(random.nextInt(300));
      return `cancel ${jobId}`;
    }
    case 5:
      await simulation.elect();
      await simulation.advance(random.nextInt(200));
      return "elect";
    case 6:
      pool.crash(worker);
      await simulation.advance(random.nextInt(3_000));
      pool.restart(worker);
      return `crash ${worker}`;
    case 7: {
      const isPartitioned = random.nextInt(2) === 0;
      pool.setPartitioned(worker, isPartitioned);
      await simulation.advance(random.nextInt(4_000));
      return `partition ${worker} ${isPartitioned}`;
    }
    case 8:
    case 9: {
      pool.faults.lostCalls = random.nextUnit() * 0.2;
      pool.faults.lostAnswers = random.nextUnit() * 0.2;
      pool.faults.lateCalls = random.nextUnit() * 0.2;
      pool.faults.failingRuns = random.nextUnit() * 0.2;
      return `faults ${JSON.stringify(pool.faults)}`;
    }
    default:
      await simulation.advance(random.nextInt(4_000));
      return "pass";
  }
}

function drawSpec(random: RandomSource): JobSpec {
  const count = 1 + random.nextInt(2);
  return {
    payload: "",
    recurrence: undefined,
    steps: Array.from(
      { length: count },
      (_, position) => drawStep(random, position),
    ),
  };
}

function drawStep(random: RandomSource, position: number): StepSpec {
  return {
    taskCount: 1 + random.nextInt(4),
    demand: {
      cpuMilli: 100,
      memoryMb: 100,
      accelerators: [1, 2, 4, 8][random.nextInt(4)]!,
    },
    estimateMs: 300 + random.nextInt(6_000),
    afterSteps: position === 0 ? [] : [position - 1],
    isCheckpointing: true,
    isGang: random.nextInt(2) === 0,
    prefersOneRack: false,
    isLasting: false,
    requiredLabel: undefined,
    dataRack: undefined,
    tasksPerWorkerLimit: undefined,
  };
}

/** Checks that all jobs are over, and all tasks of completed ones were done. */
export function checkJobs(
  simulation: BatchSimulation,
  cancelled: ReadonlySet<string>,
): string[] {
  const violations: string[] = [];
  for (const job of simulation.state!.jobs.values()) {
    if (job.phase === JobPhase.active) {
      violations.push(`${job.id} is still active`);
    }
    if (job.phase === JobPhase.cancelled && !cancelled.has(job.id)) {
      violations.push(`${job.id} is cancelled without a call to cancel it`);
    }
    if (job.phase === JobPhase.completed) {
      for (const [step, { taskCount, isGang }] of job.spec.steps.entries()) {
        for (let index = 0; index < (isGang ? 1 : taskCount); index++) {
          const task = { jobId: job.id, occurrence: 0, step, index };
          if (!simulation.pool.isDone(task)) {
            violations.push(
              `${job.id} completed without task ${step}.${index}`,
            );
          }
        }
      }
    }
  }
  return violations;
}
