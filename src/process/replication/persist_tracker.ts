/**
 * Which changes of a member's state are still to be persisted, and which
 * messages must wait for them.
 *
 * @module
 */

import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { PersistEffect } from "./raft_effect.ts";
import type { RaftMessage } from "./raft_message.ts";

interface IssuedPersist {
  readonly sequence: number;
  readonly issuedAtMs: number;
  lastIndex: number;
}

/** Collects changes into persist effects and numbers them. */
export class PersistTracker {
  #issuedSequence = 0;
  #hardStateSequence = 0;
  #hardState: HardState;
  #snapshot: LogSnapshot | undefined;
  #replacesEntries = false;
  #entries: LogEntry[] = [];
  #issued: IssuedPersist[] = [];
  #persistedIndex: number;

  constructor(options: { hardState: HardState; lastIndex: number }) {
    this.#hardState = options.hardState;
    this.#persistedIndex = options.lastIndex;
  }

  /** The last synced entry of this member's log. */
  get persistedIndex(): number {
    return this.#persistedIndex;
  }

  addEntry(entry: LogEntry): void {
    this.#entries.push(entry);
  }

  /** Adds a locally taken snapshot, which keeps the entries. */
  addSnapshot(snapshot: LogSnapshot): void {
    this.#snapshot = snapshot;
  }

  /** Adds a snapshot that replaces all entries. */
  reset(snapshot: LogSnapshot): void {
    this.#entries = [];
    this.#snapshot = snapshot;
    this.#replacesEntries = true;
    // Until the snapshot is synced, the disk may hold conflicting entries.
    this.#persistedIndex = 0;
    for (const issued of this.#issued) {
      issued.lastIndex = 0;
    }
  }

  truncateFrom(index: number): void {
    this.#entries = this.#entries.filter((entry) => entry.index < index);
    this.#persistedIndex = Math.min(this.#persistedIndex, index - 1);
    for (const issued of this.#issued) {
      issued.lastIndex = Math.min(issued.lastIndex, index - 1);
    }
  }

  /** When the oldest effect that isn't synced yet was issued. */
  get oldestIssuedAtMs(): number | undefined {
    return this.#issued[0]?.issuedAtMs;
  }

  /** Returns the changes since the last call, if there are any. */
  take(hardState: HardState, nowMs: number): PersistEffect | undefined {
    const isChanged = !isSameHardState(hardState, this.#hardState);
    if (
      !isChanged && this.#snapshot === undefined && this.#entries.length === 0
    ) {
      return undefined;
    }
    const effect: PersistEffect = {
      kind: "persist",
      sequence: ++this.#issuedSequence,
      hardState: isChanged ? hardState : undefined,
      snapshot: this.#snapshot,
      replacesEntries: this.#replacesEntries,
      entries: this.#entries,
    };
    this.#recordIssued(effect, nowMs);
    this.#hardState = hardState;
    this.#snapshot = undefined;
    this.#replacesEntries = false;
    this.#entries = [];
    return effect;
  }

  /** Everything up to this effect is synced. */
  markPersisted(sequence: number): void {
    while ((this.#issued[0]?.sequence ?? Infinity) <= sequence) {
      const issued = this.#issued.shift()!;
      this.#persistedIndex = Math.max(this.#persistedIndex, issued.lastIndex);
    }
  }

  /**
   * The persist effect that a message must wait for. A leader's entries, which
   * may be sent while it syncs them itself, replies that acknowledge only synced
   * entries, and a leader's request to take over, which claims no entries, wait
   * only for the hard state; all other messages wait for all changes. So do entries with an unsynced configuration: if the leader lost it
   * in a crash, a member that has it as its newest entry, and may not lead
   * because of it, would prevent the re-election of the leader in a group of
   * two.
   */
  sequenceFor(message: RaftMessage): number {
    const needsOnlyHardState = message.kind === "handOver" ||
      (message.kind === "append" &&
        !this.#hasUnsyncedConfiguration(message.entries)) ||
      (message.kind === "appendReply" &&
        (!message.isAccepted || message.index <= this.#persistedIndex));
    return needsOnlyHardState ? this.#hardStateSequence : this.#issuedSequence;
  }

  #hasUnsyncedConfiguration(entries: readonly LogEntry[]): boolean {
    return entries.some((entry) =>
      entry.kind === "configuration" && entry.index > this.#persistedIndex
    );
  }

  #recordIssued(effect: PersistEffect, issuedAtMs: number): void {
    if (effect.hardState !== undefined) {
      this.#hardStateSequence = effect.sequence;
    }
    const lastIndex = effect.entries.at(-1)?.index ?? effect.snapshot?.index ??
      0;
    this.#issued.push({ sequence: effect.sequence, issuedAtMs, lastIndex });
  }
}

function isSameHardState(left: HardState, right: HardState): boolean {
  return left.term === right.term && left.votedFor === right.votedFor &&
    left.formationId === right.formationId &&
    left.incarnation === right.incarnation;
}
