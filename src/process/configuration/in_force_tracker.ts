/**
 * Tracks which configuration version is in force on each instance. Every
 * instance reports its version to the others on a change and periodically.
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

/** Format version of the report, not of the document. */
const REPORT_FORMAT_VERSION = 1;

const reportSchema = z.object({
  formatVersion: z.literal(REPORT_FORMAT_VERSION),
  /** Orders the reports of one sender. */
  sentAtMs: z.number(),
  /** The version in force on the sender; 0 before the first. */
  version: z.int().min(0),
  /** Removals that a scheduler leader on the sender has carried out. */
  acknowledgements: z.array(z.object({
    dataCentre: z.string().regex(IDENTITY_PATTERN),
    version: z.int().min(0),
  })).max(64),
});

/** One instance's report about itself. */
export type InForceReport = z.infer<typeof reportSchema>;

/** How to build an {@link InForceTracker}. */
export interface InForceTrackerOptions {
  readonly clock: Clock;
  readonly network: PeerNetwork;
  /** Minimum time between any report and a later one caused by a change. */
  readonly changeReportMs?: number;
  /** Period of the reports that are sent without a change. */
  readonly idleReportMs?: number;
}

/** Default reporting periods. */
export const IN_FORCE_DEFAULTS = {
  changeReportMs: 50,
  idleReportMs: 5_000,
} as const;

/**
 * After this long without a report, the next one counts even if its timestamp
 * is older: the sender may have restarted with its clock set back.
 */
const SENDER_SILENCE_LIMIT_MS = 15_000;

/** This instance's view of the versions in force on all instances. */
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
      next: ({ from, message }) => this.#receive(from, message),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#idleTimer = clock.every(
      options.idleReportMs ?? IN_FORCE_DEFAULTS.idleReportMs,
      () => this.#sendReport(),
    );
  }

  /**
   * Emits the ID of an instance whose report was stored, and this instance's ID
   * when it acknowledges a removal.
   */
  get changes() {
    return this.#changes.stream;
  }

  /** Records the version in force on this instance and reports it. */
  setVersion(version: number): void {
    if (version !== this.#version) {
      this.#version = version;
      this.#scheduleReport();
    }
  }

  /** Records that the scheduler leader here has carried out a removal. */
  acknowledge(dataCentre: DataCentreId, version: number): void {
    if ((this.#acknowledged.get(dataCentre) ?? 0) < version) {
      this.#acknowledged.set(dataCentre, version);
      this.#scheduleReport();
      this.#changes.push(this.#network.selfId);
    }
  }

  /** The version last known to be in force on an instance; 0 if unknown. */
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
      const hasAcknowledged = report.acknowledgements.some((entry) =>
        entry.dataCentre === dataCentre && entry.version >= version
      );
      if (hasAcknowledged) {
        return true;
      }
    }
    return false;
  }

  /** This instance and all its peers, each with its version in force. */
  versionsInForce(): { instanceId: InstanceId; version: number }[] {
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

  /**
   * Stores a report that is newer than the last one, or any report from a
   * sender that was silent for {@link SENDER_SILENCE_LIMIT_MS}.
   */
  #receive(from: InstanceId, report: InForceReport): void {
    const receivedAtMs = this.#clock.nowMs();
    const previous = this.#reports.get(from);
    const isNewer = previous === undefined ||
      report.sentAtMs > previous.report.sentAtMs ||
      receivedAtMs - previous.receivedAtMs > SENDER_SILENCE_LIMIT_MS;
    if (isNewer) {
      this.#reports.set(from, { report, receivedAtMs });
      this.#changes.push(from);
    }
  }

  #scheduleReport(): void {
    if (this.#changeTimer !== undefined) {
      return;
    }
    const dueMs = this.#reportedAtMs + this.#changeReportMs;
    const delayMs = Math.max(0, dueMs - this.#clock.nowMs());
    this.#changeTimer = this.#clock.after(delayMs, () => {
      this.#changeTimer = undefined;
      this.#sendReport();
    });
  }

  #sendReport(): void {
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

/** Validates the shape of a received report. */
export function decodeReport(body: unknown): Result<InForceReport> {
  const parsed = reportSchema.safeParse(body);
  return parsed.success
    ? Right(parsed.data)
    : failure("malformed", { detail: "not a report of the version in force" });
}
