/**
 * The data centres that are out, and the start permissions under which an
 * instance that has not seen the removal yet may still start tasks there.
 *
 * @module
 */

import type { DataCentreId } from "../../base/identity.ts";
import type { Document } from "../../version/document/document.ts";

/** Whether a removal has taken effect on every instance. */
export const RemovalState = {
  /** An instance with an older document may still permit starts. */
  pending: "pending",
  /** No task can start in the data centre. */
  accepted: "accepted",
} as const;

/** One of the values of {@link RemovalState}. */
export type RemovalState = typeof RemovalState[keyof typeof RemovalState];

/** The removal of a data centre whose status is `out`. */
export interface Removal {
  readonly dataCentre: DataCentreId;
  /** The version that took it out. */
  readonly version: number;
  readonly state: RemovalState;
}

/** A start permission that an older version of the document grants. */
export interface StalePermission {
  readonly dataCentre: DataCentreId;
  readonly startPermissionMs: number;
  /** The version that replaced the permission. */
  readonly replacedByVersion: number;
  /** In group time. */
  readonly replacedAtMs: number;
}

/** How long a stale permission is kept after it has expired. */
const EXPIRED_PERMISSION_RETENTION_MS = 3_600_000;

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

  /** Records the changes of one version. */
  record(change: {
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
    this.#recordStatuses(after, version);
    this.#prune(atMs);
  }

  /** Marks the removal by `version` as accepted; false if it isn't pending. */
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

  #recordStatuses(after: Document, version: number): void {
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
          EXPIRED_PERMISSION_RETENTION_MS > nowMs
    );
  }
}
