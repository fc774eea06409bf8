/**
 * End-to-end tests of the batch scheduler over loopback: operators send the
 * configuration, workers announce themselves, and clients submit jobs.
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

interface Fixture {
  readonly platform: StandinPlatform;
  readonly history: RunHistory;
  readonly workers: PlatformStandinWorker[];
}

async function openFixture(
  subnet: number,
  options: { isMute?: () => boolean } = {},
): Promise<Fixture> {
  const platform = new StandinPlatform({ subnet, events: SILENT_EVENT_LOG });
  await platform.open();
  await waitUntil(async () =>
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

async function closeFixture({ platform, workers }: Fixture): Promise<void> {
  await platform.close();
  await Promise.all(workers.map((worker) => worker.close()));
}

/** Polls until the condition is true; the test's timeout is the limit. */
async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) {
    await new Promise((resume) => setTimeout(resume, 50));
  }
}

function submit(
  { platform }: Fixture,
  id: string,
  job: { spec?: string; steps: unknown[] },
): Promise<CallResult> {
  return platform.client("POST", `/queue/${id}`, { body: job });
}

async function waitForState(
  fixture: Fixture,
  id: string,
  state: string,
): Promise<void> {
  await waitUntil(async () =>
    (await fixture.platform.client("GET", `/queue/${id}`)).body.state === state
  );
}

function jobId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

const GANG_STEP = { count: 3, cpu: 1_000, memMb: 1_024, gpu: 8, gang: true };
const PARALLEL_STEP = {
  count: 5,
  cpu: 1_000,
  memMb: 1_024,
  gpu: 1,
  estimateMs: 200,
};

test("each task of a job runs once, in the order of the steps", async (t) => {
  const fixture = await openFixture(31);
  const id = jobId(1);
  const accepted = await submit(fixture, id, {
    steps: [PARALLEL_STEP, { ...GANG_STEP, after: [0] }],
  });
  t.is(accepted.status, 200);
  await waitForState(fixture, id, "completed");
  const { history } = fixture;
  t.is(history.events.filter(({ kind }) => kind === "start").length, 8);
  const firstOfGang = history.events.findIndex(({ kind, task }) =>
    kind === "start" && task.startsWith(`${id}.0.1.`)
  );
  const endsBefore = history.events.slice(0, firstOfGang)
    .filter(({ how }) => how === "done");
  t.is(endsBefore.length, 5);
  const again = await submit(fixture, id, { steps: [PARALLEL_STEP] });
  t.is(again.status, 200);
  t.is(history.events.filter(({ kind }) => kind === "start").length, 8);
  await closeFixture(fixture);
});

// Guards against job IDs that are accepted but not recognized in reports: their
// tasks were started again and again.
test("a job ID may have capital digits, and other IDs are refused", async (t) => {
  const fixture = await openFixture(40);
  const { platform, history } = fixture;
  const id = "5C0E7A21D94B36F8";
  t.is((await submit(fixture, id, { steps: [PARALLEL_STEP] })).status, 200);
  await waitForState(fixture, id, "completed");
  const starts = history.events.filter(({ kind }) => kind === "start");
  t.is(starts.length, PARALLEL_STEP.count);
  for (const odd of ["5C0E7A21D94B36F", `${id}0`, "5c0e7a21d94b36fg", "a.b"]) {
    const refused = await submit(fixture, odd, { steps: [PARALLEL_STEP] });
    t.is(refused.status, 400, odd);
    t.is((await platform.client("GET", `/queue/${odd}`)).status, 410, odd);
  }
  t.is((await platform.client("GET", "/queue/")).body.pending, 0);
  await closeFixture(fixture);
});

