/**
 * The failures that process tests cause, and what has to come of them. Every
 * verdict is about outcomes: what was answered, kept, run and stopped.
 *
 * @module
 */

import process from "node:process";
import { CONFIGURATION_GROUP } from "../../src/process/daemon/configuration_subsystem.ts";
import { dataCentreGroup } from "../../src/process/daemon/data_centre_subsystem.ts";
import { SectionClient } from "../../src/programs/commands/config/section_client.ts";
import { Cluster, pause } from "./cluster.ts";
import { EditLoad } from "./edit_load.ts";
import { findJobFaults, type SubmittedJob } from "./job_judge.ts";
import { RequestLoad } from "./request_load.ts";

const KEY = "operations:demo-operations-key";
const EAST_GROUP = dataCentreGroup("east");

/** Well past every lease of the system. */
const PAST_LEASES_MS = 8_000;

const cluster = new Cluster({ folder: process.argv[2] ?? "run/process" });
const instanceIds = cluster.layout.instances.map(({ id }) => id);
const loads: { stop(): Promise<void> }[] = [];
let passed = 0;
let failed = 0;

async function scenario(
  name: string,
  run: () => Promise<readonly string[]>,
): Promise<void> {
  let faults: readonly string[];
  try {
    faults = await run();
  } catch (error) {
    faults = [error instanceof Error ? error.message : String(error)];
  }
  await tidyUp();
  if (faults.length === 0) {
    passed += 1;
    process.stdout.write(`ok - ${name}\n`);
    return;
  }
  failed += 1;
  process.stdout.write(`not ok - ${name}\n`);
  faults.slice(0, 10).forEach((fault) => process.stdout.write(`  ${fault}\n`));
}

/** Ends what a scenario left behind, so that the next one starts afresh. */
async function tidyUp(): Promise<void> {
  await Promise.all(loads.splice(0).map((load) => load.stop()));
  await cluster.setLinks({ mode: "open" });
  for (const id of instanceIds) {
    cluster.signal(id, "SIGCONT");
    cluster.up(id);
  }
}

function loadRequests(dataCentre: string, callers: number): RequestLoad {
  const load = new RequestLoad({ cluster, dataCentre, callers });
  loads.push(load);
  return load;
}

function loadEdits(operators: number): EditLoad {
  const load = new EditLoad({ cluster, operators });
  loads.push(load);
  return load;
}

