/**
 * The demo's scenario: requests, gangs, a data centre that is taken out and put
 * back in, and the timeline. Exits 0 only if every check passes.
 *
 * @module
 */

import process from "node:process";
import { WaitReason } from "../src/process/scheduler/core/mod.ts";
import type { TimelineRecord } from "../src/process/timeline/mod.ts";
import {
  type DemoAnswer,
  type DemoInstance,
  type DemoJob,
  get,
  INSTANCES,
  sendRequest,
  setStatus,
  submit,
  submitExpectingRefusal,
  waitFor,
  waitForJobState,
} from "./demo_api.ts";

const START_TIMEOUT_MS = 15_000;
const JOB_TIMEOUT_MS = 20_000;
const REQUEST_COUNT = 60;
const WORKER_COUNT = 12;
const SERVER_COUNTS: Readonly<Record<DemoInstance, number>> = {
  "east-1": 2,
  "east-2": 2,
  "west-1": 1,
};

const failures: string[] = [];
/** Where each request and job ran: its server or data centre. */
const ranOn = new Map<string, string>();

function print(text: string): void {
  process.stdout.write(text + "\n");
}

function check(hasPassed: boolean, description: string): void {
  print(`  ${hasPassed ? "ok" : "FAILED"}: ${description}`);
  if (!hasPassed) {
    failures.push(description);
  }
}

async function waitForStart(): Promise<void> {
  print("waiting for three instances, their backend servers and workers");
  for (const instance of Object.keys(INSTANCES) as DemoInstance[]) {
    await waitFor(`${instance} is ready`, {
      withinMs: START_TIMEOUT_MS,
      isTrue: () => isReady(instance),
    });
  }
  await waitFor("all workers", {
    withinMs: START_TIMEOUT_MS,
    isTrue: async () => {
      const answer = await get("east-1", "/v1/workers");
      return (answer as { workers: unknown[] })?.workers.length ===
        WORKER_COUNT;
    },
  });
}

async function isReady(instance: DemoInstance): Promise<boolean> {
  const status = await get(instance, "/v1/status");
  const version = (status as { configurationVersion: number })
    ?.configurationVersion;
  const listed = await get(instance, "/v1/backends");
  const servers = (listed as { backends: unknown[] })?.backends.length;
  return version > 0 && servers === SERVER_COUNTS[instance];
}

async function sendRequests(): Promise<void> {
  print(
    `sending ${REQUEST_COUNT} non-idempotent requests through all instances`,
  );
  const instances = Object.keys(INSTANCES) as DemoInstance[];
  const answers = await Promise.all(
    Array.from({ length: REQUEST_COUNT }, async (_, number) => {
      const requestId = `demo-${number}`;
      const answer = await sendRequest(instances[number % 3] as DemoInstance, {
        requestId,
        requestClass: number % 4 === 0 ? "urgent" : "normal",
        body: `body of ${requestId}`,
      });
      return { requestId, answer };
    }),
  );
  const correct = answers.filter(({ requestId, answer }) =>
    isCorrectAnswer(answer, requestId)
  );
  check(
    correct.length === REQUEST_COUNT,
    `${correct.length} requests got their own answers`,
  );
  for (const { answer } of answers) {
    ranOn.set(`request ${answer.requestId}`, answer.server);
  }
  await resend(answers[1]?.answer as DemoAnswer);
}

function isCorrectAnswer(answer: DemoAnswer, requestId: string): boolean {
  return answer.requestId === requestId && answer.run === 1 &&
    answer.body === `body of ${requestId}`;
}

async function resend(first: DemoAnswer): Promise<void> {
  const again = await sendRequest("east-1", {
    requestId: first.requestId,
    requestClass: "normal",
    body: first.body,
  });
  const isSame = again.run === 1 && again.server === first.server;
  check(
    isSame,
    "a request that was sent twice ran once and got the same answer",
  );
}

async function runGangs(): Promise<void> {
  print("submitting gangs");
  for (const file of ["urgent_gang", "density_sweep"]) {
    const { jobId } = await submit(file);
    const ended = await waitForJobState("ended", {
      jobId,
      withinMs: JOB_TIMEOUT_MS,
    });
    check(ended.end?.outcome === "succeeded", `job ${jobId} succeeded`);
    recordJob(ended);
  }
  const refusal = await submitExpectingRefusal("never_fits");
  check(
    refusal?.kind === "neverFits",
    `job never-fits was refused immediately: ${refusal?.message}`,
  );
}

function recordJob(ended: DemoJob): void {
  ranOn.set(`job ${ended.jobId}`, ended.dataCentre);
}

async function takeDataCentreOutAndIn(): Promise<void> {
  print("starting a long gang in data centre east");
  const { jobId } = await submit("urgent_gang", {
    jobId: "long-gang",
    jobClass: "normal",
    declaredRunMs: 6_000,
    command: ["run", "6000"],
    dataCentres: ["east"],
  });
  await waitForJobState("running", { jobId, withinMs: JOB_TIMEOUT_MS });
  print("taking data centre east out");
  check(await setStatus("east", "out") === 0, "the removal took effect");
  const waiting = await waitForJobState("queued", {
    jobId,
    withinMs: JOB_TIMEOUT_MS,
  });
  check(
    waiting.waitText === WaitReason.dataCentreOut,
    `job ${jobId} was stopped and is queued again: ${waiting.waitText}`,
  );
  const served = await sendRequest("east-1", {
    requestId: "while-out",
    requestClass: "urgent",
    body: "body of while-out",
  });
  check(isCorrectAnswer(served, "while-out"), "east still serves requests");
  print("putting data centre east back in");
  check(await setStatus("east", "in") === 0, "east is in again");
  const ended = await waitForJobState("ended", {
    jobId,
    withinMs: 2 * JOB_TIMEOUT_MS,
  });
  check(
    ended.end?.outcome === "succeeded",
    `job ${jobId} continued and succeeded`,
  );
  recordJob(ended);
}

async function showTimeline(): Promise<void> {
  print("timeline of the long gang, from all instances");
  const answer = await get("west-1", "/v1/timeline?job=long-gang");
  const { records } = answer as { records: TimelineRecord[] };
  for (const { wallMs, instance, name, fields } of records) {
    const time = new Date(wallMs).toISOString().slice(11, 23);
    print(`  ${time} ${instance} ${name} ${JSON.stringify(fields)}`);
  }
  check(records.length > 0, `the timeline has ${records.length} events`);
}

function summarise(): void {
  print("where requests and jobs ran");
  const counts = new Map<string, number>();
  for (const [item, place] of ranOn) {
    const kind = item.split(" ")[0];
    const key = `${kind}s on ${place}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  for (const [key, number] of [...counts].sort()) {
    print(`  ${String(number).padStart(3)} ${key}`);
  }
}

async function main(): Promise<void> {
  try {
    await waitForStart();
    await sendRequests();
    await runGangs();
    await takeDataCentreOutAndIn();
    await showTimeline();
  } catch (error) {
    check(false, error instanceof Error ? error.message : String(error));
  }
  summarise();
  process.exitCode = failures.length === 0 ? 0 : 1;
}

await main();
