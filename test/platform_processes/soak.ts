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
import { Faults } from "./faults.ts";
import { JobLoad, unitOf } from "./job_load.ts";
import { Programs } from "./programs.ts";
import { nowMs } from "./run_history.ts";
import { randomFraction, TestBed } from "./test_bed.ts";

const [folder = "", seedText = "1", secondsText = "40", gapText = "2200"] =
  process.argv.slice(2);
const seed = Number(seedText);

/** Mean time between jobs of each queue. */
const GAPS_MS = { quote: 1_700, blend: 4_500, sweep: 3_300 } as const;
const FINISH_LIMIT_MS = 30_000;
const FAILED_SHARE = 0.03;

const bed = new TestBed(new Programs(folder), {
  seed,
  failedShare: FAILED_SHARE,
});
const load = new JobLoad(bed, {
  random: randomFraction(seed + 2),
  gapsMs: GAPS_MS,
});

async function play(): Promise<number> {
  await bed.open();
  await delay(2_000);
  const endMs = nowMs() + Number(secondsText) * 1_000;
  const jobs = load.run({ durationMs: endMs - nowMs() });
  await new Faults(bed, randomFraction(seed + 3)).run({
    durationMs: endMs - nowMs(),
    longestGapMs: Number(gapText),
  });
  await jobs;
  const unfinished = await load.waitForJobs({ limitMs: FINISH_LIMIT_MS });
  return report(unfinished);
}

function report(unfinished: readonly string[]): number {
  const { history, clients, programs } = bed;
  const ends: Record<string, number> = {};
  history.ends().forEach(({ how }) => ends[how] = (ends[how] ?? 0) + 1);
  const repeats = history.repeats((task) => unitOf(bed, task));
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
