/**
 * Plays jobs and random faults against the programs, and checks that no task
 * runs twice: `soak.js FOLDER SEED SECONDS [LONGEST_GAP_MS]`, with the longest
 * time between faults. Exits with 1 if one did or a job didn't end, with 2 if
 * nothing could be shown.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { delay } from "../process/cluster.ts";
import type { JobShape } from "./clients.ts";
import { Faults } from "./faults.ts";
import { nowMs } from "./run_history.ts";
import { randomFraction, TestBed } from "./test_bed.ts";

const [folder = "", seedText = "1", secondsText = "40", gapText = "2200"] =
  process.argv.slice(2);
const seed = Number(seedText);

/** Mean time between jobs of each queue. */
const GAPS_MS = { quote: 1_700, blend: 4_500, sweep: 3_300 } as const;
const CANCELLED_SHARE = 0.06;
const FINISH_LIMIT_MS = 30_000;
const FAILED_SHARE = 0.03;

const bed = new TestBed(folder, { seed, failedShare: FAILED_SHARE });
const random = randomFraction(seed + 2);

async function play(): Promise<number> {
  await bed.open();
  await delay(2_000);
  const endMs = nowMs() + Number(secondsText) * 1_000;
  const jobs: Promise<void>[] = [];
  const loads = Object.keys(GAPS_MS).map(async (name) => {
    const queue = name as keyof typeof GAPS_MS;
    while (nowMs() < endMs) {
      await delay(-Math.log(1 - random()) * GAPS_MS[queue]);
      jobs.push(runJob(queue));
    }
  });
  await new Faults(bed, randomFraction(seed + 3)).run({
    durationMs: endMs - nowMs(),
    longestGapMs: Number(gapText),
  });
  await Promise.all(loads);
  await Promise.all(jobs);
  const unfinished = await waitForJobs();
  return report(unfinished);
}

async function runJob(queue: JobShape["queue"]): Promise<void> {
  const jobId = await bed.clients.submit(shapeOf(queue));
  if (random() < CANCELLED_SHARE) {
    await delay(1_000 + random() * 4_000);
    await bed.clients.cancel(jobId);
  }
}

function shapeOf(queue: JobShape["queue"]): JobShape {
  const around = (mean: number) => mean * (0.6 + 0.8 * random());
  const gpu = [1, 2, 4, 8][Math.floor(random() * 4)]!;
  switch (queue) {
    case "quote": {
      const count = 1 + Math.floor(random() * 4);
      return {
        ...{ queue, count, gpu, gangSize: count, checkpointing: false },
        ...{ cpu: 15_000, memMb: 31_000, workMs: around(2_500) },
      };
    }
    case "blend": {
      const count = 1 + Math.floor(random() * 5);
      return {
        ...{ queue, count, gpu, gangSize: count },
        ...{ cpu: 52_000, memMb: 75_000, workMs: around(8_500) },
        checkpointing: random() < 0.45,
      };
    }
    case "sweep": {
      const count = 2 + Math.floor(random() * 12);
      return {
        ...{ queue, count, gpu: 1, gangSize: 1 },
        ...{ cpu: 11_000, memMb: 16_000, workMs: around(6_100) },
        checkpointing: random() < 0.45,
      };
    }
  }
}

/** Waits until all accepted jobs have ended; returns those that haven't. */
async function waitForJobs(): Promise<string[]> {
  const endMs = nowMs() + FINISH_LIMIT_MS;
  let left = [...bed.clients.accepted];
  while (left.length > 0 && nowMs() < endMs) {
    await delay(500);
    const states = await Promise.all(
      left.map((jobId) => bed.clients.state(jobId)),
    );
    left = left.filter((_, at) =>
      !["completed", "failed", "cancelled"].includes(states[at] ?? "")
    );
  }
  return left;
}

/** A gang's end is the end of all its tasks. */
function unitOf(task: string): string {
  return bed.clients.shapeOf(task).gangSize > 1
    ? task.slice(0, task.lastIndexOf("."))
    : task;
}

function report(unfinished: readonly string[]): number {
  const { history, clients, programs } = bed;
  const ends: Record<string, number> = {};
  history.ends().forEach(({ how }) => ends[how] = (ends[how] ?? 0) + 1);
  const repeats = history.repeats(unitOf);
  const lines = programs.cores.map(({ name }) => programs.lines(name).length);
  const result = {
    seed,
    accepted: clients.accepted.size,
    submitStatuses: clients.submitStatuses,
    starts: history.starts().length,
    ends,
    epochs: programs.leadersByEpoch().size,
    logLines: lines,
    unfinished,
    ...countLogged(),
    overlaps: history.overlaps.length,
    repeats: repeats.length,
  };
  const found = { ...result, overlaps: history.overlaps, repeats };
  writeFileSync(`${folder}/report.json`, JSON.stringify(found, null, 2));
  process.stdout.write(JSON.stringify(result) + "\n");
  const faults = history.overlaps.length + repeats.length + unfinished.length;
  return history.starts().length === 0 ? 2 : faults > 0 ? 1 : 0;
}

/** Which of the workers' starts a core's log names, and which core's. */
function countLogged(): Record<string, number> {
  const { history, programs } = bed;
  const leaders = programs.leadersByEpoch();
  const lines = programs.lines();
  const accepted = new Set(
    lines.filter(({ event }) => event === "batchJobAccepted")
      .map(({ fields }) => String(fields.jobId)),
  );
  const loggedBy = new Map(
    lines.filter(({ event }) => event === "taskStarted")
      .map(({ fields, program }) => [`${fields.jobId}#${fields.run}`, program]),
  );
  const starts = history.starts().map(({ task, run, epoch }) => ({
    logger: loggedBy.get(`${task.slice(0, 16)}#${run}`),
    orderer: leaders.get(epoch),
  }));
  return {
    acceptedUnlogged:
      [...bed.clients.accepted].filter((id) => !accepted.has(id)).length,
    startsUnlogged: starts.filter(({ logger }) => logger === undefined).length,
    startsLoggedByOther:
      starts.filter(({ logger, orderer }) =>
        logger !== undefined && logger !== orderer
      ).length,
  };
}

let exitCode = 2;
try {
  exitCode = await play();
} catch (error) {
  bed.note(String(error));
  process.stdout.write(`${String(error)}\n`);
}
bed.close();
process.exit(exitCode);
