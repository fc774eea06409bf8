/**
 * A member's log, snapshot and hard state in files.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";
import { encodeRecord, scanRecords } from "../storage/record_codec.ts";
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import type { PersistEffect } from "./raft_effect.ts";
import {
  decodeEntry,
  encodeEntry,
  encodeHardState,
  encodeSnapshot,
  type LoadedLog,
  parseLog,
} from "./stored_log.ts";

interface Segment {
  readonly name: string;
  lastIndex: number;
  bytes: number;
}

/** The files of one group's member in the data folder. */
export class LogStore {
  #storage: Storage;
  #prefix: string;
  #segments: Segment[] = [];
  #nextSegment = 1;
  /** Writes of snapshots in progress, one after another. */
  #snapshotWrites: Promise<Result<void>> = Promise.resolve(Right(undefined));
  #snapshotFailure: Result<void> | undefined;
  #isClosed = false;

  constructor(options: { storage: Storage; groupId: string }) {
    this.#storage = options.storage;
    this.#prefix = options.groupId.replaceAll(":", "_");
  }

  /** Reads all files; truncates a torn tail. */
  async load(): Promise<Result<LoadedLog>> {
    const state = await this.#storage.read(this.#stateName);
    const snapshot = await this.#storage.read(this.#snapshotName);
    const segments = await this.#readSegments();
    if (state.isLeft() || snapshot.isLeft() || segments.isLeft()) {
      return state.chain(() => snapshot).chain(() => segments).map(() => ({
        kind: "empty" as const,
      }));
    }
    const stateBytes = state.extract() as Uint8Array | undefined;
    if (stateBytes === undefined) {
      return Right({ kind: "empty" });
    }
    return Right(parseLog({
      state: stateBytes,
      snapshot: snapshot.extract() as Uint8Array | undefined,
      entries: segments.extract() as Result<LogEntry[]>,
    }));
  }

  /** Makes the effects durable, in order, with as few syncs as possible. */
  async persist(effects: readonly PersistEffect[]): Promise<Result<void>> {
    let entries: LogEntry[] = [];
    let result: Result<void> = this.#snapshotFailure ?? Right(undefined);
    for (const effect of effects) {
      if (effect.snapshot !== undefined || effect.hardState !== undefined) {
        result = await this.#writeEntries(entries);
        entries = [];
      }
      if (result.isRight() && effect.snapshot !== undefined) {
        result = await this.#storeSnapshot(effect);
      }
      if (result.isRight() && effect.hardState !== undefined) {
        result = await this.#writeHardState(effect.hardState);
      }
      if (result.isLeft()) {
        return result;
      }
      entries = entries.concat(effect.entries);
    }
    return await this.#writeEntries(entries);
  }

  /** Removes all files. What a crash leaves of them is loaded as empty. */
  async wipe(): Promise<Result<void>> {
    const names = await this.#storage.list();
    if (names.isLeft()) {
      return names.map(() => undefined);
    }
    const own = (names.extract() as readonly string[]).filter((name) =>
      name.startsWith(`${this.#prefix}.`)
    );
    // Without the state file the others are ignored, so it is removed first.
    const ordered = [
      ...own.filter((name) => name === this.#stateName),
      ...own.filter((name) => name !== this.#stateName),
    ];
    for (const name of ordered) {
      const removed = await this.#storage.remove(name);
      if (removed.isLeft()) {
        return removed;
      }
    }
    this.#segments = [];
    return Right(undefined);
  }

  /** Starts no more background writes, and waits for those in progress. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#snapshotWrites;
  }

  get #stateName(): string {
    return `${this.#prefix}.state`;
  }

  get #snapshotName(): string {
    return `${this.#prefix}.snapshot`;
  }

  #segmentName(number: number): string {
    return `${this.#prefix}.log.${String(number).padStart(8, "0")}`;
  }

  /**
   * Reads the entries of all segments. The outer result tells whether they
   * could be read, the inner one whether they are intact.
   */
  async #readSegments(): Promise<Result<Result<LogEntry[]>>> {
    const names = await this.#storage.list();
    if (names.isLeft()) {
      return names.map(() => Right([]));
    }
    const own = (names.extract() as readonly string[]).filter((name) =>
      name.startsWith(`${this.#prefix}.log.`)
    );
    const entries: LogEntry[] = [];
    for (const [at, name] of own.entries()) {
      const isLast = at === own.length - 1;
      const read = await this.#readSegment(name, { isLast });
      if (read.isLeft()) {
        return read.map(() => Right([]));
      }
      const found = read.extract() as Result<LogEntry[]>;
      if (found.isLeft()) {
        return Right(found);
      }
      for (const entry of found.extract() as LogEntry[]) {
        entries.push(entry);
      }
      this.#nextSegment = Number(name.slice(-8)) + 1;
    }
    return Right(Right(entries));
  }

  async #readSegment(
    name: string,
    options: { isLast: boolean },
  ): Promise<Result<Result<LogEntry[]>>> {
    const read = await this.#storage.read(name);
    if (read.isLeft()) {
      return read.map(() => Right([]));
    }
    const bytes = read.extract() as Uint8Array;
    const scan = scanRecords(bytes);
    const isDamaged = scan.state === "corrupt" ||
      (scan.state === "torn" && !options.isLast);
    if (isDamaged) {
      const detail = `${name}: damaged at byte ${scan.wholeBytes}`;
      return Right(failure("storageFailed", { detail }));
    }
    if (scan.state === "torn") {
      const cut = await this.#storage.truncate(name, scan.wholeBytes);
      if (cut.isLeft()) {
        return cut.map(() => Right([]));
      }
    }
    const entries = scan.payloads.map(decodeEntry);
    const lastIndex = entries.reduce(
      (largest, entry) => Math.max(largest, entry.index),
      0,
    );
    this.#segments.push({ name, lastIndex, bytes: scan.wholeBytes });
    return Right(Right(entries));
  }

