/**
 * The whole path over loopback: an operator's configuration, workers that
 * announce themselves, and clients whose jobs are done once each.
 */

import test from "ava";
import { SILENT_EVENT_LOG } from "../../src/base/mod.ts";
import {
  PlatformStandinWorker,
  RunHistory,
} from "../../standins/platform/standin_worker.ts";
import {
  type CallResult,
  standinConfiguration,
  StandinPlatform,
} from "../../standins/platform/standin_platform.ts";

interface Day {
  readonly platform: StandinPlatform;
  readonly history: RunHistory;
  readonly workers: PlatformStandinWorker[];
}

async function openDay(
  subnet: number,
  options: { isMute?: () => boolean } = {},
): Promise<Day> {
  const platform = new StandinPlatform({ subnet, events: SILENT_EVENT_LOG });
  await platform.open();
  await until(async () =>
    (await platform.configure(standinConfiguration({ version: 1 })))
      .status === 200
  );
  const history = new RunHistory();
  const workers = [1, 2, 3].map((number) =>
    new PlatformStandinWorker({
      id: `i-${number}`,
      service: "pool",
      zone: number === 3 ? "zone-2" : "zone-1",
      rack: "r-1",
      accelerators: 8,
      controlAddresses: platform.controlAddresses,
      durationMs: (payload) => payload === "slow" ? 60_000 : 200,
      fails: (payload) => payload === "failing",
      history,
      ...options,
    })
  );
  for (const worker of workers) {
    await worker.open();
  }
  return { platform, history, workers };
}

async function closeDay({ platform, workers }: Day): Promise<void> {
  await platform.close();
  await Promise.all(workers.map((worker) => worker.close()));
}

/** Tries until something holds; the test's own limit ends it otherwise. */
async function until(condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) {
    await new Promise((resume) => setTimeout(resume, 50));
  }
}

function submit(
  { platform }: Day,
  id: string,
  job: { spec?: string; steps: unknown[] },
): Promise<CallResult> {
  return platform.client("POST", `/queue/${id}`, { body: job });
}

async function untilState(day: Day, id: string, state: string): Promise<void> {
  await until(async () =>
    (await day.platform.client("GET", `/queue/${id}`)).body.state === state
  );
}

function jobId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

const GANG = { count: 3, cpu: 1_000, memMb: 1_024, gpu: 8, gang: true };
const WIDE = { count: 5, cpu: 1_000, memMb: 1_024, gpu: 1, estimateMs: 200 };

test("jobs are done once each, in the order of their steps", async (t) => {
  const day = await openDay(31);
  const id = jobId(1);
  const accepted = await submit(day, id, {
    steps: [WIDE, { ...GANG, after: [0] }],
  });
  t.is(accepted.status, 200);
  await untilState(day, id, "completed");
  const { history } = day;
  t.is(history.events.filter(({ kind }) => kind === "start").length, 8);
  const firstOfGang = history.events.findIndex(({ kind, task }) =>
    kind === "start" && task.startsWith(`${id}.0.1.`)
  );
  const endsBefore = history.events.slice(0, firstOfGang)
    .filter(({ how }) => how === "done");
  t.is(endsBefore.length, 5);
  const again = await submit(day, id, { steps: [WIDE] });
  t.is(again.status, 200);
  t.is(history.events.filter(({ kind }) => kind === "start").length, 8);
  await closeDay(day);
});

test("refusals say what is wrong and nothing runs", async (t) => {
  const day = await openDay(32);
  const { platform, history } = day;
  const id = jobId(2);
  const unknownKey = await platform.client("POST", `/queue/${id}`, {
    body: { steps: [WIDE] },
    apiKey: "nobody's",
  });
  t.is(unknownKey.status, 401);
  const unknownQueue = await platform.client("POST", `/other/${id}`, {
    body: { steps: [WIDE] },
  });
  t.is(unknownQueue.status, 404);
  t.is((await submit(day, id, { steps: [] })).status, 400);
  t.is((await platform.client("GET", `/queue/${id}`)).status, 410);
  t.is((await platform.client("DELETE", `/queue/${id}`)).status, 410);
  t.is((await platform.client("GET", "/queue/")).body.pending, 0);
  t.is(history.events.length, 0);
  await closeDay(day);
});

