import test from "ava";
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { StandinWorker } from "../../../standins/worker/worker.ts";
import type { HttpAnswer, HttpEndpoint } from "../http/http_endpoint.ts";
import { FakeCore } from "../scheduler/runtime/testing/fake_core.ts";
import { FakeGroup } from "../scheduler/runtime/testing/fake_group.ts";
import { FakePeerNetwork } from "../scheduler/runtime/testing/fake_links.ts";
import { makeEnvironment } from "../scheduler/runtime/testing/data_centre_simulation.ts";
import {
  HttpWorkerClient,
  type JobCommand,
  type JobCommandOutcome,
  JobLedger,
  SchedulerRuntime,
} from "../scheduler/runtime/mod.ts";
import { jobEndpoints, workerEndpoints } from "./mod.ts";

const JOB = {
  jobId: "j1",
  clientAccount: "lab",
  jobClass: "batch",
  tasks: 2,
  resources: { cores: 1, memoryBytes: 1, accelerators: 1 },
  declaredRunMs: 1_000,
  command: ["run", "1000"],
};

function makeRuntime() {
  const environment = makeEnvironment({
    seed: 3,
    dataCentres: ["dc1"],
    instances: 1,
  });
  const { clock, links, peers, locations, configuration } = environment;
  const ledger = new JobLedger();
  const group = new FakeGroup<JobCommand, JobCommandOutcome>(environment);
  const log = group.join("dc1-0", ledger);
  const client = new HttpWorkerClient();
  const runtime = new SchedulerRuntime({
    clock,
    dataCentre: "dc1",
    instances: locations,
    network: new FakePeerNetwork({ selfId: "dc1-0", links, peers }),
    log,
    ledger,
    configuration: configuration.copy(),
    client,
    createCore: () => new FakeCore({ dataCentre: "dc1" }),
  });
  group.elect("dc1-0");
  return { clock, runtime, client };
}

async function call(
  endpoints: readonly HttpEndpoint[],
  request: {
    method: HttpEndpoint["method"];
    path: string;
    parameters?: Record<string, string>;
    body?: unknown;
  },
): Promise<{ status: number; body: Record<string, unknown> }> {
  const endpoint = endpoints.find((each) =>
    each.method === request.method && each.path === request.path
  );
  const text = request.body === undefined ? "" : JSON.stringify(request.body);
  const result = await endpoint?.handle({
    method: request.method,
    path: request.path,
    parameters: request.parameters ?? {},
    query: new URLSearchParams(),
    headers: {},
    receivedAtMs: 0,
    body: Buffer.from(text),
    signal: new AbortController().signal,
  });
  const answer: HttpAnswer | undefined = result?.caseOf({
    Right: (value) => value,
    Left: (error) => ({
      status: error.answer.httpStatus,
      headers: {},
      body: JSON.stringify({ error: error.kind }),
    }),
  });
  return {
    status: answer?.status ?? 0,
    body: JSON.parse(String(answer?.body)),
  };
}

/** Serves the report endpoint over HTTP, as the daemon does. */
async function serveReports(
  endpoints: readonly HttpEndpoint[],
): Promise<{ server: Server; address: string }> {
  const server = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    const answer = await call(endpoints, {
      method: "POST",
      path: "/v1/workers/:workerId/report",
      parameters: { workerId: request.url?.split("/")[3] ?? "" },
      body: JSON.parse(Buffer.concat(chunks).toString("utf8")),
    });
    response.writeHead(answer.status).end(JSON.stringify(answer.body));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

test("a job submitted over HTTP runs on a worker until it ends", async (t) => {
  const { clock, runtime, client } = makeRuntime();
  const endpoints = [
    ...jobEndpoints({ scheduler: runtime }),
    ...workerEndpoints({ scheduler: runtime }),
  ];
  const { server, address } = await serveReports(endpoints);
  const worker = new StandinWorker({
    workerId: "w1",
    capacity: { rack: "r1", cores: 8, memoryBytes: 100, accelerators: 8 },
    instanceAddresses: [address],
    clock,
  });
  await worker.start();
  const getJob = () =>
    call(endpoints, {
      method: "GET",
      path: "/v1/jobs/:jobId",
      parameters: { jobId: "j1" },
    });
  // The fake clock advances by 10 ms for about every real millisecond.
  const ticks = setInterval(() => clock.advance(10), 1);
  const post = { method: "POST", path: "/v1/jobs", body: JOB } as const;
  t.is((await call(endpoints, post)).status, 201);
  t.is((await call(endpoints, post)).status, 200);
  const conflict = await call(endpoints, {
    ...post,
    body: { ...JOB, tasks: 1 },
  });
  t.like(conflict, { status: 422, body: { error: "identityReused" } });
  let shown = await getJob();
  while ((shown.body["job"] as { state: string }).state !== "ended") {
    shown = await getJob();
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.like(shown.body["job"], { end: { outcome: "succeeded" } });
  const workers = await call(endpoints, {
    method: "GET",
    path: "/v1/workers",
  });
  t.like(workers.body, { workers: [{ workerId: "w1", rack: "r1" }] });
  clearInterval(ticks);
  await worker.close();
  await runtime.close();
  await client.close();
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

test("malformed bodies, unknown client accounts and unknown jobs are refused", async (t) => {
  const { clock, runtime } = makeRuntime();
  const endpoints = [
    ...jobEndpoints({ scheduler: runtime }),
    ...workerEndpoints({ scheduler: runtime }),
  ];
  const ticks = setInterval(() => clock.advance(10), 1);
  const post = { method: "POST", path: "/v1/jobs" } as const;
  t.like(await call(endpoints, { ...post, body: { jobId: "!" } }), {
    status: 400,
  });
  const unknownAccount = { ...JOB, clientAccount: "nobody" };
  t.like(await call(endpoints, { ...post, body: unknownAccount }), {
    status: 422,
    body: { error: "invalid" },
  });
  const missing = await call(endpoints, {
    method: "DELETE",
    path: "/v1/jobs/:jobId",
    parameters: { jobId: "none" },
  });
  t.like(missing, { status: 404, body: { error: "notFound" } });
  clearInterval(ticks);
  await runtime.close();
});
