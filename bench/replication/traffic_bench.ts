/**
 * Bytes a second that each instance sends and receives for replication, at
 * rest and at 1,800 changes a day, and the heap that entries take.
 *
 *     node --expose-gc dist/bench/replication/traffic_bench.js
 *
 * @module
 */

import process from "node:process";
import { encodeFrame } from "../../src/connection/peer_frame.ts";
import type { LogEntry } from "../../src/process/replication/log_entry.ts";
import type { GroupMember } from "../../src/process/replication/mod.ts";
import { RaftLog } from "../../src/process/replication/raft_log.ts";
import {
  disks,
  learners,
  memories,
} from "../../src/process/replication/testing/fault_session.ts";
import { MemberGroup } from "../../src/process/replication/testing/member_group.ts";

/** IPv4, TCP with timestamps, a TLS record and a WebSocket header. */
const OVERHEAD_BYTES = 20 + 32 + 22 + 6;

/** What the receiver's acknowledgement takes: IPv4 and TCP alone. */
const ACKNOWLEDGEMENT_BYTES = 20 + 32;

const MEASURED_MS = 96_000;
const CHANGE_PERIOD_MS = 86_400_000 / 1_800;
const CHANGE_BYTES = 4_096;

interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  messages: number;
}

class TrafficCount {
  readonly byInstance = new Map<string, Traffic>();

  add(from: string, to: string, body: unknown): void {
    const frame = encodeFrame({
      kind: "message",
      channel: "replication.configuration",
      wallMs: 1_764_840_000_000.5,
      counter: 1,
      body,
    });
    const bytes = frame.byteLength + OVERHEAD_BYTES;
    this.#of(from).sentBytes += bytes;
    this.#of(from).messages += 1;
    this.#of(from).receivedBytes += ACKNOWLEDGEMENT_BYTES;
    this.#of(to).receivedBytes += bytes;
    this.#of(to).sentBytes += ACKNOWLEDGEMENT_BYTES;
  }

  #of(id: string): Traffic {
    const known = this.byInstance.get(id);
    const traffic = known ?? { sentBytes: 0, receivedBytes: 0, messages: 0 };
    this.byInstance.set(id, traffic);
    return traffic;
  }
}

async function measureTraffic(
  name: string,
  settings: readonly GroupMember[],
  options: { hasChanges: boolean },
): Promise<void> {
  let count = new TrafficCount();
  const group = new MemberGroup(settings, {}, {
    onSend: (from, to, body) => count.add(from, to, body),
  });
  await group.startAll();
  await group.run(5_000);
  count = new TrafficCount();
  const leaderId = group.leader()!.status().leaderId!;
  for (let passedMs = 0; passedMs < MEASURED_MS; passedMs += CHANGE_PERIOD_MS) {
    if (options.hasChanges) {
      await group.propose("a", "x".repeat(CHANGE_BYTES));
    }
    await group.run(CHANGE_PERIOD_MS);
  }
  const seconds = MEASURED_MS / 1_000;
  const rates = [...count.byInstance].map(([id, traffic]) => ({
    role: id === leaderId ? "leader" : "other",
    sent: traffic.sentBytes / seconds,
    received: traffic.receivedBytes / seconds,
    messages: traffic.messages / seconds,
  }));
  for (const role of ["leader", "other"]) {
    const most = rates.filter((rate) => rate.role === role)
      .sort((left, right) => right.sent - left.sent)[0]!;
    console.log(
      `${name}${options.hasChanges ? ", 1,800 changes a day" : ", at rest"}: ` +
        `${role} sends ${most.sent.toFixed(0)} B/s, ` +
        `receives ${most.received.toFixed(0)} B/s, ` +
        `${most.messages.toFixed(1)} messages a second`,
    );
  }
  await group.close();
}

function measureHeap(): void {
  const collect = (globalThis as { gc?: () => void }).gc;
  if (collect === undefined) {
    console.log("heap: run with --expose-gc");
    return;
  }
  const logs: RaftLog[] = [];
  for (const dataBytes of [16, 64, 200]) {
    collect();
    const before = process.memoryUsage();
    const log = fillLog(dataBytes);
    logs.push(log);
    collect();
    const after = process.memoryUsage();
    const heap = (after.heapUsed - before.heapUsed) / log.lastIndex;
    const buffers = (after.arrayBuffers - before.arrayBuffers) / log.lastIndex;
    console.log(
      `an entry of ${dataBytes} bytes takes ${heap.toFixed(0)} B of heap ` +
        `and ${buffers.toFixed(0)} B of buffers (log ${logs.length})`,
    );
  }
}

function fillLog(dataBytes: number): RaftLog {
  const log = new RaftLog();
  for (let index = 1; index <= 50_000; index++) {
    const data = new Uint8Array(dataBytes);
    const entry: LogEntry = { index, term: 1, kind: "command", data };
    log.append(entry);
  }
  return log;
}

const CONFIGURATION_GROUP = [
  ...disks("a", "b", "c"),
  ...learners("d", "e", "f", "g", "h", "i"),
];
const DATA_CENTRE_GROUP = [...disks("a"), ...memories("b", "c")];

for (const hasChanges of [false, true]) {
  await measureTraffic("3 voters of 9", CONFIGURATION_GROUP, { hasChanges });
  await measureTraffic("data centre of 3", DATA_CENTRE_GROUP, { hasChanges });
}
measureHeap();
