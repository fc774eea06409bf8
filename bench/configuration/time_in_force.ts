/**
 * Measures how long after it is sent an edit is durable and in force on every
 * instance, in virtual time with a one-way delay of 20 ms between regions, and
 * the bytes that each instance sends per edit.
 *
 *     node dist/bench/configuration/time_in_force.js
 *
 * @module
 */

import { pack } from "msgpackr";
import process from "node:process";
import {
  FIXTURE_DOCUMENT,
  fixtureEdit,
  jobClassText,
} from "../../src/process/configuration/configuration_fixture.ts";
import {
  VirtualCluster,
  type VirtualInstance,
} from "../../src/process/configuration/virtual_cluster.ts";

const EDITS = 200;

/** Delay between edits, long enough for the cluster to become idle. */
const EDIT_DELAY_MS = 300;

/**
 * Instances in three data centres, two of them in one region. The first
 * `voters` of them have disks, and therefore vote.
 */
function makeInstances(count: number, voters: number): VirtualInstance[] {
  return Array.from({ length: count }, (_, at) => ({
    id: `instance-${at}`,
    dataCentre: `dc-${at % 3}`,
    region: at % 3 === 2 ? "far" : "near",
    hasDisk: at < voters,
  }));
}

function percentile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, fraction * sorted.length | 0)] ?? 0;
}

async function measure(count: number, voters: number): Promise<void> {
  const cluster = new VirtualCluster({
    instances: makeInstances(count, voters),
  });
  await cluster.startAll();
  await cluster.run(3_000);
  const nodes = [...cluster.nodes.values()];
  const [first] = nodes;
  await cluster.finish(
    Promise.all([first?.service.bootstrap(FIXTURE_DOCUMENT)]),
  );
  await cluster.run(3_000);
  let bytes = 0;
  cluster.onSend = (_from, _to, body) => {
    bytes += pack(body).length;
  };
  await cluster.run(20_000);
  const idleBytesPerSecond = bytes / 20 / count;
  const durableMs: number[] = [];
  const inForceMs: number[] = [];
  bytes = 0;
  const startedMs = cluster.clock.nowMs();
  for (let at = 0; at < EDITS; at++) {
    const node = nodes[at % nodes.length];
    const sectionId = { kind: "jobClasses", name: "normal" } as const;
    const version = node?.machine.current.version ?? 0;
    const { kind: _kind, atMs: _atMs, ...request } = fixtureEdit({
      editId: `edit-${at}`,
      baseVersion: node?.machine.section(sectionId)?.version ?? 0,
      change: {
        kind: "replace",
        text: jobClassText("normal", { owner: "rating", rank: at % 10 }),
      },
    });
    const sentAtMs = cluster.clock.nowMs();
    await cluster.finish(Promise.all([node?.service.edit(request)]));
    durableMs.push(cluster.clock.nowMs() - sentAtMs);
    while (nodes.some(({ machine }) => machine.current.version <= version)) {
      await cluster.run(5);
    }
    inForceMs.push(cluster.clock.nowMs() - sentAtMs);
    await cluster.run(EDIT_DELAY_MS);
  }
  const seconds = (cluster.clock.nowMs() - startedMs) / 1_000;
  const editBytes = (bytes / count - idleBytesPerSecond * seconds) / EDITS;
  process.stdout.write(
    JSON.stringify({
      instances: count,
      voters,
      edits: EDITS,
      durableMsP50: percentile(durableMs, 0.5),
      durableMsP99: percentile(durableMs, 0.99),
      inForceMsP50: percentile(inForceMs, 0.5),
      inForceMsP99: percentile(inForceMs, 0.99),
      idleBytesPerSecond: Math.round(idleBytesPerSecond),
      bytesPerEdit: Math.round(editBytes),
    }) + "\n",
  );
  await cluster.close();
}

await measure(3, 3);
await measure(5, 3);
await measure(9, 5);
