/**
 * The state machine of one member, and when it makes a snapshot.
 *
 * @module
 */

import { unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import type { StateMachine } from "./replicated_log.ts";
import type { ReplicationTiming } from "./replication_timing.ts";

/** A state machine and the index up to which the log is applied. */
export class AppliedState<Command, Outcome> {
  #machine: StateMachine<Command, Outcome>;
  #timing: ReplicationTiming;
  #index = 0;
  #snapshotIndex = 0;
  #bytesSinceSnapshot = 0;

  constructor(options: {
    machine: StateMachine<Command, Outcome>;
    timing: ReplicationTiming;
  }) {
    this.#machine = options.machine;
    this.#timing = options.timing;
  }

  /** The index of the last applied entry. */
  get index(): number {
    return this.#index;
  }

  /** Applies an entry; returns the outcome if it is a command. */
  apply(entry: LogEntry): { outcome: Outcome } | undefined {
    this.#index = entry.index;
    this.#bytesSinceSnapshot += entry.data.byteLength;
    if (entry.kind !== "command") {
      return undefined;
    }
    const command = unpack(entry.data) as Command;
    return { outcome: this.#machine.apply(command, entry.index) };
  }

  /**
   * Continues from a snapshot. The one of an empty log, at index 0, has no data
   * to restore.
   */
  restore(snapshot: LogSnapshot): Result<void> {
    this.#index = snapshot.index;
    this.#snapshotIndex = snapshot.index;
    this.#bytesSinceSnapshot = 0;
    return snapshot.index === 0
      ? Right(undefined)
      : this.#machine.restore(snapshot.data);
  }

  /** Takes a snapshot if enough was applied since the last one. */
  snapshotIfDue(): { index: number; data: Uint8Array } | undefined {
    const entries = this.#index - this.#snapshotIndex;
    const isDue = entries >= this.#timing.snapshotEntries ||
      this.#bytesSinceSnapshot >= this.#timing.snapshotBytes;
    if (!isDue) {
      return undefined;
    }
    this.#snapshotIndex = this.#index;
    this.#bytesSinceSnapshot = 0;
    return { index: this.#index, data: this.#machine.snapshot() };
  }
}
