/**
 * The failure scenarios of the process tests. Checks concern only outcomes:
 * what was answered, stored, run and stopped.
 *
 * @module
 */

import process from "node:process";
import { CONFIGURATION_GROUP } from "../../src/process/daemon/configuration_subsystem.ts";
import { dataCentreGroup } from "../../src/process/daemon/data_centre_subsystem.ts";
import { SectionClient } from "../../src/programs/commands/config/section_client.ts";
import { Cluster, delay } from "./cluster.ts";
import { failDisksInTurn } from "./disk_scenario.ts";
import { EditLoad } from "./edit_load.ts";
import { findJobViolations, type SubmittedJob } from "./job_checker.ts";
import { RequestLoad } from "./request_load.ts";

const KEY = "operations:demo-operations-key";
const EAST_GROUP = dataCentreGroup("east");

/**
 * Longer than leader leases (below 1.3 s) and the start permission (2 s); a
 * task's lease is longer (10 s).
 */
const PAST_LEADER_LEASES_MS = 8_000;

const cluster = new Cluster({ folder: process.argv[2] ?? "run/process" });
const instanceIds = cluster.layout.instances.map(({ id }) => id);
const loads: { stop(): Promise<void> }[] = [];
let passed = 0;
let failed = 0;

async function runScenario(
  name: string,
  run: () => Promise<readonly string[]>,
): Promise<void> {
  let violations: readonly string[];
  try {
    violations = await run();
  } catch (error) {
    violations = [error instanceof Error ? error.message : String(error)];
  }
  await cleanUp();
  if (violations.length === 0) {
    passed += 1;
    process.stdout.write(`ok - ${name}\n`);
    return;
  }
  failed += 1;
  process.stdout.write(`not ok - ${name}\n`);
  violations.slice(0, 10).forEach((violation) =>
    process.stdout.write(`  ${violation}\n`)
  );
}

/**
 * Prepares the next scenario: stops the loads, reopens the links, and lets
 * instances run again that were left frozen or stopped.
 */
async function cleanUp(): Promise<void> {
  await Promise.all(loads.splice(0).map((load) => load.stop()));
  await cluster.setLinks({ mode: "open" });
  for (const id of instanceIds) {
    cluster.signal(id, "SIGCONT");
    cluster.release(id);
  }
}

function startRequestLoad(dataCentre: string, callers: number): RequestLoad {
  const load = new RequestLoad({ cluster, dataCentre, callers });
  loads.push(load);
  return load;
}

function startEditLoad(operators: number): EditLoad {
  const load = new EditLoad({ cluster, operators });
  loads.push(load);
  return load;
}

/**
 * Waits until every instance has a configuration and lists all workers and the
 * backend servers of its data centre.
 */
async function waitUntilAllServe(): Promise<void> {
  await cluster.waitUntil("every instance serves", async () => {
    for (const id of instanceIds) {
      const status = await cluster.get(id, "/v1/status");
      const backends = await cluster.get(id, "/v1/backends");
      const workers = await cluster.get(id, "/v1/workers");
      const isServing =
        (status as { configurationVersion: number })?.configurationVersion >
          0 &&
        (backends as { backends: unknown[] })?.backends.length === 2 &&
        (workers as { workers: unknown[] })?.workers.length === 8;
      if (!isServing) {
        return false;
      }
    }
    return true;
  });
}

/**
 * Waits until further requests of the load have been answered, so that the load
 * has started, or has got past a failure.
 */
async function waitForAnswers(load: RequestLoad, count: number): Promise<void> {
  const target = load.answered + count;
  await cluster.waitUntil(
    "more requests are answered",
    () => load.answered >= target,
  );
}

async function submitJobs(
  count: number,
  options: { prefix: string; runMs: number; dataCentre: string },
): Promise<SubmittedJob[]> {
  const jobs = Array.from({ length: count }, (_, index) => ({
    jobId: `${options.prefix}-${index}`,
    tasks: 2,
  }));
  for (const job of jobs) {
    await submitJob(job, options);
  }
  return jobs;
}

