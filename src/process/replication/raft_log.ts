/**
 * The part of a group's log that a member holds in memory: the newest
 * snapshot, the entries after it, and some before it for slow followers.
 *
 * @module
 */

import {
  EMPTY_CONFIGURATION,
  type GroupConfiguration,
} from "./group_configuration.ts";
import {
  decodeConfiguration,
  entryBytes,
  type LogEntry,
  type LogSnapshot,
} from "./log_entry.ts";

interface PlacedConfiguration {
  readonly index: number;
  readonly configuration: GroupConfiguration;
}

/** The log before anything happened. */
export const EMPTY_SNAPSHOT: LogSnapshot = {
  index: 0,
  term: 0,
  configuration: EMPTY_CONFIGURATION,
  data: new Uint8Array(),
};

/** The entries and the newest snapshot of one member. */
export class RaftLog {
  #snapshot: LogSnapshot;
  #baseIndex: number;
  #baseTerm: number;
  #entries: LogEntry[] = [];
  #configurations: PlacedConfiguration[];
  #bytes = 0;

  constructor(snapshot: LogSnapshot = EMPTY_SNAPSHOT) {
    this.#snapshot = snapshot;
    this.#baseIndex = snapshot.index;
    this.#baseTerm = snapshot.term;
    this.#configurations = [snapshot];
  }

  get snapshot(): LogSnapshot {
    return this.#snapshot;
  }

  /** The entry just before the first one held. */
  get baseIndex(): number {
    return this.#baseIndex;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** About what the entries after the snapshot take, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The newest configuration, committed or not. */
  get configuration(): GroupConfiguration {
    return this.#configurations.at(-1)!.configuration;
  }

  /** The index of the entry that brought the newest configuration. */
  get configurationIndex(): number {
    return this.#configurations.at(-1)!.index;
  }

  /** The configuration in force at an index not before the snapshot. */
  configurationAt(index: number): GroupConfiguration {
    const placed = this.#configurations.findLast((item) => item.index <= index);
    return (placed ?? this.#configurations[0]!).configuration;
  }

  /** The term of an entry, or undefined where it isn't known. */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) {
      return this.#baseTerm;
    }
    if (index === this.#snapshot.index) {
      return this.#snapshot.term;
    }
    return this.#entries[index - this.#baseIndex - 1]?.term;
  }

  /** Entries from `fromIndex` on, at least one, up to about `limitBytes`. */
  slice(fromIndex: number, limitBytes: number): LogEntry[] {
    const taken: LogEntry[] = [];
    let bytes = 0;
    for (let at = fromIndex - this.#baseIndex - 1;; at++) {
      const entry = this.#entries[at];
      if (entry === undefined) {
        return taken;
      }
      bytes += entryBytes(entry);
      if (taken.length > 0 && bytes > limitBytes) {
        return taken;
      }
      taken.push(entry);
    }
  }

  /** The entries from `fromIndex` to `toIndex`, both included. */
  range(fromIndex: number, toIndex: number): LogEntry[] {
    const start = fromIndex - this.#baseIndex - 1;
    return this.#entries.slice(start, toIndex - this.#baseIndex);
  }

  append(entry: LogEntry): void {
    this.#entries.push(entry);
    this.#bytes += entryBytes(entry);
    if (entry.kind === "configuration") {
      const configuration = decodeConfiguration(entry.data);
      this.#configurations.push({ index: entry.index, configuration });
    }
  }

  /** Drops the entry at `index` and all after it. */
  truncateFrom(index: number): void {
    const dropped = this.#entries.splice(index - this.#baseIndex - 1);
    for (const entry of dropped) {
      this.#bytes -= entryBytes(entry);
    }
    this.#configurations = this.#configurations.filter((placed, at) =>
      at === 0 || placed.index < index
    );
  }

  /** Takes a snapshot of applied entries in, keeping `tailEntries` of them. */
  compact(snapshot: LogSnapshot, tailEntries: number): void {
    const baseIndex = Math.max(this.#baseIndex, snapshot.index - tailEntries);
    const baseTerm = this.termAt(baseIndex) ?? snapshot.term;
    const dropped = this.#entries.splice(0, baseIndex - this.#baseIndex);
    for (const entry of dropped) {
      this.#bytes -= entryBytes(entry);
    }
    this.#baseIndex = baseIndex;
    this.#baseTerm = baseTerm;
    this.#snapshot = snapshot;
    const later = this.#configurations.filter((placed) =>
      placed.index > snapshot.index
    );
    this.#configurations = [snapshot, ...later];
  }

  /** Forgets everything and goes on from a snapshot of the leader's. */
  reset(snapshot: LogSnapshot): void {
    this.#snapshot = snapshot;
    this.#baseIndex = snapshot.index;
    this.#baseTerm = snapshot.term;
    this.#entries = [];
    this.#configurations = [snapshot];
    this.#bytes = 0;
  }
}
