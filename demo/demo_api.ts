/**
 * The demo's calls to the instances.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { parse } from "smol-toml";
import type { Result, SesameError } from "../src/base/mod.ts";
import { ApiClient } from "../src/programs/commands/api_client.ts";
import { setDataCentreStatus } from "../src/programs/commands/config/mod.ts";
import { RequestHeader } from "../src/process/routing/mod.ts";

/** The addresses of the demo's instances. */
export const INSTANCES = {
  "east-1": "127.0.0.1:7101",
  "east-2": "127.0.0.1:7102",
  "west-1": "127.0.0.1:7103",
} as const;

/** One of the demo's instances. */
export type DemoInstance = keyof typeof INSTANCES;

/** The key of the team that owns the data centres; not secret. */
const OPERATIONS_KEY = "operations:demo-operations-key";

const POLL_MS = 100;

/** The fields of a job that the demo uses. */
export interface DemoJob {
  readonly jobId: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly waitText?: string;
  readonly openAttempt?: {
    readonly placements: readonly { readonly workerId: string }[];
  };
  readonly pastAttempts: readonly unknown[];
  readonly end?: { readonly outcome: string; readonly detail?: string };
}

/** The answer to one request. */
export interface DemoAnswer {
  readonly requestId: string;
  readonly server: string;
  readonly body: string;
  readonly run: number;
}

/** Creates a client of one instance. */
export function clientOf(instance: DemoInstance): ApiClient {
  return new ApiClient({ servers: [INSTANCES[instance]] });
}

/** Polls until the condition is true; throws after `withinMs`. */
export async function waitFor(
  description: string,
  options: { withinMs: number; isTrue: () => Promise<boolean> },
): Promise<void> {
  const endMs = Date.now() + options.withinMs;
  while (!await options.isTrue()) {
    if (Date.now() > endMs) {
      throw new Error(`timed out waiting for: ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Gets one JSON value; undefined if the call fails. */
export async function get(
  instance: DemoInstance,
  path: string,
): Promise<unknown> {
  const result = await clientOf(instance).json({ method: "GET", path });
  return result.toMaybe().extract();
}

/** Sends one request and returns its answer; throws on an error. */
export async function sendRequest(
  instance: DemoInstance,
  options: { requestId: string; requestClass: string; body: string },
): Promise<DemoAnswer> {
  const result = await clientOf(instance).json({
    method: "POST",
    path: "/v1/services/clearance/requests",
    headers: {
      [RequestHeader.requestId]: options.requestId,
      [RequestHeader.requestClass]: options.requestClass,
      [RequestHeader.idempotent]: "false",
      [RequestHeader.timeoutMs]: "5000",
    },
    body: options.body,
  });
  return result.unsafeCoerce() as DemoAnswer;
}

/** Submits the job of one of the demo's files, with some fields changed. */
export async function submit(
  file: string,
  changes: Readonly<Record<string, unknown>> = {},
): Promise<DemoJob> {
  const result = await postJob(file, changes);
  return (result.unsafeCoerce() as { job: DemoJob }).job;
}

/** Submits a job; returns its refusal, or undefined if it was accepted. */
export async function submitExpectingRefusal(
  file: string,
): Promise<SesameError | undefined> {
  const result = await postJob(file, {});
  return result.swap().toMaybe().extract();
}

async function postJob(
  file: string,
  changes: Readonly<Record<string, unknown>>,
): Promise<Result<unknown>> {
  const text = await readFile(`examples/demo/jobs/${file}.toml`, "utf8");
  return await clientOf("east-2").json({
    method: "POST",
    path: "/v1/jobs",
    body: JSON.stringify({ ...parse(text), ...changes }),
  });
}

/** Gets a job through an instance that may be in another data centre. */
export async function getJob(jobId: string): Promise<DemoJob | undefined> {
  const answer = await get("west-1", `/v1/jobs/${jobId}`);
  return (answer as { job: DemoJob } | undefined)?.job;
}

/** Waits until a job is in the state, and returns it. */
export async function waitForJobState(
  state: string,
  options: { jobId: string; withinMs: number },
): Promise<DemoJob> {
  let latest: DemoJob | undefined;
  await waitFor(`job ${options.jobId} ${state}`, {
    withinMs: options.withinMs,
    isTrue: async () => {
      latest = await getJob(options.jobId);
      return latest?.state === state;
    },
  });
  return latest as DemoJob;
}

/** Takes a data centre out or puts it back in; returns the exit code. */
export function setStatus(
  dataCentre: string,
  status: "in" | "out",
): Promise<number> {
  return setDataCentreStatus({
    client: clientOf("west-1"),
    wantsJson: false,
    io: {
      out: (line) => process.stdout.write(`  ${line}\n`),
      error: (line) => process.stdout.write(`  ${line}\n`),
      read: () => Promise.reject(new Error("setting a status reads no file")),
    },
  }, { dataCentre, status, key: OPERATIONS_KEY });
}
