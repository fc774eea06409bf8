/**
 * Which data centres are being taken out, and how long an instance that
 * missed the removal may still think that it may start tasks there.
 *
 * @module
 */

import type { DataCentreId } from "../../base/identity.ts";
import type { Document } from "../../version/document/document.ts";

/** Whether a removal holds everywhere. */
export const RemovalState = {
  /** A copy of the document without it may still permit starts. */
  pending: "pending",
  /** No task can start in the data centre. */
  accepted: "accepted",
} as const;

/** One of the values of {@link RemovalState}. */
export type RemovalState = typeof RemovalState[keyof typeof RemovalState];

/** One data centre that is out. */
export interface Removal {
  readonly dataCentre: DataCentreId;
  /** The version that took it out. */
  readonly version: number;
  readonly state: RemovalState;
}

/** A start permission that an older copy of the document may still grant. */
export interface StalePermission {
  readonly dataCentre: DataCentreId;
  readonly startPermissionMs: number;
  /** The version by which it was replaced. */
  readonly replacedByVersion: number;
  /** By the group's time. */
  readonly replacedAtMs: number;
}

/** How long after its end a stale permission is still listed. */
const PERMISSION_SLACK_MS = 3_600_000;

/** The removals and stale permissions of all data centres. */
export class RemovalLedger {
  readonly #removals = new Map<DataCentreId, Removal>();
  #permissions: StalePermission[] = [];

  constructor(
    options: {
      removals?: readonly Removal[];
      permissions?: readonly StalePermission[];
    } = {},
  ) {
    for (const removal of options.removals ?? []) {
      this.#removals.set(removal.dataCentre, removal);
    }
    this.#permissions = [...options.permissions ?? []];
  }

  /** Takes note of what one version changed. */
  note(change: {
    readonly before: Document;
    readonly after: Document;
    readonly version: number;
    readonly atMs: number;
  }): void {
    const { before, after, version, atMs } = change;
    if (before.dataCentres === after.dataCentres) {
      return;
    }
    for (const [dataCentre, old] of Object.entries(before.dataCentres)) {
      if (old !== after.dataCentres[dataCentre] && old.status === "in") {
        const { startPermissionMs } = old;
        this.#permissions.push({
          dataCentre,
          startPermissionMs,
          replacedByVersion: version,
          replacedAtMs: atMs,
        });
      }
    }
    this.#noteStatuses(after, version);
    this.#prune(atMs);
  }

  /** Marks the removal as holding; false when it isn't the current one. */
  confirm(dataCentre: DataCentreId, version: number): boolean {
    const removal = this.#removals.get(dataCentre);
    const isPending = removal?.state === RemovalState.pending;
    if (removal === undefined || !isPending || removal.version !== version) {
      return false;
    }
    this.#removals.set(dataCentre, {
      ...removal,
      state: RemovalState.accepted,
    });
    return true;
  }

  removal(dataCentre: DataCentreId): Removal | undefined {
    return this.#removals.get(dataCentre);
  }

  removals(): Removal[] {
    return [...this.#removals.values()];
  }

  permissions(): readonly StalePermission[] {
    return this.#permissions;
  }

  #noteStatuses(after: Document, version: number): void {
    for (const [name, dataCentre] of Object.entries(after.dataCentres)) {
      if (dataCentre.status === "in") {
        this.#removals.delete(name);
      } else if (!this.#removals.has(name)) {
        const state = RemovalState.pending;
        this.#removals.set(name, { dataCentre: name, version, state });
      }
    }
    for (const name of this.#removals.keys()) {
      if (!Object.hasOwn(after.dataCentres, name)) {
        this.#removals.delete(name);
      }
    }
  }

  #prune(nowMs: number): void {
    this.#permissions = this.#permissions.filter((permission) =>
      permission.replacedAtMs + permission.startPermissionMs +
          PERMISSION_SLACK_MS > nowMs
    );
  }
}
