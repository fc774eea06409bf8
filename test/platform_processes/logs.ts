/**
 * Shows which lines that name two jobs get out of the core that orders their
 * runs: `logs.js FOLDER CASE SEED [STALL_MS]`. In the cases `stall` and
 * `stall_kill` the reader of the leader's log stops for the time, in `pause` the
 * leader itself, in `inherit` another core ordered the starts and is killed. In
 * `deposed` leaders are paused just after jobs were handed in, again and again.
 *
 * @module
 */

import process from "node:process";
import { request } from "undici";
import { delay } from "../process/cluster.ts";
import { Programs } from "./programs.ts";
import { TestBed } from "./test_bed.ts";

const [folder = "", name = "stall", seedText = "1", stallText = "5000"] =
  process.argv.slice(2);
const stallMs = Number(stallText);

const bed = new TestBed(new Programs(folder), { seed: Number(seedText) });
const { programs, clients, history, pool } = bed;

const MARKED_TASK_MS = 2_000;
const LOAD_TASK_MS = 1_500;
const LOAD_GAP_MS = 330;
const SETTLE_MS = 3_000;
const LEADER_DOWN_MS = 2_000;

/** Rounds of `deposed`; each waits a little longer before the pause. */
const ROUNDS = 10;
const ROUND_DELAY_MS = 3;

let isLoading = true;

/** Hands in jobs of many short tasks, whose lines fill the pipe. */
async function load(): Promise<void> {
  while (isLoading) {
    void submit(12, LOAD_TASK_MS);
    await delay(LOAD_GAP_MS);
  }
}

function submit(count: number, workMs: number): Promise<string> {
  return clients.submit({
    ...{ queue: "sweep", count, workMs },
    ...{ cpu: 1_000, memMb: 1_000, gpu: 1, gangSize: 1, checkpointing: false },
  });
}

async function play(): Promise<void> {
  await bed.open();
  await delay(SETTLE_MS);
  if (name === "deposed") {
    return await deposeAgainAndAgain();
  }
  const leader = programs.leader()!;
  const loading = name.startsWith("stall") ? load() : Promise.resolve();
  const marked = await disturb(leader);
  isLoading = false;
  await loading;
  await delay(SETTLE_MS);
  report(leader, marked, await droppedLines(leader));
}

async function disturb(leader: string): Promise<string[]> {
  if (name === "inherit") {
    return await inherit(leader);
  }
  const target = name === "pause" ? leader : `reader-${leader}`;
  if (name !== "pause") {
    programs.signal(target, "SIGSTOP");
    // The jobs of interest come once the pipe is full, if it gets full.
    await delay(stallMs / 2);
  }
  const marked = await Promise.all([
    submit(1, MARKED_TASK_MS),
    submit(1, MARKED_TASK_MS),
  ]);
  bed.note(`marked jobs ${marked.join(" ")}`);
  if (name === "pause") {
    programs.signal(target, "SIGSTOP");
    await delay(stallMs);
  } else {
    await delay(Math.max(stallMs / 2, MARKED_TASK_MS + 1_000));
  }
  if (name === "stall_kill") {
    await programs.kill(leader, LEADER_DOWN_MS);
  }
  programs.signal(target, "SIGCONT");
  return marked;
}

/** Counts the jobs whose starts were ordered and that no log names as started. */
async function deposeAgainAndAgain(): Promise<void> {
  const marked: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const leader = programs.leader()!;
    const submitted = submit(1, MARKED_TASK_MS);
    await delay(round * ROUND_DELAY_MS);
    programs.signal(leader, "SIGSTOP");
    await delay(stallMs);
    programs.signal(leader, "SIGCONT");
    marked.push(await submitted);
    await delay(SETTLE_MS);
  }
  const leaders = programs.leadersByEpoch();
  const rows = marked.map((jobId) => {
    const start = history.starts().find(({ task }) => task.startsWith(jobId));
    const loggers = (event: string) =>
      programs.lines().filter((line) =>
        line.event === event && line.fields.jobId === jobId
      ).map(({ program }) => program).join(" ") || "none";
    return [
      `accepted ${loggers("batchJobAccepted")}`,
      `started ${loggers("taskStarted")}`,
      `ordered ${start === undefined ? "none" : leaders.get(start.epoch)}`,
      `ended ${loggers("taskEnded")}`,
    ].join(", ");
  });
  process.stdout.write(JSON.stringify({ case: name, stallMs, rows }) + "\n");
}

/** The leader's starts are stored but reach no worker before it is killed. */
async function inherit(leader: string): Promise<string[]> {
  await Promise.all(
    [...bed.proxies.values()].map((proxy) =>
      proxy.set({ holdsToWorker: true })
    ),
  );
  const marked = await Promise.all([
    submit(1, MARKED_TASK_MS),
    submit(1, MARKED_TASK_MS),
  ]);
  await delay(200);
  void programs.kill(leader, LEADER_DOWN_MS);
  await delay(100);
  await Promise.all([...bed.proxies.values()].map((proxy) => proxy.heal()));
  await programs.waitFor("the starts", () => {
    const started = history.starts().map(({ task }) => task.slice(0, 16));
    return marked.every((id) => started.includes(id)) ? true : undefined;
  });
  const heir = programs.leader()!;
  bed.note(`SIGKILL to ${heir}`);
  await programs.kill(heir, LEADER_DOWN_MS);
  await delay(SETTLE_MS);
  return marked;
}

async function droppedLines(leader: string): Promise<string | undefined> {
  const { host } = programs.cores.find((core) => core.name === leader)!;
  const answer = await request(`http://${host}:7012/metrics`).catch(() =>
    undefined
  );
  const text = await answer?.body.text() ?? "";
  return /^sesamethread_log_lines_dropped (\d+)/m.exec(text)?.[1];
}

function report(
  leader: string,
  marked: readonly string[],
  dropped: string | undefined,
): void {
  const leaders = programs.leadersByEpoch();
  const orderers = history.starts().filter(({ task }) =>
    marked.includes(task.slice(0, 16))
  ).map(({ task, run, epoch }) => `${task} run ${run} ${leaders.get(epoch)}`);
  const counts: Record<string, number> = {};
  programs.lines().filter(({ text }) => marked.some((id) => text.includes(id)))
    .forEach(({ program, life, event }) => {
      const key = `${program} life ${life} ${event}`;
      counts[key] = (counts[key] ?? 0) + 1;
    });
  process.stdout.write(
    JSON.stringify({
      case: name,
      stallMs,
      leader,
      orderers,
      jobs: clients.accepted.size,
      linesOfLeader: programs.lines(leader).length,
      droppedInLastLife: dropped,
      linesNamingTheJobs: counts,
    }) + "\n",
  );
}

try {
  await play();
} catch (error) {
  process.stdout.write(`${String(error)}\n`);
}
pool.close();
bed.close();
process.exit(0);
