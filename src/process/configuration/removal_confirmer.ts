/**
 * Finds out when the removal of a data centre holds, and has the group keep
 * that on record.
 *
 * A removal holds once the data centre's scheduler leader has carried it out
 * and every instance of the data centre, which may lead next, has it in
 * force; or once every start permission under an older version has lapsed.
 *
 * @module
 */

import type { Subscription } from "most";
import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { DataCentreId, InstanceId } from "../../base/identity.ts";
import {
  type MemberRole,
  type ReplicatedLog,
} from "../replication/replicated_log.ts";
import { MAX_CLOCK_DRIFT } from "../replication/replication_timing.ts";
import type {
  ConfigurationCommand,
  ConfigurationOutcome,
} from "./configuration_command.ts";
import type { ConfigurationMachine } from "./configuration_machine.ts";
import type { InForceTracker } from "./in_force_tracker.ts";
import { type Removal, RemovalState } from "./removal_ledger.ts";

/** The configuration's replicated log. */
export type ConfigurationLog = ReplicatedLog<
  ConfigurationCommand,
  ConfigurationOutcome
>;

/** Where an instance lies. */
export interface PlacedInstance {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
}

/** How to build a {@link RemovalConfirmer}. */
export interface RemovalConfirmerOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly machine: ConfigurationMachine;
  readonly log: ConfigurationLog;
  readonly inForce: InForceTracker;
  /** All instances of the system, this one among them. */
  readonly instances: readonly PlacedInstance[];
  /** How often a pending removal is looked at. */
  readonly periodMs?: number;
  /** How far a clock may run fast or slow, as a fraction of the time. */
  readonly driftFraction?: number;
  /** How long a start may be under way that was permitted when it was sent. */
  readonly startInFlightMs?: number;
}

/** The bounds of the product. */
export const REMOVAL_DEFAULTS = {
  periodMs: 100,
  driftFraction: MAX_CLOCK_DRIFT,
  startInFlightMs: 500,
} as const;

/** The most first sightings of versions that are kept. */
const SIGHTINGS_LIMIT = 1_000;

/** How long one attempt to put a confirmation on record may take. */
const CONFIRM_TIMEOUT_MS = 5_000;

const LEADER: MemberRole = "leader";

/** Watches pending removals. */
export class RemovalConfirmer {
  readonly #options: Required<RemovalConfirmerOptions>;
  readonly #subscription: Subscription<unknown>;
  /** When each version was first seen here, by this instance's clock. */
  readonly #sightings: { version: number; atMs: number }[] = [];
  /** Data centres whose removal this instance sees to, leader or not. */
  readonly #watched = new Set<DataCentreId>();
  #timer: Timer | undefined;
  #isConfirming = false;

  constructor(options: RemovalConfirmerOptions) {
    this.#options = { ...REMOVAL_DEFAULTS, ...options };
    const { machine } = this.#options;
    this.#subscription = machine.changes.subscribe({
      next: () => this.#look(),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#look();
  }

  /** Sees to the data centre's pending removal even when not leading. */
  watch(dataCentre: DataCentreId): void {
    this.#watched.add(dataCentre);
  }

  /**
   * The latest moment, by this instance's clock, at which the removal holds;
   * it may lie in the past.
   */
  holdsByMs(removal: Removal): number {
    const { machine, driftFraction, startInFlightMs } = this.#options;
    const slowness = (1 + driftFraction) / (1 - driftFraction);
    let latestMs = this.#seenAtMs(removal.version);
    for (const permission of machine.removals.permissions()) {
      const counts = permission.dataCentre === removal.dataCentre &&
        permission.replacedByVersion <= removal.version;
      if (counts) {
        const lapseMs = this.#seenAtMs(permission.replacedByVersion) +
          permission.startPermissionMs * slowness +
          startInFlightMs;
        latestMs = Math.max(latestMs, lapseMs);
      }
    }
    return Math.ceil(latestMs);
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#timer?.close();
    this.#timer = undefined;
  }

  #look(): void {
    const { machine, clock, periodMs } = this.#options;
    this.#see(machine.current.version);
    const hasPending = this.#pending().length > 0;
    if (hasPending && this.#timer === undefined) {
      this.#timer = clock.every(periodMs, () => this.#check());
    }
    if (!hasPending && this.#timer !== undefined) {
      this.#timer.close();
      this.#timer = undefined;
      this.#watched.clear();
    }
  }

  #see(version: number): void {
    const last = this.#sightings.at(-1);
    if (last !== undefined && last.version >= version) {
      return;
    }
    this.#sightings.push({ version, atMs: this.#options.clock.nowMs() });
    if (this.#sightings.length > SIGHTINGS_LIMIT) {
      this.#sightings.shift();
    }
  }

  /** Never earlier than the moment at which the version was accepted. */
  #seenAtMs(version: number): number {
    const sighting = this.#sightings.find((entry) => entry.version >= version);
    return sighting?.atMs ?? this.#options.clock.nowMs();
  }

  #pending(): Removal[] {
    return this.#options.machine.removals.removals().filter((removal) =>
      removal.state === RemovalState.pending
    );
  }

  #check(): void {
    const isLeader = this.#options.log.status().role === LEADER;
    const removal = this.#pending().find((entry) =>
      (isLeader || this.#watched.has(entry.dataCentre)) && this.#holds(entry)
    );
    if (removal !== undefined && !this.#isConfirming) {
      void this.#confirm(removal);
    }
  }

  #holds(removal: Removal): boolean {
    return this.#isCarriedOut(removal) ||
      this.#options.clock.nowMs() >= this.holdsByMs(removal);
  }

  #isCarriedOut(removal: Removal): boolean {
    const { inForce, instances } = this.#options;
    return inForce.isAcknowledged(removal.dataCentre, removal.version) &&
      instances.every((instance) =>
        instance.dataCentre !== removal.dataCentre ||
        inForce.versionOn(instance.id) >= removal.version
      );
  }

  async #confirm(removal: Removal): Promise<void> {
    const { log, clock, events } = this.#options;
    const { dataCentre, version } = removal;
    const isAcknowledged = this.#isCarriedOut(removal);
    this.#isConfirming = true;
    const atMs = clock.nowMs();
    const result = await log.propose(
      { kind: "confirmRemoval", dataCentre, version, atMs },
      { deadlineMs: atMs + CONFIRM_TIMEOUT_MS },
    );
    this.#isConfirming = false;
    result.ifRight((outcome) => {
      if (outcome.kind === "accepted") {
        events.emit("removalAccepted", { dataCentre, version, isAcknowledged });
      }
    });
  }
}