  async #writeEntries(entries: readonly LogEntry[]): Promise<Result<void>> {
    if (entries.length === 0) {
      return Right(undefined);
    }
    const segment = this.#segments.at(-1) ?? this.#startSegment();
    const records = entries.map((entry) =>
      encodeRecord(encodeEntry(entry), { syncedBytes: segment.bytes })
    );
    const bytes = Buffer.concat(records);
    const appended = await this.#storage.append(segment.name, bytes);
    if (appended.isLeft()) {
      return appended;
    }
    const synced = await this.#storage.sync(segment.name);
    segment.bytes += bytes.byteLength;
    for (const entry of entries) {
      segment.lastIndex = Math.max(segment.lastIndex, entry.index);
    }
    return synced;
  }

  #startSegment(): Segment {
    const name = this.#segmentName(this.#nextSegment);
    this.#nextSegment += 1;
    const segment = { name, lastIndex: 0, bytes: 0 };
    this.#segments.push(segment);
    return segment;
  }

  /**
   * A snapshot from the leader replaces the entries at once. One of this
   * member's own contains nothing that the entries don't, so no reply has to
   * wait for it.
   */
  async #storeSnapshot(effect: PersistEffect): Promise<Result<void>> {
    const snapshot = effect.snapshot!;
    const obsolete = this.#segments.filter((segment) =>
      effect.replacesEntries || segment.lastIndex <= snapshot.index
    );
    this.#segments = this.#segments.filter((item) => !obsolete.includes(item));
    this.#startSegment();
    const earlier = this.#snapshotWrites;
    this.#snapshotWrites = earlier.then((result) =>
      result.isLeft() ? result : this.#writeSnapshot(snapshot, obsolete)
    );
    if (effect.replacesEntries) {
      return await this.#snapshotWrites;
    }
    void this.#snapshotWrites.then((result) => {
      if (result.isLeft()) {
        this.#snapshotFailure = result;
      }
    });
    return Right(undefined);
  }

  async #writeSnapshot(
    snapshot: LogSnapshot,
    obsolete: readonly Segment[],
  ): Promise<Result<void>> {
    if (this.#isClosed) {
      return Right(undefined);
    }
    const written = await this.#storage.replace(
      this.#snapshotName,
      encodeSnapshot(snapshot),
    );
    return written.isLeft() ? written : await this.#removeSegments(obsolete);
  }

  async #removeSegments(segments: readonly Segment[]): Promise<Result<void>> {
    for (const segment of segments) {
      if (this.#isClosed) {
        break;
      }
      const removed = await this.#storage.remove(segment.name);
      if (removed.isLeft()) {
        return removed;
      }
    }
    return Right(undefined);
  }

  #writeHardState(hardState: HardState): Promise<Result<void>> {
    return this.#storage.replace(this.#stateName, encodeHardState(hardState));
  }
}
