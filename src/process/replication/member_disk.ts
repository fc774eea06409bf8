/**
 * A member's disk: opens its log at the start and after a fault, and reports
 * its state.
 *
 * @module
 */

import type { Timer } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { SesameError } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";
import { openRetryMs } from "./disk_fault.ts";
import { LogStore } from "./log_store.ts";
import { type OpeningOptions, openStore } from "./member_opening.ts";
import type { DiskStatus } from "./replicated_log.ts";
import type { StoredLog } from "./stored_log.ts";

/** How often the free space is read. */
const SPACE_CHECK_MS = 10_000;

/** Options of {@link MemberDisk}. */
export interface MemberDiskOptions extends Omit<OpeningOptions, "store"> {
  /** The data folder; absent for a member without a disk. */
  readonly storage?: Storage | undefined;
}

/** The disk of one member, or the lack of one. */
export class MemberDisk {
  /** Absent for a member without a disk. */
  readonly store: LogStore | undefined;
  #options: MemberDiskOptions;
  #events: EventLog;
  #spaceCheck: Timer | undefined;
  #suspendedAtMs: number | undefined;
  #syncedAtMs: number | undefined;
  #freeBytes: number | undefined;
  #isClosed = false;

  constructor(options: MemberDiskOptions) {
    const { storage, groupId, clock } = options;
    this.#options = options;
    const events = options.events ?? SILENT_EVENT_LOG;
    this.#events = events;
    this.store = storage && new LogStore({
      storage,
      groupId,
      onFault: (fault) =>
        events.emit("diskWriteFailed", { group: groupId, ...fault }),
    });
    this.#spaceCheck = storage &&
      clock.every(SPACE_CHECK_MS, () => void this.#readSpace(storage));
  }

  /** Undefined for a member without a disk. */
  get status(): DiskStatus | undefined {
    return this.store && {
      suspendedAtMs: this.#suspendedAtMs,
      syncedAtMs: this.#syncedAtMs,
      freeBytes: this.#freeBytes,
    };
  }

  /** Records that everything persisted up to now is synced. */
  markSynced(): void {
    this.#syncedAtMs = this.#options.clock.nowMs();
  }

  /**
   * Records that the member serves nobody until {@link MemberDisk.open} returns
   * its log.
   */
  suspend(error: SesameError): void {
    const { groupId, clock } = this.#options;
    if (this.#suspendedAtMs === undefined) {
      this.#suspendedAtMs = clock.nowMs();
      this.#events.emit("replicationSuspended", {
        group: groupId,
        detail: error.message,
      });
    }
  }

  /**
   * Loads the log as soon as the disk allows it; returns undefined once the
   * disk is closed.
   */
  async open(): Promise<StoredLog | undefined> {
    for (let attempts = 0; !this.#isClosed; attempts++) {
      const opened = await openStore({ ...this.#options, store: this.store });
      if (opened.isRight() && !this.#isClosed) {
        const log = opened.unsafeCoerce();
        this.#markResumed(log);
        return log;
      }
      opened.ifLeft((error) => this.suspend(error));
      await this.#pause(openRetryMs(attempts));
    }
    return undefined;
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#spaceCheck?.close();
    await this.store?.close();
  }

  #markResumed(log: StoredLog): void {
    const { groupId, clock } = this.#options;
    if (this.#suspendedAtMs !== undefined) {
      this.#events.emit("replicationResumed", {
        group: groupId,
        durationMs: Math.round(clock.nowMs() - this.#suspendedAtMs),
        isEmpty: log.hardState.formationId === undefined,
      });
    }
    this.#suspendedAtMs = undefined;
  }

  async #readSpace(storage: Storage): Promise<void> {
    const free = await storage.freeBytes();
    // An unknown figure is shown as such; the write of a snapshot reports why.
    this.#freeBytes = free.toMaybe().extract();
  }

  #pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(durationMs, resolve);
    });
  }
}
