/**
 * A member's log, snapshot and hard state in files.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";
import { encodeRecord } from "../storage/record_codec.ts";
import {
  acknowledgedAfter,
  acknowledgedByLoading,
  type AcknowledgedLog,
  findMissingState,
  NOTHING_ACKNOWLEDGED,
} from "./acknowledged_log.ts";
import { type DiskFault, DiskWrite, handleDiskWrite } from "./disk_fault.ts";
import type { HardState, LogEntry, LogSnapshot } from "./log_entry.ts";
import {
  decodeSegment,
  largestIndex,
  type LogSegment,
  type SegmentContent,
} from "./log_segment.ts";
import type { PersistEffect } from "./raft_effect.ts";
import { SnapshotWriter } from "./snapshot_writer.ts";
import {
  encodeEntry,
  encodeHardState,
  type LoadedLog,
  parseLog,
} from "./stored_log.ts";

/** Options of {@link LogStore}. */
export interface LogStoreOptions {
  readonly storage: Storage;
  readonly groupId: string;
  /** Called with every failed write. */
  readonly onFault?: (fault: DiskFault) => void;
}

/** The intact segments, oldest first, or what is damaged. */
type Segments = Result<readonly SegmentContent[]>;

/** The files of one group's member in the data folder. */
export class LogStore {
  #storage: Storage;
  #prefix: string;
  #onFault: (fault: DiskFault) => void;
  #snapshots: SnapshotWriter;
  #segments: LogSegment[] = [];
  #nextSegment = 1;
  #acknowledged: AcknowledgedLog = NOTHING_ACKNOWLEDGED;