test("invalid calls get the matching status and start nothing", async (t) => {
  const fixture = await openFixture(32);
  const { platform, history } = fixture;
  const id = jobId(2);
  const unknownKey = await platform.client("POST", `/queue/${id}`, {
    body: { steps: [PARALLEL_STEP] },
    apiKey: "nobody's",
  });
  t.is(unknownKey.status, 401);
  const unknownQueue = await platform.client("POST", `/other/${id}`, {
    body: { steps: [PARALLEL_STEP] },
  });
  t.is(unknownQueue.status, 404);
  t.is((await submit(fixture, id, { steps: [] })).status, 400);
  t.is((await platform.client("GET", `/queue/${id}`)).status, 410);
  t.is((await platform.client("DELETE", `/queue/${id}`)).status, 410);
  t.is((await platform.client("GET", "/queue/")).body.pending, 0);
  t.is(history.events.length, 0);
  await closeFixture(fixture);
});

test("an invalid configuration is rejected and changes nothing", async (t) => {
  const fixture = await openFixture(33);
  const { platform } = fixture;
  const valid = standinConfiguration({ version: 2, prefix: "/moved/" });
  const routes = valid.routes as Record<string, unknown>[];
  const invalid = [
    { ...valid, version: 3, routes: [...routes, ...routes] },
    { ...valid, version: 3, routes: [{ ...routes[0], service: "nowhere" }] },
    { ...valid, version: 3, routes: [{ ...routes[0], timeoutMs: 0 }] },
    { ...valid, version: 3, routes: undefined },
  ];
  for (const configuration of invalid) {
    const { status } = await platform.configure(configuration);
    t.true(status >= 400 && status < 500, `status ${status}`);
  }
  const read = await platform.control("GET", "/sesamethread/config", 1);
  t.is(read.body.version, 1);
  t.is((await platform.configure(valid, 2)).status, 200);
  t.is((await platform.configure(valid, 1)).status, 200);
  const older = standinConfiguration({ version: 1, prefix: "/older/" });
  t.is((await platform.configure(older)).status, 200);
  const after = await platform.control("GET", "/sesamethread/config", 0);
  t.deepEqual(after.body, valid);
  await closeFixture(fixture);
});

test("a job ends as failed after its last failed attempt", async (t) => {
  const fixture = await openFixture(34);
  const id = jobId(3);
  await submit(fixture, id, {
    spec: "failing",
    steps: [{ ...PARALLEL_STEP, count: 1 }],
  });
  await waitForState(fixture, id, "failed");
  t.is(fixture.history.starts(`${id}.0.0.0`).length, 2);
  await closeFixture(fixture);
});

test("the running tasks of a cancelled job are all stopped", async (t) => {
  const fixture = await openFixture(35);
  const id = jobId(4);
  await submit(fixture, id, { spec: "slow", steps: [PARALLEL_STEP] });
  await waitForState(fixture, id, "running");
  const cancelled = await fixture.platform.client("DELETE", `/queue/${id}`);
  t.is(cancelled.status, 200);
  await waitUntil(() =>
    Promise.resolve(
      fixture.history.events.filter(({ how }) => how === "stopped").length ===
        fixture.history.events.filter(({ kind }) => kind === "start").length,
    )
  );
  await waitForState(fixture, id, "cancelled");
  await closeFixture(fixture);
});

test("a data centre that is out gets no new tasks", async (t) => {
  const fixture = await openFixture(36);
  const { platform, history } = fixture;
  const response = await platform.control(
    "POST",
    "/sesamethread/evacuate/zone-1",
  );
  t.is(response.status, 200);
  const id = jobId(5);
  await submit(fixture, id, { steps: [{ ...PARALLEL_STEP, count: 12 }] });
  await waitForState(fixture, id, "completed");
  t.deepEqual([...new Set(history.events.map(({ worker }) => worker))], [
    "i-3",
  ]);
  await closeFixture(fixture);
});

