/**
 * Measures the heap of log entries, recorded edits, recorded requests and
 * backend servers, and the bytes sent for replication, for membership and for
 * reports of the version in force.
 *
 * @module
 */

import { SeededRandom } from "../../src/base/mod.ts";
import { encodeFrame } from "../../src/connection/peer_frame.ts";
import { LedgerState } from "../../src/process/ledger/mod.ts";
import type { Heartbeat } from "../../src/process/membership/heartbeat.ts";
import { ServerTable } from "../../src/process/routing/core/server_table.ts";
import { DEFAULT_ROUTING_OPTIONS } from "../../src/process/routing/core/routing_options.ts";
import { serviceSchema } from "../../src/version/document/document.ts";
import { measureEdits, measureReports } from "../configuration/edit_run.ts";
import {
  CONFIGURATION_GROUP,
  DATA_CENTRE_GROUP,
  fillLog,
  measureTraffic,
} from "../replication/traffic.ts";
import { fitLine } from "./fit.ts";
import { measureHeapBySize } from "./heap.ts";

const TWO_YEAR_SIZE = { teams: 180, dataCentres: 5, racksPerDataCentre: 18 };

/** Measures the heap of the states that grow with use. */
export async function measureOtherHeap() {
  return {
    perLogEntryOf200Bytes: await measureHeapBySize(
      [5_000, 10_000, 20_000],
      (entries) => fillLog(200, entries),
    ),
    perRememberedRequest: await measureHeapBySize(
      [5_000, 10_000, 20_000, 40_000],
      makeLedger,
    ),
    perBackendServer: await measureHeapBySize(
      [100, 200, 400, 800],
      makeServerTable,
    ),
  };
}

/** Measures runs of 450 to 1,800 edits at the size expected in two years. */
export function measureConfiguration() {
  return [450, 900, 1_800].map((edits) =>
    measureEdits({ ...TWO_YEAR_SIZE, edits })
  );
}

/** Replication traffic of both groups, when idle and at 1,800 changes a day. */
export async function measureReplication() {
  const figures: Record<string, unknown> = {};
  for (const hasChanges of [false, true]) {
    const name = hasChanges ? "at1800ChangesADay" : "atRest";
    figures[name] = {
      configuration: await measureTraffic(CONFIGURATION_GROUP, { hasChanges }),
      dataCentre: await measureTraffic(DATA_CENTRE_GROUP, { hasChanges }),
    };
  }
  return figures;
}

/**
 * Bytes that one instance sends as heartbeats, one per second to each other
 * instance, and as reports of the version in force, by the number of instances.
 */
export function measureMembership() {
  const points = [3, 5, 9].map((instances) => ({
    instances,
    heartbeatBytesPerSecond: (instances - 1) * heartbeatBytes(),
    inForce: measureReports(instances),
  }));
  return {
    points,
    line: fitLine(points.map(({ instances, heartbeatBytesPerSecond }) => ({
      size: instances,
      value: heartbeatBytesPerSecond,
    }))),
  };
}

function heartbeatBytes(): number {
  const body: Heartbeat = {
    incarnation: 1_764_840_000_000,
    sequence: 86_400,
    httpAddress: "10.20.30.40:7001",
    isLeaving: false,
    missing: [],
  };
  return encodeFrame({
    kind: "message",
    channel: "membership",
    wallMs: 1_764_840_000_000.5,
    counter: 1,
    body,
  }).length;
}

function makeLedger(requests: number): LedgerState {
  const ledger = new LedgerState();
  for (let at = 0; at < requests; at++) {
    const common = {
      formatVersion: 1 as const,
      key: `account-17/dc-1:request-${at}`,
      claimant: `dc1-a/1764840000000/${at}`,
      atMs: 1_000,
      expiresAtMs: 86_401_000,
    };
    const digest = `digest-${at}-0123456789abcdef0123456789abcdef`;
    ledger.apply({ ...common, kind: "claim", digest });
    const body = new Uint8Array(100).fill(at % 256);
    ledger.apply({
      ...common,
      kind: "end",
      outcome: { kind: "answered", httpStatus: 200, body },
    });
  }
  return ledger;
}

function makeServerTable(servers: number): ServerTable {
  const table = new ServerTable({
    serviceId: "search",
    service: serviceSchema.parse({
      owner: "team",
      classes: [{ name: "urgent", rank: 0 }],
    }),
    random: new SeededRandom({ seed: 1 }),
    routing: DEFAULT_ROUTING_OPTIONS,
  });
  for (let at = 0; at < servers; at++) {
    table.applyAnnouncement({
      serverId: `server-${at}`,
      service: "search",
      address: `10.0.${at >> 8}.${at & 255}:9001`,
      slots: 8,
      dataCentre: "dc-1",
      incarnation: 1_764_840_000_000,
      leaving: false,
    }, 1_000);
  }
  return table;
}
