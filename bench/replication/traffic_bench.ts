/**
 * Measures the bytes per second that the busiest instances send and receive for
 * replication, when idle and at 1,800 changes a day, and the heap per entry.
 *
 *     node --expose-gc dist/bench/replication/traffic_bench.js
 *
 * @module
 */

import process from "node:process";
import type { GroupMember } from "../../src/process/replication/mod.ts";
import type { RaftLog } from "../../src/process/replication/raft_log.ts";
import {
  CONFIGURATION_GROUP,
  DATA_CENTRE_GROUP,
  fillLog,
  measureTraffic,
} from "./traffic.ts";

async function printTraffic(
  name: string,
  settings: readonly GroupMember[],
  options: { hasChanges: boolean },
): Promise<void> {
  for (const rate of await measureTraffic(settings, options)) {
    console.log(
      `${name}${options.hasChanges ? ", 1,800 changes a day" : ", idle"}: ` +
        `${rate.role} sends ${rate.sent.toFixed(0)} B/s, ` +
        `receives ${rate.received.toFixed(0)} B/s, ` +
        `${rate.messages.toFixed(1)} messages a second`,
    );
  }
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

for (const hasChanges of [false, true]) {
  await printTraffic("3 voters of 9", CONFIGURATION_GROUP, { hasChanges });
  await printTraffic("data centre of 3", DATA_CENTRE_GROUP, { hasChanges });
}
measureHeap();
