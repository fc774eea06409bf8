/**
 * The state machine of one member, and when it makes a snapshot.
 *
 * @module
 */

import { unpack } from "msgpackr";
import { Left, Right } from "purify-ts/Either";
import { type Result, SesameError } from "../../base/sesame_error.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import type { StateMachine } from "./replicated_log.ts";
import type { ReplicationTiming } from "./replication_timing.ts";

/** A state machine and the index up to which the log is applied. */
export class AppliedState<Command, Outcome> {
  #machine: StateMachine<Command, Outcome>;
  #timing: ReplicationTiming;
  #index = 0;
  /** The term of the last applied entry. */
  #term = 0;
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

  /**
   * Applies an entry; returns the outcome if it is a command. One that was
   * applied before the log was loaded again is skipped. Throws if the group
   * committed another entry in its place: then it has lost its state meanwhile.
   */
  apply(entry: LogEntry): { outcome: Outcome } | undefined {
    if (entry.index <= this.#index) {
      const fault = this.#historyFault(entry.term);
      if (fault !== undefined) {
        throw fault;
      }
      return undefined;
    }
    this.#index = entry.index;
    this.#term = entry.term;
    this.#bytesSinceSnapshot += entry.data.byteLength;
    if (entry.kind !== "command") {
      return undefined;
    }
    const command = unpack(entry.data) as Command;
    return { outcome: this.#machine.apply(command, entry.index) };
  }

  /**
   * Continues with a log that was loaded again, or from a leader's snapshot.
   * Only a newer snapshot replaces the state, which else would go back.
   */
  resume(snapshot: LogSnapshot): Result<void> {
    if (snapshot.index > this.#index) {
      return this.restore(snapshot);
    }
    this.#snapshotIndex = snapshot.index;
    const fault = this.#historyFault(snapshot.term);
    return fault === undefined ? Right(undefined) : Left(fault);
  }

  /**
   * Continues from a snapshot. The one of an empty log, at index 0, has no data
   * to restore.
   */
  restore(snapshot: LogSnapshot): Result<void> {
    this.#index = snapshot.index;
    this.#term = snapshot.term;
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

  /** Terms only grow along a log, so none before the last applied is higher. */
  #historyFault(term: number): SesameError | undefined {
    return term <= this.#term ? undefined : new SesameError("internal", {
      detail: `entry ${this.#index} of term ${this.#term} was applied, ` +
        `but the group replaced it in term ${term}`,
    });
  }
}
