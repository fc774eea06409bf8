/**
 * Measures how soon an edit is accepted and in force on every instance, how
 * many consecutive edits are accepted per second, and what an idle instance
 * costs: real daemons on loopback, with a delay between regions. Run it from
 * the repository's root.
 *
 *     node dist/bench/system/edits_in_force.js [NUMBERS OF INSTANCES]
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import process from "node:process";
import { ApiClient } from "../../src/programs/commands/api_client.ts";
import { SectionClient } from "../../src/programs/commands/config/section_client.ts";
import type { TimelineRecord } from "../../src/process/timeline/mod.ts";
import { BenchCluster } from "./bench_cluster.ts";

const INSTANCE_COUNTS = process.argv.slice(2).map(Number).filter((size) =>
  size > 0
);
const DEFAULT_INSTANCE_COUNTS = [3, 5, 9];
const EDITS = 100;
const REGION_DELAY_MS = 20;
const IDLE_MS = 10_000;
const SECTION = { kind: "jobClasses", name: "overnight" } as const;
const TEAM_KEY = "operations:demo-operations-key";

interface EditTimes {
  readonly version: number;
  readonly sentAtMs: number;
  readonly acceptedMs: number;
}

async function measure(instances: number): Promise<void> {
  const cluster = await BenchCluster.start({
    instances,
    regionDelayMs: REGION_DELAY_MS,
  });
  await waitForConfiguration(cluster);
  const idle = await measureIdle(cluster);
  const edits = await submitEdits(cluster);
  const inForceMs = await measureTimesInForce(cluster, edits);
  const acceptedMs = edits.map((edit) => edit.acceptedMs);
  const row = {
    instances,
    edits: edits.length,
    acceptedP50Ms: percentile(acceptedMs, 0.5),
    acceptedP99Ms: percentile(acceptedMs, 0.99),
    inForceP50Ms: percentile(inForceMs, 0.5),
    inForceP99Ms: percentile(inForceMs, 0.99),
    editsPerSecond: round(1_000 * edits.length / sum(acceptedMs)),
    ...idle,
  };
  process.stdout.write(JSON.stringify(row) + "\n");
  await cluster.close();
}

function clientOf(cluster: BenchCluster, at: number): ApiClient {
  const port = cluster.instances[at]?.httpPort ?? 0;
  return new ApiClient({ servers: [`127.0.0.1:${port}`] });
}

async function waitForConfiguration(cluster: BenchCluster): Promise<void> {
  for (let at = 0; at < cluster.instances.length; at++) {
    while (await versionOf(cluster, at) === 0) {
      await delay(50);
    }
  }
}

async function statusOf(cluster: BenchCluster, at: number) {
  const result = await clientOf(cluster, at)
    .json({ method: "GET", path: "/v1/status" });
  return result.orDefault({}) as {
    configurationVersion?: number;
    traffic?: { sentBytesByChannel: BytesByChannel };
  };
}

async function versionOf(cluster: BenchCluster, at: number): Promise<number> {
  return (await statusOf(cluster, at)).configurationVersion ?? 0;
}

/** Measures bytes sent, processor time and memory of an idle cluster. */
async function measureIdle(cluster: BenchCluster) {
  await delay(2_000);
  const before = await allTraffic(cluster);
  const usageBefore = process.cpuUsage();
  await delay(IDLE_MS);
  const usage = process.cpuUsage(usageBefore);
  const after = await allTraffic(cluster);
  const perSecond = after.map((traffic, at) =>
    bytesPerSecond(traffic, before[at] ?? {})
  );
  perSecond.sort((left, right) => total(right) - total(left));
  const busiest = perSecond[0] ?? {};
  const busyMs = (usage.user + usage.system) / 1_000;
  const { heapUsed, rss } = process.memoryUsage();
  return {
    idleMostBytesPerSecond: total(busiest),
    idleBytesPerSecondByChannel: busiest,
    idleCorePercentEach: round(
      100 * busyMs / IDLE_MS / cluster.instances.length,
    ),
    heapBytesAll: heapUsed,
    residentBytesAll: rss,
  };
}

type BytesByChannel = Readonly<Record<string, number>>;

/** Bytes that each instance has sent so far, by channel. */
async function allTraffic(cluster: BenchCluster): Promise<BytesByChannel[]> {
  const statuses = await Promise.all(
    cluster.instances.map((_, at) => statusOf(cluster, at)),
  );
  return statuses.map(({ traffic }) => traffic?.sentBytesByChannel ?? {});
}

function bytesPerSecond(
  after: BytesByChannel,
  before: BytesByChannel,
): BytesByChannel {
  const seconds = IDLE_MS / 1_000;
  const rates = Object.entries(after).map(([channel, bytes]) => [
    channel,
    Math.round((bytes - (before[channel] ?? 0)) / seconds),
  ]);
  return Object.fromEntries(rates);
}

function total(bytes: BytesByChannel): number {
  return sum(Object.values(bytes));
}

async function submitEdits(cluster: BenchCluster): Promise<EditTimes[]> {
  const times: EditTimes[] = [];
  for (let edit = 0; edit < EDITS; edit++) {
    const sections = new SectionClient({
      client: clientOf(cluster, edit % cluster.instances.length),
      key: TEAM_KEY,
    });
    let accepted: EditTimes[] = [];
    while (accepted.length === 0) {
      accepted = await submitEdit(sections, edit);
    }
    times.push(...accepted);
  }
  return times;
}

async function submitEdit(
  sections: SectionClient,
  number: number,
): Promise<EditTimes[]> {
  const current = (await sections.read(SECTION)).unsafeCoerce();
  const text = (current.text ?? "").replace(
    /checkpointMs = [\d_]+/,
    `checkpointMs = ${1_000 + number}`,
  );
  const sentAtMs = nowMs();
  const result = await sections.edit({
    sectionId: SECTION,
    editId: randomUUID(),
    baseVersion: current.version,
    text,
  });
  const acceptedMs = nowMs() - sentAtMs;
  return result
    .map(({ version }) => [{ version: version ?? 0, sentAtMs, acceptedMs }])
    .orDefault([]);
}

/** Times from sending an edit until it is in force on every instance, in ms. */
async function measureTimesInForce(
  cluster: BenchCluster,
  edits: readonly EditTimes[],
): Promise<number[]> {
  await delay(2_000);
  const result = await clientOf(cluster, 0)
    .json({ method: "GET", path: "/v1/timeline?limit=5000" });
  const { records } = result.unsafeCoerce() as { records: TimelineRecord[] };
  const inForce = records.filter(({ name }) => name === "configurationInForce");
  return edits.flatMap(({ version, sentAtMs }) => {
    const matching = inForce.filter(({ fields }) =>
      fields["version"] === version
    );
    return matching.length === cluster.instances.length
      ? [Math.max(...matching.map(({ wallMs }) => wallMs)) - sentAtMs]
      : [];
  });
}

function nowMs(): number {
  return performance.timeOrigin + performance.now();
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.min(
    sorted.length - 1,
    Math.ceil(fraction * sorted.length) - 1,
  );
  return round(sorted[at] ?? NaN);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

for (
  const instances of INSTANCE_COUNTS.length > 0
    ? INSTANCE_COUNTS
    : DEFAULT_INSTANCE_COUNTS
) {
  await measure(instances);
}
