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

interface IndexedConfiguration {
  readonly index: number;
  readonly configuration: GroupConfiguration;
}

/** The snapshot of an empty log. */
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
  #configurations: IndexedConfiguration[];
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

  /** The index before the first entry in memory. */
  get baseIndex(): number {
    return this.#baseIndex;
  }

  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** The approximate size of the entries in memory, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The newest configuration, committed or not. */
  get configuration(): GroupConfiguration {
    return this.#configurations.at(-1)!.configuration;
  }

  /** The index of the entry with the newest configuration. */
  get configurationIndex(): number {
    return this.#configurations.at(-1)!.index;
  }

  /** The configuration in force at an index not before the snapshot. */
  configurationAt(index: number): GroupConfiguration {
    const newest = this.#configurations.findLast((item) => item.index <= index);
    return (newest ?? this.#configurations[0]!).configuration;
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
    const slice: LogEntry[] = [];
    let bytes = 0;
    for (let at = fromIndex - this.#baseIndex - 1;; at++) {
      const entry = this.#entries[at];
      if (entry === undefined) {
        return slice;
      }
      bytes += entryBytes(entry);
      if (slice.length > 0 && bytes > limitBytes) {
        return slice;
      }
      slice.push(entry);
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
    this.#configurations = this.#configurations.filter((item, at) =>
      at === 0 || item.index < index
    );
  }

  /**
   * Adopts a snapshot of applied entries, and keeps the last `tailEntries`
   * entries before it.
   */
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
    const later = this.#configurations.filter((item) =>
      item.index > snapshot.index
    );
    this.#configurations = [snapshot, ...later];
  }

  /** Replaces the whole log with a snapshot. */
  reset(snapshot: LogSnapshot): void {
    this.#snapshot = snapshot;
    this.#baseIndex = snapshot.index;
    this.#baseTerm = snapshot.term;
    this.#entries = [];
    this.#configurations = [snapshot];
    this.#bytes = 0;
  }
}
