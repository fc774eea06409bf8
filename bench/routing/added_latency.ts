/**
 * Measures, over real sockets on loopback, the latency that an instance adds to
 * direct calls of the stand-in servers, and how many requests per second one
 * instance handles. The instance, the relay and all servers together each have
 * a thread; blocks of each route alternate within the run.
 *
 * `npm run build && node dist/bench/routing/added_latency.js [seed]`
 *
 * @module
 */

import process from "node:process";
import { performance } from "node:perf_hooks";
import { Worker } from "node:worker_threads";
import { Agent, type Dispatcher } from "undici";
import { SeededRandom } from "../../src/base/mod.ts";
import { RequestHeader } from "../../src/process/routing/mod.ts";
import {
  type BenchWorkerData,
  type BenchWorkerReady,
  SOCKET_SIZES,
} from "./bench_worker.ts";

/**
 * Direct calls of the servers, calls through a plain relay (the cost of one
 * more hop on this machine), or requests through the instance: idempotent ones,
 * or others, each of which needs a claim in the ledger.
 */
type Route = "direct" | "relay" | "idempotent" | "claimed";

interface Target {
  readonly servers: readonly string[];
  readonly instance: string;
  readonly relay: string;
  /** The threads between the callers and the servers. */
  readonly threads: Readonly<Record<"instance" | "relay", Worker>>;
  readonly dispatcher: Dispatcher;
}

const MEAN_SERVICE_MS = 20;
const LOAD = 0.5;
const BLOCK_MS = 2_500;
const BLOCKS = 4;
const WARM_UP_MS = 1_000;
const THROUGHPUT_MS = 3_000;
const CALLERS = 64;
const ROUTES: readonly Route[] = ["direct", "relay", "idempotent", "claimed"];

async function main(): Promise<void> {
  const seed = Number(process.argv[2] ?? 1);
  console.log(`seed ${seed}; ${JSON.stringify(SOCKET_SIZES)}`);
  await measureLatency(seed);
  await measureThroughput(seed);
}

async function measureLatency(seed: number): Promise<void> {
  const { target, stop } = await startTarget(MEAN_SERVICE_MS, seed);
  const { servers, slots } = SOCKET_SIZES;
  const perSecond = LOAD * servers * slots * 1_000 / MEAN_SERVICE_MS;
  for (const route of ROUTES) {
    await sendAtRate(route, {
      target,
      perSecond,
      seed,
      durationMs: WARM_UP_MS,
    });
  }
  const overheads = new Map<Route, number[]>(
    ROUTES.map((route) => [route, []]),
  );
  const busyMs = new Map<Route, number>();
  for (let block = 0; block < BLOCKS; block += 1) {
    for (const route of ROUTES) {
      const durationMs = BLOCK_MS;
      const beforeMs = busyTimeMs(route, target);
      const overheadsMs = await sendAtRate(route, {
        target,
        perSecond,
        seed: seed + block,
        durationMs,
      });
      overheads.get(route)?.push(...overheadsMs);
      const spentMs = busyTimeMs(route, target) - beforeMs;
      busyMs.set(route, (busyMs.get(route) ?? 0) + spentMs);
    }
  }
  await stop();
  console.log(
    `\nat half load, ${perSecond} requests/s; time without the ` +
      "server's own, ms",
  );
  const direct = quantiles(overheads.get("direct") ?? []);
  for (const route of ROUTES) {
    const stats = quantiles(overheads.get(route) ?? []);
    console.log(
      `${route}: ${stats.count} answers, p50 ${stats.p50.toFixed(2)}, ` +
        `p99 ${stats.p99.toFixed(2)}; added p50 ` +
        `${(stats.p50 - direct.p50).toFixed(2)}, ` +
        `added p99 ${(stats.p99 - direct.p99).toFixed(2)}; ` +
        `its thread busy ${
          (1_000 * (busyMs.get(route) ?? 0) / stats.count).toFixed(0)
        } us a request`,
    );
  }
}

async function measureThroughput(seed: number): Promise<void> {
  const { target, stop } = await startTarget(0.01, seed);
  console.log(`\n${CALLERS} callers without delay, servers answer immediately`);
  for (const route of ROUTES) {
    await saturate(route, target, WARM_UP_MS);
    const answers = await saturate(route, target, THROUGHPUT_MS);
    const perSecond = answers * 1_000 / THROUGHPUT_MS;
    console.log(`${route}: ${perSecond.toFixed(0)} requests/s`);
  }
  await stop();
}

