/**
 * Replaces cores under load, at the first moment that the settings allow, and
 * checks that the group goes on: `replace_cores.js FOLDER CORES CASE SEED`, with
 * 3 or 6 cores and a case of `replacement_cases.ts`. Exits with 1 if a check
 * fails, with 2 if nothing could be shown.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { resolve } from "node:path";
import process from "node:process";
import { delay } from "../process/cluster.ts";
import { CONFIGURED_VERSION } from "./clients.ts";
import { CoreFleet } from "./core_fleet.ts";
import { JobLoad, unitOf } from "./job_load.ts";
import { Programs } from "./programs.ts";
import { ReadMonitor } from "./read_monitor.ts";
import { wavesOf } from "./replacement_cases.ts";
import {
  type Check,
  checkWaves,
  describeLosses,
} from "./replacement_checks.ts";
import { type ReplacementBounds, ReplacementPlay } from "./replacement_play.ts";
import { nowMs } from "./run_history.ts";
import { randomFraction, shuffled, TestBed } from "./test_bed.ts";
import { VoterLog } from "./voter_log.ts";

const [folder = "", coresText = "6", caseName = "short", seedText = "1"] =
  process.argv.slice(2);
const seed = Number(seedText);

/** `catchUpS` of the deployments that bear one and two losses. */
const CATCH_UP_MS: Record<number, number> = { 1: 4_000, 2: 6_000 };
const CONTACT_MS = 5_000;

/** Mean time between jobs of each queue. */
const GAPS_MS = { quote: 300, blend: 1_600, sweep: 1_600 } as const;
const WORK_FACTOR = 0.5;
const LONGEST_LOAD_MS = 600_000;
const FINISH_LIMIT_MS = 30_000;

const programs = new Programs(folder);
const fleet = new CoreFleet(programs, {
  target: resolve(process.env.TARGET ?? "target"),
});
const pickRandom = randomFraction(seed + 4);
const bed = new TestBed(programs, {
  seed,
  // Workers pick among all cores on the operator's list.
  controlAddresses: () => shuffled(fleet.controlAddresses, pickRandom),
});
const { lossesBorne } = programs.layout;
const bounds: ReplacementBounds = {
  lossesBorne,
  catchUpMs: CATCH_UP_MS[lossesBorne]!,
  contactMs: CONTACT_MS,
};
const wantedVoters = 2 * lossesBorne + 1;
const founders = fleet.listed.slice(0, 3).map(({ host }) => host);
const voterLog = new VoterLog(programs, founders);
const monitor = new ReadMonitor();
const load = new JobLoad(bed, {
  random: randomFraction(seed + 2),
  gapsMs: GAPS_MS,
  workFactor: WORK_FACTOR,
});
const playRandom = randomFraction(seed + 3);
const play = new ReplacementPlay({
  ...{ bed, fleet, monitor, voterLog, bounds, random: playRandom },
});

async function run(): Promise<number> {
  const waves = wavesOf(caseName, { lossesBorne, random: playRandom });
  await bed.open();
  fleet.listed.forEach((core) => monitor.add(core));
  await programs.waitFor(
    "all seats to be taken and all cores to answer",
    () => isWhole() ? true : undefined,
  );
  const jobs = load.run({ durationMs: LONGEST_LOAD_MS });
  await delay(bounds.catchUpMs);
  const wasLed = await play.run(waves);
  load.stop();
  await jobs;
  const unfinished = await load.waitForJobs({ limitMs: FINISH_LIMIT_MS });
  const checks = [
    {
      what: `a core led before each of ${waves.length} losses` +
        (wasLed ? "" : `: none for ${CONTACT_MS} ms`),
      isMet: wasLed,
    },
    ...checkWaves({ waves: play.waves, monitor, voterLog, bounds }),
    ...checkJobs(unfinished),
    await checkReadBack(),
  ];
  return report(checks);
}

function isWhole(): boolean {
  return voterLog.votersAt(nowMs()).length >= wantedVoters &&
    fleet.listed.every(({ name }) =>
      monitor.firstAnswer(name, 0) !== undefined
    );
}

function checkJobs(unfinished: readonly string[]): Check[] {
  const { history, clients } = bed;
  const repeats = history.repeats((task) => unitOf(bed, task));
  return [
    {
      what: `all ${clients.accepted.size} accepted jobs ended ` +
        `(${unfinished.length} didn't)`,
      isMet: unfinished.length === 0,
    },
    {
      what: `no task ran twice, of ${history.starts().length} starts ` +
        `(${history.overlaps.length} overlaps, ${repeats.length} repeats)`,
      isMet: history.overlaps.length + repeats.length === 0,
    },
  ];
}

/** Whether each core on the operator's list reads the configuration back. */
async function checkReadBack(): Promise<Check> {
  const fromMs = nowMs();
  await delay(CONTACT_MS / 5);
  const behind = fleet.listed.filter(({ name }) =>
    monitor.firstAnswer(name, fromMs)?.version !== CONFIGURED_VERSION
  );
  return {
    what: "the configuration reads back at each core" +
      behind.map(({ name }) => `, not at ${name}`).join(""),
    isMet: behind.length === 0,
  };
}

function report(checks: readonly Check[]): number {
  const losses = describeLosses({
    ...{ waves: play.waves, monitor, voterLog, bounds },
  });
  const failures = checks.filter(({ isMet }) => !isMet);
  const lines = [
    ...losses,
    ...checks.map(({ what, isMet }) => `${isMet ? "ok" : "FAILED"}: ${what}`),
    `replace_cores ${coresText} ${caseName} ${seed}: ` +
    `${failures.length} of ${checks.length} checks failed, ` +
    `submits by status ${JSON.stringify(bed.clients.submitStatuses)}`,
  ];
  writeFileSync(`${folder}/report.txt`, lines.join("\n") + "\n");
  process.stdout.write(lines.join("\n") + "\n");
  const isShown = bed.history.starts().length > 0 && play.waves.length > 0;
  return !isShown ? 2 : failures.length > 0 ? 1 : 0;
}

let exitCode = 2;
try {
  exitCode = await run();
} catch (error) {
  bed.note(String(error));
  process.stdout.write(`${String(error)}\n`);
}
play.close();
monitor.close();
bed.close();
process.exit(exitCode);