test("the next leader keeps running tasks and restarts none", async (t) => {
  const fixture = await openFixture(37);
  const { platform, history } = fixture;
  const slow = jobId(6);
  await submit(fixture, slow, { spec: "slow", steps: [PARALLEL_STEP] });
  await waitUntil(() =>
    Promise.resolve(
      history.events.filter(({ kind }) => kind === "start").length === 5,
    )
  );
  await platform.stopLeader();
  const next = jobId(7);
  await waitUntil(async () =>
    (await submit(fixture, next, { steps: [PARALLEL_STEP] })).status === 200
  );
  await waitForState(fixture, next, "completed");
  const { body } = await platform.client("GET", `/queue/${slow}`);
  t.is(body.state, "running");
  t.deepEqual(history.overlaps(), []);
  t.is(history.starts(`${slow}.0.0.0`).length, 1);
  await closeFixture(fixture);
});

test("start calls that get no answer are not carried out twice", async (t) => {
  let calls = 0;
  const fixture = await openFixture(38, { isMute: () => ++calls % 2 === 1 });
  const id = jobId(8);
  await submit(fixture, id, { steps: [PARALLEL_STEP] });
  await waitForState(fixture, id, "completed");
  t.deepEqual(fixture.history.overlaps(), []);
  for (let index = 0; index < 5; index++) {
    t.is(fixture.history.starts(`${id}.0.0.${index}`).length, 1);
  }
  await closeFixture(fixture);
});

test("an unchanged heartbeat is acknowledged without a leader", async (t) => {
  const { platform, ...fixture } = await openFixture(39);
  const addresses = platform.controlAddresses;
  const worker = fixture.workers[0]!;
  await waitUntil(() => Promise.resolve(isKnownEverywhere(platform)));
  const stopped = [await platform.stopLeader()];
  await waitUntil(async () =>
    (await platform.client("GET", "/queue/")).status === 200
  );
  stopped.push(await platform.stopLeader());
  const remaining = addresses.findIndex((address) =>
    !stopped.some((id) => address.startsWith(`${id}:`))
  );
  const heartbeat = worker.nextHeartbeat();
  const response = await platform.heartbeat(worker.id, heartbeat, remaining);
  t.is(response.status, 200);
  t.is(response.body.heartbeatUrl, addresses[remaining]);
  const draining = { ...worker.nextHeartbeat(), state: "draining" };
  t.is((await platform.heartbeat(worker.id, draining, remaining)).status, 503);
  await closeFixture({ platform, ...fixture });
});

// Guards against another writer's entry that is taken for a live worker.
test("odd entries under a live worker's ID change nothing", async (t) => {
  const fixture = await openFixture(41);
  const { platform, history } = fixture;
  const worker = fixture.workers[0]!;
  await waitUntil(() => Promise.resolve(isKnownEverywhere(platform)));
  const id = jobId(9);
  await submit(fixture, id, { spec: "slow", steps: [GANG_STEP] });
  await waitForState(fixture, id, "running");
  const born = Date.now() + 1_000;
  const nested = "[".repeat(2_000) + "]".repeat(2_000);
  const entries: readonly Record<string, unknown>[] = [
    { born: String(born) },
    { born: 1e300 },
    { born: 9e15 },
    { born, seq: 1e300 },
    { born, address: "127.0.0.1:99999" },
    { born, service: "another" },
    { born, capacity: JSON.parse(nested) },
  ];
  for (const [at, entry] of entries.entries()) {
    const body = { ...worker.nextHeartbeat(), ...entry };
    for (const core of [0, 1, 2]) {
      const { status } = await platform.heartbeat(worker.id, body, core);
      t.is(status, 400, `entry ${at}`);
    }
  }
  await new Promise((resume) => setTimeout(resume, 1_500));
  t.deepEqual(platform.knownWorkerCounts(), [3, 3, 3]);
  const { body } = await platform.client("GET", `/queue/${id}`);
  t.is(body.state, "running");
  t.is(history.starts(`${id}.0.0.0`).length, 1);
  await closeFixture(fixture);
});

function isKnownEverywhere(platform: StandinPlatform): boolean {
  return platform.knownWorkerCounts().every((count) => count === 3);
}
