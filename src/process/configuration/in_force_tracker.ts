/**
 * Which version is in force on which instance: every instance tells the
 * others on a change, and slowly otherwise.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Subscription } from "most";
import * as z from "zod";
import { Channel } from "../../base/channel.ts";
import type { Clock, Timer } from "../../base/clock.ts";
import {
  type DataCentreId,
  IDENTITY_PATTERN,
  type InstanceId,
} from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type {
  PeerChannel,
  PeerNetwork,
} from "../../connection/peer_network.ts";

/** The version of the report's own format. */
const REPORT_FORMAT_VERSION = 1;

const reportSchema = z.object({
  formatVersion: z.literal(REPORT_FORMAT_VERSION),
  /** Tells later reports of the sender from earlier ones. */
  sentAtMs: z.number(),
  /** The version in force there. */
  version: z.int().min(0),
  /** Removals that a scheduler leader there has carried out. */
  acknowledgements: z.array(z.object({
    dataCentre: z.string().regex(IDENTITY_PATTERN),
    version: z.int().min(0),
  })).max(64),
});

/** What one instance tells of itself. */
export type InForceReport = z.infer<typeof reportSchema>;

/** How to build an {@link InForceTracker}. */
export interface InForceTrackerOptions {
  readonly clock: Clock;
  readonly network: PeerNetwork;
  /** The least time between two reports after changes. */
  readonly changeReportMs?: number;
  /** The time between reports when nothing changes. */
  readonly idleReportMs?: number;
}

/** The reporting periods of the product. */
export const IN_FORCE_DEFAULTS = {
  changeReportMs: 50,
  idleReportMs: 5_000,
} as const;

/** A sender silent for so long may have come back with an earlier clock. */
const SILENCE_MS = 15_000;

/** This instance's view of what is in force where. */
export class InForceTracker {
  readonly #clock: Clock;
  readonly #network: PeerNetwork;
  readonly #changeReportMs: number;
  readonly #channel: PeerChannel<InForceReport>;
  readonly #subscription: Subscription<unknown>;
  readonly #idleTimer: Timer;
  readonly #reports = new Map<
    InstanceId,
    { report: InForceReport; receivedAtMs: number }
  >();
  readonly #acknowledged = new Map<DataCentreId, number>();
  readonly #changes = new Channel<InstanceId>();
  #changeTimer: Timer | undefined;
  #version = 0;
  #reportedAtMs = -Infinity;

  constructor(options: InForceTrackerOptions) {
    const { clock, network } = options;
    this.#clock = clock;
    this.#network = network;
    this.#changeReportMs = options.changeReportMs ??
      IN_FORCE_DEFAULTS.changeReportMs;
    this.#channel = network.channel({
      name: "configuration",
      decode: decodeReport,
    });
    this.#subscription = this.#channel.received.subscribe({
      next: ({ from, message }) => this.#take(from, message),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#idleTimer = clock.every(
      options.idleReportMs ?? IN_FORCE_DEFAULTS.idleReportMs,
      () => this.#report(),
    );
  }

  /** The instance whose report brought something new. */
  get changes() {
    return this.#changes.stream;
  }

  /** A version has come into force here. */
  setVersion(version: number): void {
    if (version !== this.#version) {
      this.#version = version;
      this.#reportSoon();
    }
  }

  /** The scheduler leader here has carried out a removal. */
  acknowledge(dataCentre: DataCentreId, version: number): void {
    if ((this.#acknowledged.get(dataCentre) ?? 0) < version) {
      this.#acknowledged.set(dataCentre, version);
      this.#reportSoon();
      this.#changes.push(this.#network.selfId);
    }
  }

  /** The version last known to be in force on an instance; 0 for unknown. */
  versionOn(instanceId: InstanceId): number {
    return instanceId === this.#network.selfId
      ? this.#version
      : this.#reports.get(instanceId)?.report.version ?? 0;
  }

  /** Whether any scheduler leader has carried out the removal. */
  isAcknowledged(dataCentre: DataCentreId, version: number): boolean {
    if ((this.#acknowledged.get(dataCentre) ?? 0) >= version) {
      return true;
    }
    for (const { report } of this.#reports.values()) {
      const isHere = report.acknowledgements.some((entry) =>
        entry.dataCentre === dataCentre && entry.version >= version
      );
      if (isHere) {
        return true;
      }
    }
    return false;
  }

  /** All instances that the settings name, with the version in force. */
  inForce(): { instanceId: InstanceId; version: number }[] {
    return [this.#network.selfId, ...this.#network.peerIds].map(
      (instanceId) => ({ instanceId, version: this.versionOn(instanceId) }),
    );
  }

  close(): void {
    this.#idleTimer.close();
    this.#changeTimer?.close();
    this.#subscription.unsubscribe();
    this.#channel.close();
    this.#changes.close();
  }

  /** Takes later reports; any at all from a sender that was long silent. */
  #take(from: InstanceId, report: InForceReport): void {
    const receivedAtMs = this.#clock.nowMs();
    const before = this.#reports.get(from);
    const isNewer = before === undefined ||
      report.sentAtMs > before.report.sentAtMs ||
      receivedAtMs - before.receivedAtMs > SILENCE_MS;
    if (isNewer) {
      this.#reports.set(from, { report, receivedAtMs });
      this.#changes.push(from);
    }
  }

  #reportSoon(): void {
    if (this.#changeTimer !== undefined) {
      return;
    }
    const dueMs = this.#reportedAtMs + this.#changeReportMs;
    const delayMs = Math.max(0, dueMs - this.#clock.nowMs());
    this.#changeTimer = this.#clock.after(delayMs, () => {
      this.#changeTimer = undefined;
      this.#report();
    });
  }

  #report(): void {
    this.#reportedAtMs = this.#clock.nowMs();
    const acknowledgements = [...this.#acknowledged].map(
      ([dataCentre, version]) => ({ dataCentre, version }),
    );
    const report: InForceReport = {
      formatVersion: REPORT_FORMAT_VERSION,
      sentAtMs: this.#reportedAtMs,
      version: this.#version,
      acknowledgements,
    };
    for (const peerId of this.#network.linkedPeerIds()) {
      this.#channel.send(peerId, report);
    }
  }
}

/** Checks the shape of a report that came. */
export function decodeReport(body: unknown): Result<InForceReport> {
  const parsed = reportSchema.safeParse(body);
  return parsed.success
    ? Right(parsed.data)
    : failure("malformed", { detail: "not a report of what is in force" });
}
