/**
 * Plays one cause that the record of issue 34 allows, and says whether the
 * record's pattern shows: `incident.js FOLDER CAUSE SEED [DELAY_MS]`. Exits with
 * 1 if a task ran twice, with 2 if the play couldn't show anything.
 *
 * @module
 */

import process from "node:process";
import { delay } from "../process/cluster.ts";
import { announce } from "./clients.ts";
import { BOUNDS } from "./layout.ts";
import type { PoolWorker } from "./pool_worker.ts";
import { Programs } from "./programs.ts";
import { nowMs, type Overlap } from "./run_history.ts";
import { TestBed } from "./test_bed.ts";

const [folder = "", cause = "refused", seedText = "1", delayText = "200"] =
  process.argv.slice(2);

const JOBS = 10;
const TASK_MS = 18_000;
const SETTLE_MS = 3_000;
const CUT_MS = 4_800;

/** How long second runs are waited for; longer than any lease. */
const SECOND_RUN_LIMIT_MS = 10_000;
const LEADER_DOWN_MS = 3_000;

/** Second runs that begin within this time begin at the same moment. */
const SAME_MOMENT_MS = 100;

const bed = new TestBed(new Programs(folder), { seed: Number(seedText) });
const { programs, clients, history, pool } = bed;

async function play(): Promise<number> {
  await bed.open();
  await delay(SETTLE_MS);
  for (let job = 0; job < JOBS; job++) {
    await clients.submit({
      queue: "blend",
      count: 1,
      cpu: 11_000,
      memMb: 16_000,
      gpu: 2,
      workMs: TASK_MS,
      gangSize: 1,
      checkpointing: false,
    });
  }
  await delay(SETTLE_MS);
  const worker = busiest();
  const tasks = worker.tasks.map(({ task }) => task);
  if (tasks.length < 2) {
    bed.note("no worker has the runs of two jobs");
    return 2;
  }
  bed.note(`${worker.id} runs ${tasks.join(" ")}`);
  const ended = disturb(worker);
  const leader = await waitForSecondRuns(tasks);
  if (leader !== undefined) {
    bed.note(`SIGKILL to ${leader}`);
    await programs.kill(leader, LEADER_DOWN_MS);
  }
  await ended;
  await programs.waitFor(
    "the jobs' ends",
    () => areOver(tasks) ? true : undefined,
    60_000,
  ).catch((error: Error) => bed.note(error.message));
  await delay(SETTLE_MS);
  return report(tasks);
}

function busiest(): PoolWorker {
  return [...pool.workers].sort((a, b) => b.tasks.length - a.tasks.length)[0]!;
}

async function disturb(worker: PoolWorker): Promise<void> {
  const proxy = bed.proxies.get(worker.place.id)!;
  if (cause === "refused") {
    bed.note(`connections to ${worker.id} are reset and refused`);
    worker.isCutOff = true;
    await proxy.set({ refuses: true });
    await delay(CUT_MS);
    worker.isCutOff = false;
    await proxy.heal();
    bed.note(`connections to ${worker.id} are accepted again`);
    return;
  }
  if (cause === "later_start" || cause === "same_address") {
    const heartbeat = worker.nextHeartbeat();
    const id = cause === "later_start" ? worker.id : "i-another";
    bed.note(`a heartbeat of ${id} names a later start at the same address`);
    await announce(programs, id, { ...heartbeat, born: Date.now() });
    return;
  }
  await worker.drain();
  bed.note(`${worker.id}: draining is acknowledged`);
  await delay(BOUNDS.drainMs + 300);
  bed.note(`${worker.id} leaves`);
  await worker.leave(
    cause === "departure_lost"
      ? { isAckLost: true }
      : { ackDelayMs: Number(delayText) },
  );
  bed.note(`${worker.id} has ended`);
}

/** The core that ordered the second runs, once all of them have begun. */
async function waitForSecondRuns(
  tasks: readonly string[],
): Promise<string | undefined> {
  const secondRuns = () =>
    history.starts().filter(({ task, run }) => tasks.includes(task) && run > 1);
  const endMs = nowMs() + SECOND_RUN_LIMIT_MS;
  while (nowMs() < endMs) {
    if (new Set(secondRuns().map(({ task }) => task)).size === tasks.length) {
      return programs.leadersByEpoch().get(secondRuns()[0]!.epoch);
    }
    await delay(10);
  }
  bed.note("no second runs have begun in time");
  return undefined;
}

function areOver(tasks: readonly string[]): boolean {
  const noted = history.ends().filter(({ task, how, notedAtMs }) =>
    tasks.includes(task) && how === "done" && notedAtMs !== undefined
  );
  return new Set(noted.map(({ task }) => task)).size === tasks.length;
}

function report(tasks: readonly string[]): number {
  const leaders = programs.leadersByEpoch();
  const { overlaps } = history;
  const noters = new Map(
    history.ends().filter(({ how }) => how === "done")
      .map(({ task, run, notedByEpoch }) =>
        [`${task}#${run}`, leaders.get(notedByEpoch ?? 0)] as const
      ),
  );
  const rows = overlaps.map(({ task, first, second }) => ({
    task,
    runs: [first.run, second.run],
    workers: [first.worker, second.worker],
    cores: [leaders.get(first.epoch), leaders.get(second.epoch)],
    secondBeganAt: new Date(second.atMs).toISOString(),
    doneNotedBy: noters.get(`${task}#${second.run}`),
  }));
  const names = tasks.map((task) => task.slice(0, 16));
  const naming = programs.lines()
    .filter(({ text }) => names.some((name) => text.includes(name)))
    .map(({ program, life }) => `${program} life ${life}`);
  const counts: Record<string, number> = {};
  naming.forEach((key) => counts[key] = (counts[key] ?? 0) + 1);
  const lives = Object.fromEntries(
    programs.cores.map(({ name }) => [name, programs.lines(name).at(-1)?.life]),
  );
  const result = {
    cause,
    delayMs: Number(delayText),
    isPattern: isPattern(overlaps, noters),
    overlaps: rows,
    repeats: history.repeats().length,
    linesNamingTheJobs: counts,
    lastLife: lives,
  };
  process.stdout.write(JSON.stringify(result) + "\n");
  return overlaps.length + result.repeats > 0 ? 1 : 0;
}

/** Whether the runs of two jobs overlapped as the record says. */
function isPattern(
  overlaps: readonly Overlap[],
  noters: ReadonlyMap<string, string | undefined>,
): boolean {
  const leaders = programs.leadersByEpoch();
  const [one, ...others] = overlaps.filter(({ task, second }) => {
    const noter = noters.get(`${task}#${second.run}`);
    return noter !== undefined && noter !== leaders.get(second.epoch);
  });
  return others.some(({ task, first, second }) =>
    task.slice(0, 16) !== one!.task.slice(0, 16) &&
    first.worker === one!.first.worker &&
    second.epoch === one!.second.epoch &&
    Math.abs(second.atMs - one!.second.atMs) <= SAME_MOMENT_MS
  );
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
