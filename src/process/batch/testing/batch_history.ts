/**
 * Random histories of the batch scheduler, judged at their end.
 *
 * @module
 */

import type { EventLog, RandomSource } from "../../../base/mod.ts";
import { JobPhase } from "../job_record.ts";
import type { JobSpec, StepSpec } from "../job_spec.ts";
import { BatchBed } from "./batch_bed.ts";

/** What a history is drawn from. */
export interface HistoryOptions {
  readonly seed: number;
  readonly steps: number;
  /** Where the leaders' events go, to read a failing history. */
  readonly events?: EventLog;
}

/** What went wrong in a history, and what happened in it. */
export interface HistoryResult {
  readonly violations: readonly string[];
  readonly steps: readonly string[];
  readonly starts: number;
}

/** Workers of a history. */
export const WORKERS = 4;

/** Long enough for leases to run out and for every job to be done. */
const SETTLE_MS = 120_000;

/** Plays one history. */
export async function playHistory(
  options: HistoryOptions,
): Promise<HistoryResult> {
  const bed = new BatchBed({ ...options, workers: WORKERS });
  await bed.open();
  const steps: string[] = [];
  const cancelled = new Set<string>();
  for (let number = 0; number < options.steps; number++) {
    steps.push(await takeStep(bed, { number, cancelled }));
    if (bed.pool.violations.length > 0) {
      break;
    }
  }
  bed.pool.heal();
  await bed.pass(SETTLE_MS);
  const violations = [
    ...bed.pool.violations,
    ...judgeJobs(bed, cancelled),
  ];
  bed.close();
  return { violations, steps, starts: bed.pool.starts };
}

/** Takes one random step of a history; gives what it was. */
export async function takeStep(
  bed: BatchBed,
  { number, cancelled }: { number: number; cancelled: Set<string> },
): Promise<string> {
  const { random, pool } = bed;
  const worker = `w${random.nextInt(WORKERS)}`;
  const kind = random.nextInt(12);
  switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3: {
      const jobId = `job${number}`;
      void bed.submit(jobId, drawSpec(random));
      await bed.pass(random.nextInt(300));
      return `submit ${jobId}`;
    }
    case 4: {
      const known = [...bed.specs.keys()];
      const jobId = known[random.nextInt(Math.max(1, known.length))];
      if (jobId !== undefined) {
        cancelled.add(jobId);
        void bed.cancel(jobId);
      }
      await bed.pass(random.nextInt(300));
      return `cancel ${jobId}`;
    }
    case 5:
      await bed.elect();
      await bed.pass(random.nextInt(200));
      return "elect";
    case 6:
      pool.crash(worker);
      await bed.pass(random.nextInt(3_000));
      pool.restart(worker);
      return `crash ${worker}`;
    case 7: {
      const isCut = random.nextInt(2) === 0;
      pool.setCut(worker, isCut);
      await bed.pass(random.nextInt(4_000));
      return `cut ${worker} ${isCut}`;
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
      await bed.pass(random.nextInt(4_000));
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

/** Each accepted job is over, and a completed one truly done. */
export function judgeJobs(
  bed: BatchBed,
  cancelled: ReadonlySet<string>,
): string[] {
  const violations: string[] = [];
  for (const job of bed.state!.jobs.values()) {
    if (job.phase === JobPhase.active) {
      violations.push(`${job.id} is still active`);
    }
    if (job.phase === JobPhase.cancelled && !cancelled.has(job.id)) {
      violations.push(`${job.id} is cancelled, and nobody asked for it`);
    }
    if (job.phase === JobPhase.completed) {
      for (const [step, { taskCount, isGang }] of job.spec.steps.entries()) {
        for (let index = 0; index < (isGang ? 1 : taskCount); index++) {
          const task = { jobId: job.id, occurrence: 0, step, index };
          if (!bed.pool.isDone(task)) {
            violations.push(`${job.id} is completed without ${step}.${index}`);
          }
        }
      }
    }
  }
  return violations;
}