async function submitJob(
  job: SubmittedJob,
  options: { runMs: number; dataCentre: string },
): Promise<void> {
  const body = JSON.stringify({
    ...job,
    clientAccount: "school-trips",
    jobClass: "normal",
    resources: { cores: 1, memoryBytes: 1_000_000, accelerators: 2 },
    adjacency: "rack",
    declaredRunMs: options.runMs,
    dataCentres: [options.dataCentre],
    command: ["run", String(options.runMs)],
  });
  await cluster.waitUntil(`${job.jobId} is accepted`, async () => {
    for (const { id, dataCentre } of cluster.layout.instances) {
      if (dataCentre !== options.dataCentre) {
        continue;
      }
      const result = await cluster.client(id)
        .call({ method: "POST", path: "/v1/jobs", body });
      if (result.isRight()) {
        return true;
      }
    }
    return false;
  });
}

async function waitForJobsToEnd(
  jobs: readonly SubmittedJob[],
  instanceId: string,
): Promise<void> {
  for (const { jobId } of jobs) {
    await cluster.waitUntil(`${jobId} ends`, async () => {
      const answer = await cluster.get(instanceId, `/v1/jobs/${jobId}`);
      const job = (answer as { job: { state: string } } | undefined)?.job;
      return job?.state === "ended";
    });
  }
}

async function killLeaders(): Promise<string[]> {
  const requests = startRequestLoad("east", 8);
  const edits = startEditLoad(3);
  await waitForAnswers(requests, 50);
  const configurationLeader = await cluster.leader(CONFIGURATION_GROUP);
  cluster.signal(configurationLeader, "SIGKILL");
  await waitForAnswers(requests, 50);
  await cluster.leader(CONFIGURATION_GROUP);
  const editsBefore = edits.accepted.length;
  await cluster.waitUntil(
    "more edits are accepted",
    () => edits.accepted.length > editsBefore + 3,
  );
  await requests.stop();
  await edits.stop();
  await waitUntilAllServe();
  return [
    ...await requests.findViolations(),
    ...await edits.findViolations(await cluster.leader(CONFIGURATION_GROUP)),
  ];
}

async function killSchedulerLeader(): Promise<string[]> {
  const jobs = await submitJobs(6, {
    prefix: "killed",
    runMs: 4_000,
    dataCentre: "east",
  });
  await delay(500);
  cluster.signal(await cluster.leader(EAST_GROUP), "SIGKILL");
  await waitUntilAllServe();
  await waitForJobsToEnd(jobs, "west-1");
  return findJobViolations(cluster.taskRecords(), jobs);
}

async function freezeLeader(): Promise<string[]> {
  const jobs = await submitJobs(4, {
    prefix: "frozen",
    runMs: 3_000,
    dataCentre: "east",
  });
  const requests = startRequestLoad("east", 4);
  const edits = startEditLoad(2);
  await waitForAnswers(requests, 20);
  const frozen = await cluster.leader(EAST_GROUP);
  cluster.signal(frozen, "SIGSTOP");
  await delay(PAST_LEADER_LEASES_MS);
  cluster.signal(frozen, "SIGCONT");
  await waitForAnswers(requests, 20);
  await requests.stop();
  await edits.stop();
  await waitUntilAllServe();
  await waitForJobsToEnd(jobs, "west-1");
  return [
    ...await requests.findViolations(),
    ...await edits.findViolations(await cluster.leader(CONFIGURATION_GROUP)),
    ...findJobViolations(cluster.taskRecords(), jobs),
  ];
}

async function wipeThenKillAnother(): Promise<string[]> {
  const edits = startEditLoad(2);
  await cluster.waitUntil(
    "edits are accepted",
    () => edits.accepted.length > 3,
  );
  await cluster.stopAndHold("east-1", "SIGKILL");
  cluster.deleteData("east-1");
  cluster.release("east-1");
  await cluster.waitUntil(
    "the member without its data is a voter again",
    async () => {
      const leader = await cluster.leader(CONFIGURATION_GROUP);
      const member = await cluster.member(leader, CONFIGURATION_GROUP);
      return member?.voterIds.includes("east-1") === true &&
        await cluster.member("east-1", CONFIGURATION_GROUP) !== undefined;
    },
  );
  await cluster.stopAndHold("east-2", "SIGKILL");
  const acceptedBefore = edits.accepted.length;
  await cluster.waitUntil(
    "more edits are accepted",
    () => edits.accepted.length > acceptedBefore + 3,
  );
  cluster.release("east-2");
  await edits.stop();
  await waitUntilAllServe();
  return await edits.findViolations("east-1");
}

