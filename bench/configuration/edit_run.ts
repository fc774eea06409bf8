/**
 * Measures time and heap of edits in one configuration machine, and the bytes
 * that instances send to report the version in force.
 *
 * @module
 */

import { pack } from "msgpackr";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { FakeClock } from "../../src/base/fake_clock.ts";
import { ConfigurationMachine } from "../../src/process/configuration/mod.ts";
import type { EditCommand } from "../../src/process/configuration/configuration_command.ts";
import { SeededRandom } from "../../src/base/random_source.ts";
import { FakePeerHub } from "../../src/process/replication/fake_peer_network.ts";
import { InForceTracker } from "../../src/process/configuration/in_force_tracker.ts";

const KEY_HASH = "scrypt$00$00";

/** Size of the document, with a client account per team, and of the run. */
export interface EditSize {
  readonly teams: number;
  readonly dataCentres: number;
  readonly racksPerDataCentre: number;
  readonly edits: number;
}

function makeDocument(size: EditSize): string {
  const sections = ["formatVersion = 1\n"];
  for (let at = 0; at < size.teams; at++) {
    sections.push(`[teams.team-${at}]
owner = "team-${at}"
keyHashes = ["${KEY_HASH}"]

[clientAccounts.account-${at}]
owner = "team-${at}"

[[clientAccounts.account-${at}.guarantees]]
dataCentre = "dc-${at % size.dataCentres}"
racks = 1
workersPerRack = 2
acceleratorsPerWorker = 8
count = 1
`);
  }
  for (let at = 0; at < size.dataCentres; at++) {
    sections.push(`[dataCentres.dc-${at}]
owner = "team-0"
region = "region"
`);
    for (let rack = 0; rack < size.racksPerDataCentre; rack++) {
      sections.push(`[[dataCentres.dc-${at}.racks]]
name = "rack-${rack}"
workers = 8
coresPerWorker = 32
memoryBytesPerWorker = 68719476736
acceleratorsPerWorker = 8
`);
    }
  }
  return sections.join("\n");
}

function makeEdit(
  size: EditSize,
  at: number,
  baseVersion: number,
): EditCommand {
  const index = at % size.teams;
  const name = `account-${index}`;
  return {
    kind: "edit",
    editId: `edit-${at}-0123456789abcdef0123456789abcdef`,
    team: `team-${index}`,
    keyHash: KEY_HASH,
    sectionId: { kind: "clientAccounts", name },
    baseVersion,
    change: {
      kind: "replace",
      text: `[clientAccounts.${name}]
owner = "team-${index}"
borrowingWeight = ${1 + at % 7}

[[clientAccounts.${name}.guarantees]]
dataCentre = "dc-${index % size.dataCentres}"
racks = 1
workersPerRack = 2
acceleratorsPerWorker = 8
count = 1
`,
    },
    atMs: 1_000 + at * 1_000,
  };
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function percentile(sorted: readonly number[], fraction: number): number {
  const at = Math.floor(fraction * sorted.length);
  return sorted[Math.min(sorted.length - 1, at)] ?? 0;
}

/** Measures what edits cost one instance; times in ms. */
export function measureEdits(size: EditSize) {
  const machine = new ConfigurationMachine();
  machine.apply({ kind: "bootstrap", text: makeDocument(size), atMs: 1 });
  const beforeBytes = heapBytes();
  const times: number[] = [];
  let accepted = 0;
  for (let at = 0; at < size.edits; at++) {
    const name = `account-${at % size.teams}`;
    const section = machine.section({ kind: "clientAccounts", name });
    const edit = makeEdit(size, at, section?.version ?? 0);
    const startMs = performance.now();
    const outcome = machine.apply(edit);
    times.push(performance.now() - startMs);
    accepted += outcome.kind === "accepted" ? 1 : 0;
  }
  const perEdit = (heapBytes() - beforeBytes) / size.edits;
  const snapshot = machine.snapshot();
  const startMs = performance.now();
  new ConfigurationMachine().restore(snapshot).mapLeft((error) => {
    throw error;
  });
  const restoreMs = performance.now() - startMs;
  times.sort((a, b) => a - b);
  return {
    ...size,
    accepted,
    applyMsP50: Number(percentile(times, 0.5).toFixed(3)),
    applyMsP99: Number(percentile(times, 0.99).toFixed(3)),
    heapBytesPerEdit: Math.round(perEdit),
    snapshotBytes: snapshot.length,
    restoreMs: Number(restoreMs.toFixed(1)),
  };
}

/** Measures the bytes that each instance sends per edit and when idle. */
export function measureReports(instances: number) {
  const instanceIds = Array.from(
    { length: instances },
    (_, at) => `instance-${at}`,
  );
  const clock = new FakeClock();
  const sent = { bytes: 0 };
  const hub = new FakePeerHub({
    clock,
    random: new SeededRandom({ seed: 1 }),
    onSend: (_from, _to, body) => {
      sent.bytes += pack(body).length;
    },
  });
  const trackers = instanceIds.map((id) => {
    const network = hub.join(id, { peerIds: instanceIds });
    return new InForceTracker({ clock, network });
  });
  clock.advance(100_000);
  const idle = sent.bytes / 100 / instanceIds.length;
  const before = sent.bytes;
  trackers.forEach((tracker) => tracker.setVersion(123_456));
  clock.advance(100);
  const perEdit = (sent.bytes - before) / instanceIds.length;
  trackers.forEach((tracker) => tracker.close());
  return {
    instances: instanceIds.length,
    idleBytesPerSecond: Math.round(idle),
    bytesPerEdit: Math.round(perEdit),
  };
}
