/**
 * Determines when the removal of a data centre has taken effect and records
 * that in the replicated log.
 *
 * A removal has taken effect once the data centre's scheduler leader has
 * carried it out and every instance of the data centre, any of which may lead
 * next, has it in force; or once every start permission granted by an older
 * version has expired.
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

/** An instance and the data centre that it is in. */
export interface InstanceLocation {
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
  /** All instances of the system, including this one. */
  readonly instances: readonly InstanceLocation[];
  /** How often pending removals are checked. */
  readonly periodMs?: number;
  /** Maximum clock drift in either direction, as a fraction. */
  readonly driftFraction?: number;
  /** How long a start order that was permitted when sent may be in flight. */
  readonly startInFlightMs?: number;
}

/** Default timing and clock bounds. */
export const REMOVAL_DEFAULTS = {
  periodMs: 100,
  driftFraction: MAX_CLOCK_DRIFT,
  startInFlightMs: 500,
} as const;

/** Maximum number of versions whose first-seen times are kept. */
const FIRST_SEEN_LIMIT = 1_000;

/** Time limit of one attempt to commit a confirmation. */
const CONFIRM_TIMEOUT_MS = 5_000;

const LEADER: MemberRole = "leader";

/** Confirms pending removals once they have taken effect. */
export class RemovalConfirmer {
  readonly #options: Required<RemovalConfirmerOptions>;
  readonly #subscription: Subscription<unknown>;
  /** When each version was first seen here, by this instance's clock. */
  readonly #firstSeen: { version: number; atMs: number }[] = [];
  /** Data centres whose removal is confirmed here even when not leading. */
  readonly #tracked = new Set<DataCentreId>();
  #timer: Timer | undefined;
  #isConfirming = false;

  constructor(options: RemovalConfirmerOptions) {
    this.#options = { ...REMOVAL_DEFAULTS, ...options };
    const { machine } = this.#options;
    this.#subscription = machine.changes.subscribe({
      next: () => this.#update(),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#update();
  }

  /** Confirms the data centre's pending removal even when not leading. */
  track(dataCentre: DataCentreId): void {
    this.#tracked.add(dataCentre);
  }

  /**
   * When the removal takes effect at the latest, by this instance's clock; may
   * be in the past. Each permission is extended by the drift between a fast
   * clock here and a slow one there, and by the time a start may be in flight.
   */
  holdsByMs(removal: Removal): number {
    const { machine, driftFraction, startInFlightMs } = this.#options;
    const driftRatio = (1 + driftFraction) / (1 - driftFraction);
    let latestMs = this.#firstSeenAtMs(removal.version);
    for (const permission of machine.removals.permissions()) {
      const isRelevant = permission.dataCentre === removal.dataCentre &&
        permission.replacedByVersion <= removal.version;
      if (isRelevant) {
        const expiryMs = this.#firstSeenAtMs(permission.replacedByVersion) +
          permission.startPermissionMs * driftRatio +
          startInFlightMs;
        latestMs = Math.max(latestMs, expiryMs);
      }
    }
    return Math.ceil(latestMs);
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#timer?.close();
    this.#timer = undefined;
  }

  #update(): void {
    const { machine, clock, periodMs } = this.#options;
    this.#recordFirstSeen(machine.current.version);
    const hasPending = this.#pending().length > 0;
    if (hasPending && this.#timer === undefined) {
      this.#timer = clock.every(periodMs, () => this.#check());
    }
    if (!hasPending && this.#timer !== undefined) {
      this.#timer.close();
      this.#timer = undefined;
      this.#tracked.clear();
    }
  }

  #recordFirstSeen(version: number): void {
    const last = this.#firstSeen.at(-1);
    if (last !== undefined && last.version >= version) {
      return;
    }
    this.#firstSeen.push({ version, atMs: this.#options.clock.nowMs() });
    if (this.#firstSeen.length > FIRST_SEEN_LIMIT) {
      this.#firstSeen.shift();
    }
  }

  /**
   * When this version or a later one was first seen here, or now if none was:
   * never earlier than the version was accepted.
   */
  #firstSeenAtMs(version: number): number {
    const firstSeen = this.#firstSeen.find((entry) => entry.version >= version);
    return firstSeen?.atMs ?? this.#options.clock.nowMs();
  }

  #pending(): Removal[] {
    return this.#options.machine.removals.removals().filter((removal) =>
      removal.state === RemovalState.pending
    );
  }

  #check(): void {
    const isLeader = this.#options.log.status().role === LEADER;
    const removal = this.#pending().find((entry) =>
      (isLeader || this.#tracked.has(entry.dataCentre)) &&
      this.#hasTakenEffect(entry)
    );
    if (removal !== undefined && !this.#isConfirming) {
      this.#isConfirming = true;
      void this.#confirm(removal)
        .catch((error: unknown) => this.#logUnexpected(error))
        .finally(() => this.#isConfirming = false);
    }
  }

  /** The next check tries again. */
  #logUnexpected(error: unknown): void {
    this.#options.events.emit("unexpectedError", {
      origin: "removalConfirmer",
      detail: String(error),
    });
  }

  #hasTakenEffect(removal: Removal): boolean {
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
    const atMs = clock.nowMs();
    const result = await log.propose(
      { kind: "confirmRemoval", dataCentre, version, atMs },
      { deadlineMs: atMs + CONFIRM_TIMEOUT_MS },
    );
    result.ifRight((outcome) => {
      if (outcome.kind === "accepted") {
        events.emit("removalAccepted", { dataCentre, version, isAcknowledged });
      }
    });
  }
}