async function cutDataCentres(): Promise<string[]> {
  const east = startRequestLoad("east", 3);
  const west = startRequestLoad("west", 3);
  await waitForAnswers(east, 20);
  await cluster.setLinks({ mode: "silent" });
  const sections = new SectionClient({
    client: cluster.client("east-3"),
    key: KEY,
    attemptsLimit: 20,
  });
  const acceptedAtMs = await takeOut(sections, "west");
  await submitJob({ jobId: "while-cut", tasks: 2 }, {
    runMs: 500,
    dataCentre: "west",
  });
  await waitForAnswers(east, 20);
  await waitForAnswers(west, 20);
  await delay(PAST_LEADER_LEASES_MS);
  const lateStarts = cluster.taskRecords().filter(({ jobId, kind, atMs }) =>
    jobId === "while-cut" && kind === "started" && atMs > acceptedAtMs + 2_000
  );
  await cluster.setLinks({ mode: "open" });
  await east.stop();
  await west.stop();
  await putIn(sections, "west");
  await waitForJobsToEnd([{ jobId: "while-cut", tasks: 2 }], "east-1");
  return [
    ...lateStarts.map(({ jobId }) => `${jobId} started after the removal`),
    ...await east.findViolations(),
    ...await west.findViolations(),
  ];
}

/**
 * Takes a data centre out; returns the time at which the removal was seen to be
 * accepted.
 */
async function takeOut(
  sections: SectionClient,
  dataCentre: string,
): Promise<number> {
  const editId = await setStatus(sections, { dataCentre, status: "out" });
  await cluster.waitUntil("the removal is accepted", async () => {
    const edit = await sections.readEditState(editId);
    return edit.map(({ state }) => state === "accepted").orDefault(false);
  });
  return Date.now();
}

async function putIn(
  sections: SectionClient,
  dataCentre: string,
): Promise<void> {
  await setStatus(sections, { dataCentre, status: "in" });
}

async function setStatus(
  sections: SectionClient,
  options: { dataCentre: string; status: "in" | "out" },
): Promise<string> {
  const sectionId = { kind: "dataCentres", name: options.dataCentre } as const;
  const editId = `${options.dataCentre}-${options.status}`;
  await cluster.waitUntil(`${editId} is committed`, async () => {
    const current = (await sections.read(sectionId)).toMaybe().extract();
    const text = current?.text?.replace(
      /status = "\w+"/,
      `status = "${options.status}"`,
    );
    if (current === undefined || text === undefined) {
      return false;
    }
    const result = await sections.edit({
      sectionId,
      editId,
      baseVersion: current.version,
      text,
    });
    return result.isRight();
  });
  return editId;
}

async function rollingRestart(): Promise<string[]> {
  const requests = startRequestLoad("east", 6);
  const edits = startEditLoad(2);
  const codesBefore = instanceIds.map((id) => cluster.exitCodes(id).length);
  for (const id of instanceIds) {
    const runs = cluster.exitCodes(id).length;
    cluster.signal(id, "SIGTERM");
    await cluster.waitUntil(
      `${id} has stopped`,
      () => cluster.exitCodes(id).length > runs,
    );
    await waitUntilAllServe();
  }
  await requests.stop();
  await edits.stop();
  const codes = instanceIds.flatMap((id, index) =>
    cluster.exitCodes(id).slice(codesBefore[index])
  );
  const unanswered = requests.outcomes
    .filter(({ kind }) => kind !== "answered")
    .map(({ requestId, kind }) => `${requestId} ended as ${kind}`);
  return [
    ...codes.filter((code) => code !== 0).map((code) => `exit code ${code}`),
    ...unanswered,
    ...await requests.findViolations(),
    ...await edits.findViolations("west-1"),
  ];
}

await runScenario("everything starts", async () => {
  await waitUntilAllServe();
  return [];
});
await runScenario("kill -9 of the configuration's leader", killLeaders);
await runScenario("kill -9 of the scheduler's leader", killSchedulerLeader);
await runScenario("a leader frozen past its leases", freezeLeader);
await runScenario(
  "a member loses its disk, then another is killed",
  wipeThenKillAnother,
);
await runScenario(
  "disks that fail in turn",
  () =>
    failDisksInTurn(cluster, { edits: startEditLoad(2), waitUntilAllServe }),
);
await runScenario("data centres cut off silently", cutDataCentres);
await runScenario("a graceful restart of every instance", rollingRestart);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