/** Waits until every instance serves, and knows workers and servers. */
async function waitForAll(): Promise<void> {
  await cluster.until("every instance serves", async () => {
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

/** Waits until the load has gone on, so that the failure is behind it. */
async function untilServed(load: RequestLoad, more: number): Promise<void> {
  const target = load.answered + more;
  await cluster.until("requests go on", () => load.answered >= target);
}

async function submitJobs(
  count: number,
  options: { prefix: string; runMs: number; dataCentre: string },
): Promise<SubmittedJob[]> {
  const jobs = Array.from({ length: count }, (_, at) => ({
    jobId: `${options.prefix}-${at}`,
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
  await cluster.until(`${job.jobId} is accepted`, async () => {
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

async function untilJobsEnd(
  jobs: readonly SubmittedJob[],
  askId: string,
): Promise<void> {
  for (const { jobId } of jobs) {
    await cluster.until(`${jobId} ends`, async () => {
      const answer = await cluster.get(askId, `/v1/jobs/${jobId}`);
      const job = (answer as { job: { state: string } } | undefined)?.job;
      return job?.state === "ended";
    });
  }
}

async function killLeaders(): Promise<string[]> {
  const requests = loadRequests("east", 8);
  const edits = loadEdits(3);
  await untilServed(requests, 50);
  const configurationLeader = await cluster.leader(CONFIGURATION_GROUP);
  cluster.signal(configurationLeader, "SIGKILL");
  await untilServed(requests, 50);
  await cluster.leader(CONFIGURATION_GROUP);
  const editsBefore = edits.accepted.length;
  await cluster.until(
    "edits go on",
    () => edits.accepted.length > editsBefore + 3,
  );
  await requests.stop();
  await edits.stop();
  await waitForAll();
  return [
    ...await requests.faults(),
    ...await edits.faults(await cluster.leader(CONFIGURATION_GROUP)),
  ];
}

async function killSchedulerLeader(): Promise<string[]> {
  const jobs = await submitJobs(6, {
    prefix: "killed",
    runMs: 4_000,
    dataCentre: "east",
  });
  await pause(500);
  cluster.signal(await cluster.leader(EAST_GROUP), "SIGKILL");
  await waitForAll();
  await untilJobsEnd(jobs, "west-1");
  return findJobFaults(cluster.taskNotes(), jobs);
}

async function freezeLeader(): Promise<string[]> {
  const jobs = await submitJobs(4, {
    prefix: "frozen",
    runMs: 3_000,
    dataCentre: "east",
  });
  const requests = loadRequests("east", 4);
  const edits = loadEdits(2);
  await untilServed(requests, 20);
  const frozen = await cluster.leader(EAST_GROUP);
  cluster.signal(frozen, "SIGSTOP");
  await pause(PAST_LEASES_MS);
  cluster.signal(frozen, "SIGCONT");
  await untilServed(requests, 20);
  await requests.stop();
  await edits.stop();
  await waitForAll();
  await untilJobsEnd(jobs, "west-1");
  return [
    ...await requests.faults(),
    ...await edits.faults(await cluster.leader(CONFIGURATION_GROUP)),
    ...findJobFaults(cluster.taskNotes(), jobs),
  ];
}

async function wipeAndLoseAnother(): Promise<string[]> {
  const edits = loadEdits(2);
  await cluster.until("edits are accepted", () => edits.accepted.length > 3);
  await cluster.down("east-1", "SIGKILL");
  cluster.wipe("east-1");
  cluster.up("east-1");
  await cluster.until("the wiped member votes again", async () => {
    const leader = await cluster.leader(CONFIGURATION_GROUP);
    const member = await cluster.member(leader, CONFIGURATION_GROUP);
    return member?.voterIds.includes("east-1") === true &&
      await cluster.member("east-1", CONFIGURATION_GROUP) !== undefined;
  });
  await cluster.down("east-2", "SIGKILL");
  const before = edits.accepted.length;
  await cluster.until("edits go on", () => edits.accepted.length > before + 3);
  cluster.up("east-2");
  await edits.stop();
  await waitForAll();
  return await edits.faults("east-1");
}

async function cutDataCentres(): Promise<string[]> {
  const east = loadRequests("east", 3);
  const west = loadRequests("west", 3);
  await untilServed(east, 20);
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
  await untilServed(east, 20);
  await untilServed(west, 20);
  await pause(PAST_LEASES_MS);
  const early = cluster.taskNotes().filter(({ jobId, kind, atMs }) =>
    jobId === "while-cut" && kind === "started" && atMs > acceptedAtMs + 2_000
  );
  await cluster.setLinks({ mode: "open" });
  await east.stop();
  await west.stop();
  await putIn(sections, "west");
  await untilJobsEnd([{ jobId: "while-cut", tasks: 2 }], "east-1");
  return [
    ...early.map(({ jobId }) => `${jobId} started after the removal`),
    ...await east.faults(),
    ...await west.faults(),
  ];
}

/** Gives the moment by which the removal was said to hold. */
async function takeOut(
  sections: SectionClient,
  dataCentre: string,
): Promise<number> {
  const editId = await setStatus(sections, { dataCentre, status: "out" });
  await cluster.until("the removal holds", async () => {
    const fate = await sections.readEditState(editId);
    return fate.map(({ state }) => state === "accepted").orDefault(false);
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
  await cluster.until(`${editId} is made`, async () => {
    const current = (await sections.read(sectionId)).toMaybe().extract();
    const text = current?.text?.replace(
      /status = "\w+"/,
      `status = "${options.status}"`,
    );
    if (current === undefined || text === undefined) {
      return false;
    }
    const made = await sections.edit({
      sectionId,
      editId,
      baseVersion: current.version,
      text,
    });
    return made.isRight();
  });
  return editId;
}

async function rollingRestart(): Promise<string[]> {
  const requests = loadRequests("east", 6);
  const edits = loadEdits(2);
  const codesBefore = instanceIds.map((id) => cluster.exitCodes(id).length);
  for (const id of instanceIds) {
    const runs = cluster.exitCodes(id).length;
    cluster.signal(id, "SIGTERM");
    await cluster.until(
      `${id} has stopped`,
      () => cluster.exitCodes(id).length > runs,
    );
    await waitForAll();
  }
  await requests.stop();
  await edits.stop();
  const codes = instanceIds.flatMap((id, at) =>
    cluster.exitCodes(id).slice(codesBefore[at])
  );
  const unanswered = requests.endings
    .filter(({ kind }) => kind !== "answered")
    .map(({ requestId, kind }) => `${requestId} ended as ${kind}`);
  return [
    ...codes.filter((code) => code !== 0).map((code) => `exit code ${code}`),
    ...unanswered,
    ...await requests.faults(),
    ...await edits.faults("west-1"),
  ];
}

await scenario("everything starts", async () => {
  await waitForAll();
  return [];
});
await scenario("kill -9 of the configuration's leader", killLeaders);
await scenario("kill -9 of the scheduler's leader", killSchedulerLeader);
await scenario("a leader frozen past its leases", freezeLeader);
await scenario("a wiped member, then another lost", wipeAndLoseAnother);
await scenario("data centres cut off silently", cutDataCentres);
await scenario("a graceful restart of every instance", rollingRestart);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
