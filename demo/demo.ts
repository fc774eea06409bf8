/**
 * The demo's story: requests, gangs, a data centre out and back, and the time
 * line. It exits 0 only if everything came out as promised.
 *
 * @module
 */

import process from "node:process";
import { WaitReason } from "../src/process/scheduler/core/mod.ts";
import type { TimelineRecord } from "../src/process/timeline/mod.ts";
import {
  ask,
  type DemoAnswer,
  type DemoInstance,
  type DemoJob,
  get,
  INSTANCES,
  jobIn,
  submit,
  submitRefused,
  switchStatus,
  waitFor,
} from "./demo_api.ts";

const START_LIMIT_MS = 15_000;
const JOB_LIMIT_MS = 20_000;
const REQUESTS = 60;
const WORKERS = 12;
const SERVERS: Readonly<Record<DemoInstance, number>> = {
  "east-1": 2,
  "east-2": 2,
  "west-1": 1,
};

const faults: string[] = [];
const ranWhere = new Map<string, string>();

function say(text: string): void {
  process.stdout.write(text + "\n");
}

function expect(isRight: boolean, what: string): void {
  say(`  ${isRight ? "right" : "WRONG"}: ${what}`);
  if (!isRight) {
    faults.push(what);
  }
}

async function waitForStart(): Promise<void> {
  say("waiting for three instances, their servers and workers");
  for (const instance of Object.keys(INSTANCES) as DemoInstance[]) {
    await waitFor(`${instance} is ready`, {
      withinMs: START_LIMIT_MS,
      isTrue: () => isReady(instance),
    });
  }
  await waitFor("all workers", {
    withinMs: START_LIMIT_MS,
    isTrue: async () => {
      const answer = await get("east-1", "/v1/workers");
      return (answer as { workers: unknown[] })?.workers.length === WORKERS;
    },
  });
}

async function isReady(instance: DemoInstance): Promise<boolean> {
  const status = await get(instance, "/v1/status");
  const version = (status as { configurationVersion: number })
    ?.configurationVersion;
  const listed = await get(instance, "/v1/backends");
  const servers = (listed as { backends: unknown[] })?.backends.length;
  return version > 0 && servers === SERVERS[instance];
}

async function sendRequests(): Promise<void> {
  say(`sending ${REQUESTS} non-idempotent requests through all instances`);
  const instances = Object.keys(INSTANCES) as DemoInstance[];
  const answers = await Promise.all(
    Array.from({ length: REQUESTS }, async (_, number) => {
      const requestId = `demo-${number}`;
      const answer = await ask(instances[number % 3] as DemoInstance, {
        requestId,
        requestClass: number % 4 === 0 ? "urgent" : "normal",
        body: `body of ${requestId}`,
      });
      return { requestId, answer };
    }),
  );
  const own = answers.filter(({ requestId, answer }) =>
    isOwnAnswer(answer, requestId)
  );
  expect(own.length === REQUESTS, `${own.length} got their own answers`);
  for (const { answer } of answers) {
    ranWhere.set(`request ${answer.requestId}`, answer.server);
  }
  await resend(answers[1]?.answer as DemoAnswer);
}

function isOwnAnswer(answer: DemoAnswer, requestId: string): boolean {
  return answer.requestId === requestId && answer.run === 1 &&
    answer.body === `body of ${requestId}`;
}

async function resend(first: DemoAnswer): Promise<void> {
  const again = await ask("east-1", {
    requestId: first.requestId,
    requestClass: "normal",
    body: first.body,
  });
  const isSame = again.run === 1 && again.server === first.server;
  expect(isSame, "a request sent again got its first answer, and ran once");
}

async function runGangs(): Promise<void> {
  say("submitting gangs");
  for (const file of ["urgent_gang", "density_sweep"]) {
    const { jobId } = await submit(file);
    const ended = await jobIn("ended", { jobId, withinMs: JOB_LIMIT_MS });
    expect(ended.end?.outcome === "succeeded", `job ${jobId} succeeded`);
    noteJob(ended);
  }
  const refusal = await submitRefused("never_fits");
  expect(
    refusal?.kind === "neverFits",
    `job never-fits refused at once: ${refusal?.message}`,
  );
}

function noteJob(ended: DemoJob): void {
  ranWhere.set(`job ${ended.jobId}`, ended.dataCentre);
}

async function moveDataCentre(): Promise<void> {
  say("a long gang runs in east");
  const { jobId } = await submit("urgent_gang", {
    jobId: "long-gang",
    jobClass: "normal",
    declaredRunMs: 6_000,
    command: ["run", "6000"],
    dataCentres: ["east"],
  });
  await jobIn("running", { jobId, withinMs: JOB_LIMIT_MS });
  say("taking east out");
  expect(await switchStatus("east", "out") === 0, "the removal holds");
  const waiting = await jobIn("queued", { jobId, withinMs: JOB_LIMIT_MS });
  expect(
    waiting.waitText === WaitReason.dataCentreOut,
    `${jobId} was stopped; it waits: ${waiting.waitText}`,
  );
  const served = await ask("east-1", {
    requestId: "while-out",
    requestClass: "urgent",
    body: "body of while-out",
  });
  expect(isOwnAnswer(served, "while-out"), "east serves requests all the same");
  say("taking east back in");
  expect(await switchStatus("east", "in") === 0, "east is back");
  const ended = await jobIn("ended", { jobId, withinMs: 2 * JOB_LIMIT_MS });
  expect(ended.end?.outcome === "succeeded", `${jobId} went on and succeeded`);
  noteJob(ended);
}

async function showTimeline(): Promise<void> {
  say("the time line of the long gang, over all instances");
  const answer = await get("west-1", "/v1/timeline?job=long-gang");
  const { records } = answer as { records: TimelineRecord[] };
  for (const { wallMs, instance, name, fields } of records) {
    const time = new Date(wallMs).toISOString().slice(11, 23);
    say(`  ${time} ${instance} ${name} ${JSON.stringify(fields)}`);
  }
  expect(records.length > 0, `${records.length} events`);
}

function summarise(): void {
  say("what ran where");
  const counts = new Map<string, number>();
  for (const [what, where] of ranWhere) {
    const kind = what.split(" ")[0];
    const key = `${kind}s on ${where}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  for (const [key, number] of [...counts].sort()) {
    say(`  ${String(number).padStart(3)} ${key}`);
  }
}

async function main(): Promise<void> {
  try {
    await waitForStart();
    await sendRequests();
    await runGangs();
    await moveDataCentre();
    await showTimeline();
  } catch (error) {
    expect(false, error instanceof Error ? error.message : String(error));
  }
  summarise();
  process.exitCode = faults.length === 0 ? 0 : 1;
}

await main();