  constructor(options: LogStoreOptions) {
    this.#storage = options.storage;
    this.#prefix = options.groupId.replaceAll(":", "_");
    this.#onFault = options.onFault ?? (() => undefined);
    this.#snapshots = new SnapshotWriter({
      storage: options.storage,
      name: this.#snapshotName,
      onFault: this.#onFault,
    });
  }

  /**
   * Reads all files, at the start or after a failed write. A log without damage
   * is made durable as it was read, since it may hold writes that no sync
   * covers: of a process that was killed, or of a sync that failed. A log that
   * lacks what this store has acknowledged is corrupt.
   */
  async load(): Promise<Result<LoadedLog>> {
    await this.#snapshots.reset();
    this.#segments = [];
    const state = await this.#storage.read(this.#stateName);
    const snapshot = await this.#storage.read(this.#snapshotName);
    const read = await this.#readSegments();
    if (state.isLeft() || snapshot.isLeft() || read.isLeft()) {
      return state.chain(() => snapshot).chain(() => read).map(() => ({
        kind: "empty" as const,
      }));
    }
    const stateBytes = state.extract() as Uint8Array | undefined;
    if (stateBytes === undefined) {
      return Right({ kind: "empty" });
    }
    const segments = read.extract() as Segments;
    const loaded = parseLog({
      state: stateBytes,
      snapshot: snapshot.extract() as Uint8Array | undefined,
      entries: segments.map((contents) =>
        contents.flatMap(({ entries }) => entries)
      ),
    });
    return loaded.kind === "whole"
      ? await this.#acceptLoaded(loaded, segments.orDefault([]))
      : Right(loaded);
  }

  /**
   * Makes the effects durable, in order, with as few syncs as possible. After a
   * failure the log must be loaded before anything else is persisted.
   */
  async persist(effects: readonly PersistEffect[]): Promise<Result<void>> {
    let entries: LogEntry[] = [];
    for (const effect of effects) {
      if (effect.snapshot !== undefined || effect.hardState !== undefined) {
        const written = await this.#writeInOrder(entries, effect);
        if (written.isLeft()) {
          return written;
        }
        entries = [];
      }
      entries = entries.concat(effect.entries);
    }
    const written = await this.#writeEntries(entries);
    return written.ifRight(() => {
      this.#acknowledged = acknowledgedAfter(this.#acknowledged, effects);
    });
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
    this.#acknowledged = NOTHING_ACKNOWLEDGED;
    return Right(undefined);
  }

  /** Starts no more background writes, and waits for those in progress. */
  async close(): Promise<void> {
    await this.#snapshots.close();
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
   * Reads all segments. The outer result tells whether they could be read, the
   * inner one whether they are intact.
   */
  async #readSegments(): Promise<Result<Segments>> {
    const names = await this.#storage.list();
    if (names.isLeft()) {
      return names.map(() => Right([]));
    }
    const own = (names.extract() as readonly string[]).filter((name) =>
      name.startsWith(`${this.#prefix}.log.`)
    );
    const contents: SegmentContent[] = [];
    for (const [at, name] of own.entries()) {
      const read = await this.#storage.read(name);
      if (read.isLeft()) {
        return read.map(() => Right([]));
      }
      const bytes = read.extract() as Uint8Array | undefined;
      const decoded = decodeSegment(name, bytes ?? new Uint8Array(), {
        isNewest: at === own.length - 1,
      });
      if (decoded.isLeft()) {
        return Right(decoded.map(() => []));
      }
      contents.push(decoded.extract() as SegmentContent);
    }
    return Right(Right(contents));
  }

  async #acceptLoaded(
    loaded: Extract<LoadedLog, { kind: "whole" }>,
    contents: readonly SegmentContent[],
  ): Promise<Result<LoadedLog>> {
    const missing = findMissingState(loaded.log, this.#acknowledged);
    if (missing !== undefined) {
      return Right({ kind: "corrupt", detail: missing });
    }
    for (const { name, bytes, lastIndex } of contents) {
      this.#segments.push({ name, lastIndex, bytes: bytes.byteLength });
      this.#nextSegment = Number(name.slice(-8)) + 1;
    }
    const rewritten = await this.#rewrite(
      loaded.log.hardState,
      contents.at(-1),
    );
    return rewritten.map(() => {
      this.#acknowledged = acknowledgedByLoading(loaded.log);
      return loaded;
    });
  }

  /**
   * Writes the files anew whose last writes may not be durable. The state file
   * comes first: with it, an earlier replacement of the snapshot gets durable.
   */
  async #rewrite(
    hardState: HardState,
    newest: SegmentContent | undefined,
  ): Promise<Result<void>> {
    const state = await this.#storage.replace(
      this.#stateName,
      encodeHardState(hardState),
    );
    const written = state.isLeft() || newest === undefined
      ? state
      : await this.#storage.replace(newest.name, newest.bytes);
    return handleDiskWrite(DiskWrite.opening, written, this.#onFault);
  }

  /** Writes the entries, then the effect's snapshot and hard state. */
  async #writeInOrder(
    entries: readonly LogEntry[],
    effect: PersistEffect,
  ): Promise<Result<void>> {
    const { snapshot, hardState, replacesEntries } = effect;
    let result = await this.#writeEntries(entries);
    if (result.isRight() && snapshot !== undefined) {
      result = await this.#storeSnapshot(snapshot, { replacesEntries });
    }
    return result.isRight() && hardState !== undefined
      ? await this.#writeHardState(hardState)
      : result;
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
    const synced = appended.isLeft()
      ? appended
      : await this.#storage.sync(segment.name);
    if (synced.isRight()) {
      segment.bytes += bytes.byteLength;
      segment.lastIndex = largestIndex(entries, segment.lastIndex);
    }
    return handleDiskWrite(DiskWrite.entries, synced, this.#onFault);
  }

  #startSegment(): LogSegment {
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
  async #storeSnapshot(
    snapshot: LogSnapshot,
    options: { replacesEntries: boolean },
  ): Promise<Result<void>> {
    const { replacesEntries } = options;
    const isCovered = ({ lastIndex }: LogSegment) =>
      replacesEntries || lastIndex <= snapshot.index;
    const covered = this.#segments.filter(isCovered);
    this.#segments = this.#segments.filter((segment) => !isCovered(segment));
    this.#startSegment();
    const written = this.#snapshots.write(snapshot, {
      segments: covered.map(({ name }) => name),
      isOwn: !replacesEntries,
    });
    return replacesEntries ? await written : Right(undefined);
  }

  async #writeHardState(hardState: HardState): Promise<Result<void>> {
    const written = await this.#storage.replace(
      this.#stateName,
      encodeHardState(hardState),
    );
    return handleDiskWrite(DiskWrite.hardState, written, this.#onFault);
  }
}