async function startTarget(meanServiceMs: number, seed: number) {
  const common = { meanServiceMs, seed };
  const instance = await startThread({
    ...common,
    role: "instance",
    instanceAddress: "",
    serverAddresses: [],
  });
  const [address = ""] = instance.addresses;
  const servers = await startThread({
    ...common,
    role: "servers",
    instanceAddress: address,
    serverAddresses: [],
  });
  const relay = await startThread({
    ...common,
    role: "relay",
    instanceAddress: address,
    serverAddresses: servers.addresses,
  });
  const dispatcher = new Agent({ connections: 256 });
  const stop = async (): Promise<void> => {
    await dispatcher.destroy();
    await servers.worker.terminate();
    await instance.worker.terminate();
    await relay.worker.terminate();
  };
  const target: Target = {
    servers: servers.addresses,
    instance: address,
    relay: relay.addresses[0] ?? "",
    threads: { instance: instance.worker, relay: relay.worker },
    dispatcher,
  };
  return { target, stop };
}

async function startThread(data: BenchWorkerData) {
  const url = new URL("./socket_thread.js", import.meta.url);
  const worker = new Worker(url, { workerData: data });
  const ready = await new Promise<BenchWorkerReady>((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
  return { worker, addresses: ready.addresses };
}

/** Sends requests at random times at this rate; returns overheads in ms. */
async function sendAtRate(
  route: Route,
  options: {
    target: Target;
    perSecond: number;
    seed: number;
    durationMs: number;
  },
): Promise<number[]> {
  const { target, perSecond, seed, durationMs } = options;
  const random = new SeededRandom({ seed });
  const overheads: number[] = [];
  const pending: Promise<void>[] = [];
  const startMs = performance.now();
  let dueMs = 0;
  while (dueMs < durationMs) {
    dueMs -= Math.log(1 - random.nextUnit()) * 1_000 / perSecond;
    const waitMs = startMs + dueMs - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    pending.push(
      call(route, target, pending.length).then((overheadMs) => {
        overheads.push(overheadMs);
      }),
    );
  }
  await Promise.all(pending);
  return overheads;
}

/** Sends requests from all callers without delay; counts the answers. */
async function saturate(
  route: Route,
  target: Target,
  durationMs: number,
): Promise<number> {
  const endMs = performance.now() + durationMs;
  let answers = 0;
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    for (let at = caller; performance.now() < endMs; at += CALLERS) {
      await call(route, target, at);
      answers += 1;
    }
  });
  await Promise.all(callers);
  return answers;
}

let lastRequest = 0;

/** Sends one request; returns its time in ms without the server's own time. */
async function call(route: Route, target: Target, at: number): Promise<number> {
  const requestId = `bench-${++lastRequest}`;
  const isDirect = route === "direct" || route === "relay";
  const address = addressOf(route, target, at);
  const startMs = performance.now();
  const response = await target.dispatcher.request({
    origin: `http://${address}`,
    path: isDirect ? "/" : `/v1/services/${SOCKET_SIZES.service}/requests`,
    method: "POST",
    headers: {
      [RequestHeader.requestId]: requestId,
      [RequestHeader.idempotent]: String(route !== "claimed"),
      ...(isDirect ? { [RequestHeader.correlation]: requestId } : {}),
    },
    body: "bale 7731, loft at 20 C and 65 percent",
  });
  const body = await response.body.json() as { serviceMs?: number };
  if (response.statusCode !== 200 || body.serviceMs === undefined) {
    throw new Error(`status ${response.statusCode}: ${JSON.stringify(body)}`);
  }
  return performance.now() - startMs - body.serviceMs;
}

/** How long the instance's or relay's thread has been busy, in ms. */
function busyTimeMs(route: Route, { threads }: Target): number {
  switch (route) {
    case "direct":
      return 0;
    case "relay":
      return threads.relay.performance.eventLoopUtilization().active;
    case "idempotent":
    case "claimed":
      return threads.instance.performance.eventLoopUtilization().active;
  }
}

function addressOf(route: Route, target: Target, at: number): string {
  switch (route) {
    case "direct":
      return target.servers[at % target.servers.length] ?? "";
    case "relay":
      return target.relay;
    case "idempotent":
    case "claimed":
      return target.instance;
  }
}

function quantiles(values: number[]) {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (fraction: number): number =>
    sorted[Math.floor(sorted.length * fraction)] ?? 0;
  return { count: sorted.length, p50: at(0.5), p99: at(0.99) };
}

await main();
