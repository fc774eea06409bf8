/**
 * Counts the bytes of the frames that a group sends, and fills logs whose heap
 * is to be measured.
 *
 * @module
 */

import { encodeFrame } from "../../src/connection/peer_frame.ts";
import type { LogEntry } from "../../src/process/replication/log_entry.ts";
import type { GroupMember } from "../../src/process/replication/mod.ts";
import { RaftLog } from "../../src/process/replication/raft_log.ts";
import {
  diskVoters,
  learners,
  memoryVoters,
} from "../../src/process/replication/testing/fault_session.ts";
import { MemberGroup } from "../../src/process/replication/testing/member_group.ts";

/** Per frame: IPv4, TCP with timestamps, a TLS record, a WebSocket header. */
const OVERHEAD_BYTES = 20 + 32 + 22 + 6;

/** The receiver's acknowledgement of a frame: IPv4 and TCP with timestamps. */
const ACKNOWLEDGEMENT_BYTES = 20 + 32;

const MEASUREMENT_MS = 96_000;
const CHANGE_PERIOD_MS = 86_400_000 / 1_800;
const CHANGE_BYTES = 4_096;

interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  messages: number;
}

/** Bytes and messages per second of the busiest instance of one role. */
export interface TrafficRate {
  readonly role: string;
  readonly sent: number;
  readonly received: number;
  readonly messages: number;
}

class TrafficCounter {
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
    this.#trafficOf(from).sentBytes += bytes;
    this.#trafficOf(from).messages += 1;
    this.#trafficOf(from).receivedBytes += ACKNOWLEDGEMENT_BYTES;
    this.#trafficOf(to).receivedBytes += bytes;
    this.#trafficOf(to).sentBytes += ACKNOWLEDGEMENT_BYTES;
  }

  #trafficOf(id: string): Traffic {
    const existing = this.byInstance.get(id);
    const traffic = existing ?? { sentBytes: 0, receivedBytes: 0, messages: 0 };
    this.byInstance.set(id, traffic);
    return traffic;
  }
}

/** Measures a group's traffic when idle, or at 1,800 changes a day. */
export async function measureTraffic(
  settings: readonly GroupMember[],
  options: { hasChanges: boolean },
): Promise<TrafficRate[]> {
  let counter = new TrafficCounter();
  const group = new MemberGroup(settings, {}, {
    onSend: (from, to, body) => counter.add(from, to, body),
  });
  await group.startAll();
  await group.run(5_000);
  counter = new TrafficCounter();
  const leaderId = group.leader()!.status().leaderId!;
  for (
    let elapsedMs = 0;
    elapsedMs < MEASUREMENT_MS;
    elapsedMs += CHANGE_PERIOD_MS
  ) {
    if (options.hasChanges) {
      await group.propose("a", "x".repeat(CHANGE_BYTES));
    }
    await group.run(CHANGE_PERIOD_MS);
  }
  const seconds = MEASUREMENT_MS / 1_000;
  const rates = [...counter.byInstance].map(([id, traffic]) => ({
    role: id === leaderId ? "leader" : "other",
    sent: traffic.sentBytes / seconds,
    received: traffic.receivedBytes / seconds,
    messages: traffic.messages / seconds,
  }));
  await group.close();
  return ["leader", "other"].map((role) =>
    rates.filter((rate) => rate.role === role)
      .sort((left, right) => right.sent - left.sent)[0]!
  );
}

/** Creates a log of entries with the given amount of data each. */
export function fillLog(
  dataBytes: number,
  entries = 50_000,
): RaftLog {
  const log = new RaftLog();
  for (let index = 1; index <= entries; index++) {
    const data = new Uint8Array(dataBytes);
    const entry: LogEntry = { index, term: 1, kind: "command", data };
    log.append(entry);
  }
  return log;
}

/** The configuration group: 3 voters and 6 learners. */
export const CONFIGURATION_GROUP = [
  ...diskVoters("a", "b", "c"),
  ...learners("d", "e", "f", "g", "h", "i"),
];
/** The group of one data centre: 3 voters, one of them with a disk. */
export const DATA_CENTRE_GROUP = [
  ...diskVoters("a"),
  ...memoryVoters("b", "c"),
];