test("a configuration that breaks a rule changes nothing", async (t) => {
  const day = await openDay(33);
  const { platform } = day;
  const sound = standinConfiguration({ version: 2, prefix: "/moved/" });
  const routes = sound.routes as Record<string, unknown>[];
  const broken = [
    { ...sound, version: 3, routes: [...routes, ...routes] },
    { ...sound, version: 3, routes: [{ ...routes[0], service: "nowhere" }] },
    { ...sound, version: 3, routes: [{ ...routes[0], timeoutMs: 0 }] },
    { ...sound, version: 3, routes: undefined },
  ];
  for (const configuration of broken) {
    const { status } = await platform.configure(configuration);
    t.true(status >= 400 && status < 500, `status ${status}`);
  }
  const read = await platform.control("GET", "/sesamethread/config", 1);
  t.is(read.body.version, 1);
  t.is((await platform.configure(sound, 2)).status, 200);
  t.is((await platform.configure(sound, 1)).status, 200);
  const older = standinConfiguration({ version: 1, prefix: "/older/" });
  t.is((await platform.configure(older)).status, 200);
  const after = await platform.control("GET", "/sesamethread/config", 0);
  t.deepEqual(after.body, sound);
  await closeDay(day);
});

test("a failing job ends as failed after its attempts", async (t) => {
  const day = await openDay(34);
  const id = jobId(3);
  await submit(day, id, { spec: "failing", steps: [{ ...WIDE, count: 1 }] });
  await untilState(day, id, "failed");
  t.is(day.history.starts(`${id}.0.0.0`).length, 2);
  await closeDay(day);
});

test("a cancelled job is stopped and starts nothing more", async (t) => {
  const day = await openDay(35);
  const id = jobId(4);
  await submit(day, id, { spec: "slow", steps: [WIDE] });
  await untilState(day, id, "running");
  const cancelled = await day.platform.client("DELETE", `/queue/${id}`);
  t.is(cancelled.status, 200);
  await until(() =>
    Promise.resolve(
      day.history.events.filter(({ how }) => how === "stopped").length ===
        day.history.events.filter(({ kind }) => kind === "start").length,
    )
  );
  await untilState(day, id, "cancelled");
  await closeDay(day);
});

test("a data centre that is out gets nothing new", async (t) => {
  const day = await openDay(36);
  const { platform, history } = day;
  const out = await platform.control("POST", "/sesamethread/evacuate/zone-1");
  t.is(out.status, 200);
  const id = jobId(5);
  await submit(day, id, { steps: [{ ...WIDE, count: 12 }] });
  await untilState(day, id, "completed");
  t.deepEqual([...new Set(history.events.map(({ worker }) => worker))], [
    "i-3",
  ]);
  await closeDay(day);
});

test("the next leader goes on with what runs and starts nothing twice", async (t) => {
  const day = await openDay(37);
  const { platform, history } = day;
  const slow = jobId(6);
  await submit(day, slow, { spec: "slow", steps: [WIDE] });
  await until(() =>
    Promise.resolve(
      history.events.filter(({ kind }) => kind === "start").length === 5,
    )
  );
  await platform.stopLeader();
  const next = jobId(7);
  await until(async () =>
    (await submit(day, next, { steps: [WIDE] })).status === 200
  );
  await untilState(day, next, "completed");
  const { body } = await platform.client("GET", `/queue/${slow}`);
  t.is(body.state, "running");
  t.deepEqual(history.overlaps(), []);
  t.is(history.starts(`${slow}.0.0.0`).length, 1);
  await closeDay(day);
});

test("orders without an answer are not carried out twice", async (t) => {
  let calls = 0;
  const day = await openDay(38, { isMute: () => ++calls % 2 === 1 });
  const id = jobId(8);
  await submit(day, id, { steps: [WIDE] });
  await untilState(day, id, "completed");
  t.deepEqual(day.history.overlaps(), []);
  for (let index = 0; index < 5; index++) {
    t.is(day.history.starts(`${id}.0.0.${index}`).length, 1);
  }
  await closeDay(day);
});

test("what is known of a worker needs no leader to be acknowledged", async (t) => {
  const { platform, ...day } = await openDay(39);
  const at = platform.controlAddresses;
  const worker = day.workers[0]!;
  await until(() => Promise.resolve(isKnownEverywhere(platform)));
  const stopped = [await platform.stopLeader()];
  await until(async () =>
    (await platform.client("GET", "/queue/")).status === 200
  );
  stopped.push(await platform.stopLeader());
  const left = at.findIndex((address) =>
    !stopped.some((id) => address.startsWith(`${id}:`))
  );
  const beat = worker.nextHeartbeat();
  const known = await platform.heartbeat(worker.id, beat, left);
  t.is(known.status, 200);
  t.is(known.body.heartbeatUrl, at[left]);
  const draining = { ...worker.nextHeartbeat(), state: "draining" };
  t.is((await platform.heartbeat(worker.id, draining, left)).status, 503);
  await closeDay({ platform, ...day });
});

function isKnownEverywhere(platform: StandinPlatform): boolean {
  return platform.knownWorkerCounts().every((count) => count === 3);
}
