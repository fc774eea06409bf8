/**
 * Gauges of a member's disk.
 *
 * @module
 */

import type { MetricsRegistry } from "../http/mod.ts";
import type { ReplicatedLog } from "./replicated_log.ts";

const UNKNOWN = -1;

/** Registers the gauges of the disk that holds a member's log. */
export function registerDiskMetrics(
  metrics: MetricsRegistry,
  log: Pick<ReplicatedLog<unknown, unknown>, "status">,
): void {
  const { groupId } = log.status();
  const gauge = (name: string, help: string, read: () => number | undefined) =>
    metrics.gauge(`sesamethread_disk_${name}`, {
      help,
      labels: { group: groupId },
      read: () => read() ?? UNKNOWN,
    });
  gauge(
    "suspended_at_ms",
    "When a disk fault suspended this member, by its clock; -1 if none has.",
    () => log.status().disk?.suspendedAtMs,
  );
  gauge(
    "synced_at_ms",
    "When the log was last synced, by this instance's clock; -1 if never.",
    () => log.status().disk?.syncedAtMs,
  );
  gauge(
    "free_bytes",
    "Free space of the data folder when last read; -1 if unknown.",
    () => log.status().disk?.freeBytes,
  );
}
