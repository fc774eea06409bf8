/**
 * An in-memory disk with simulated failures, for tests and benchmarks.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { RandomSource } from "../../base/random_source.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";

interface FakeFile {
  /** The content that survives a crash; undefined until the first sync. */
  durable: Uint8Array | undefined;
  written: Uint8Array;
}

/** Which failures the fake disk simulates; may be changed at any time. */
export interface FakeStorageFaults {
  /** Writes fail with `ENOSPC`; of an append, half is written. */
  isFull: boolean;
  /** Syncs fail with `EIO`; a crash may still lose the unsynced bytes. */
  syncFails: boolean;
  /** Syncs report success without making anything durable. */
  syncLies: boolean;
  /** File syncs don't complete until {@link FakeStorage.endHang}. */
  syncHangs: boolean;
  /** Removals fail with `EIO`. */
  removeFails: boolean;
}

/** A folder in memory; it survives simulated restarts of its users. */
export class FakeStorage implements Storage {
  readonly faults: FakeStorageFaults = {
    isFull: false,
    syncFails: false,
    syncLies: false,
    syncHangs: false,
    removeFails: false,
  };
  #files = new Map<string, FakeFile>();
  #hanging: (() => void)[] = [];
  #damagedFiles = new Set<string>();
  /** What {@link FakeStorage.freeBytes} returns. */
  spaceBytes = 1e9;
  /** The number of successful syncs and replacements. */
  syncs = 0;

  read(name: string): Promise<Result<Uint8Array | undefined>> {
    const file = this.#files.get(name);
    return resolved(Right(file?.written.slice()));
  }

  list(): Promise<Result<readonly string[]>> {
    return resolved(Right([...this.#files.keys()].sort()));
  }

  append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    if (this.#damagedFiles.has(name)) {
      return resolved(damaged(name));
    }
    const file = this.#file(name);
    if (this.faults.isFull) {
      const half = bytes.slice(0, bytes.byteLength / 2);
      file.written = concatenate(file.written, half);
      this.#damagedFiles.add(name);
      return resolved(diskFull(name));
    }
    file.written = concatenate(file.written, bytes);
    return resolved(Right(undefined));
  }

  async sync(name: string): Promise<Result<void>> {
    if (this.#damagedFiles.has(name)) {
      return damaged(name);
    }
    if (this.faults.syncHangs) {
      await new Promise<void>((resume) => this.#hanging.push(resume));
    }
    if (this.faults.syncFails) {
      this.#damagedFiles.add(name);
      return failure("storageFailed", { detail: `${name}: EIO` });
    }
    const file = this.#file(name);
    if (!this.faults.syncLies) {
      file.durable = file.written;
    }
    this.syncs += 1;
    return Right(undefined);
  }

  replace(name: string, bytes: Uint8Array): Promise<Result<void>> {
    if (this.faults.isFull) {
      return resolved(diskFull(name));
    }
    if (this.faults.syncFails) {
      return resolved(failure("storageFailed", { detail: `${name}: EIO` }));
    }
    const content = bytes.slice();
    const durable = this.faults.syncLies
      ? this.#files.get(name)?.durable
      : content;
    this.#files.set(name, { durable, written: content });
    this.#damagedFiles.delete(name);
    this.syncs += 1;
    return resolved(Right(undefined));
  }

  remove(name: string): Promise<Result<void>> {
    if (this.faults.removeFails) {
      return resolved(failure("storageFailed", { detail: `${name}: EIO` }));
    }
    this.#files.delete(name);
    this.#damagedFiles.delete(name);
    return resolved(Right(undefined));
  }

  freeBytes(): Promise<Result<number>> {
    return resolved(Right(this.faults.isFull ? 0 : this.spaceBytes));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Lets hanging syncs continue, and later ones complete at once. */
  endHang(): void {
    this.faults.syncHangs = false;
    for (const resume of this.#hanging.splice(0)) {
      resume();
    }
  }

  /**
   * Simulates a machine crash. Of the unsynced bytes of each file, a prefix of
   * random length survives, in which a range may be zeroed. A file that was
   * never synced may disappear.
   */
  crash(random: RandomSource): void {
    this.#damagedFiles.clear();
    for (const [name, file] of this.#files) {
      if (file.durable === undefined && random.nextInt(2) === 0) {
        this.#files.delete(name);
        continue;
      }
      const kept = contentAfterCrash(file, random);
      file.written = kept;
      file.durable = kept;
    }
  }

  /** Flips bits of one byte; a negative offset counts from the end. */
  corrupt(name: string, offset: number): void {
    const file = this.#file(name);
    const damaged = file.written.slice();
    const at = offset < 0 ? damaged.byteLength + offset : offset;
    damaged[at] = (damaged[at] ?? 0) ^ 0x5a;
    file.written = damaged;
    file.durable = damaged;
  }

  /** Removes all files, as if the disk had been replaced by an empty one. */
  wipe(): void {
    this.#files.clear();
  }

  sizeBytes(name: string): number {
    return this.#files.get(name)?.written.byteLength ?? 0;
  }

  #file(name: string): FakeFile {
    const known = this.#files.get(name);
    if (known !== undefined) {
      return known;
    }
    const file = { durable: undefined, written: new Uint8Array() };
    this.#files.set(name, file);
    return file;
  }
}

function contentAfterCrash(file: FakeFile, random: RandomSource): Uint8Array {
  const durable = file.durable ?? new Uint8Array();
  const unsynced = file.written.byteLength - durable.byteLength;
  if (unsynced <= 0) {
    return durable;
  }
  const length = durable.byteLength + random.nextInt(unsynced + 1);
  const kept = file.written.slice(0, length);
  if (random.nextInt(2) === 0 && length > durable.byteLength) {
    const hole = durable.byteLength +
      random.nextInt(length - durable.byteLength);
    kept.fill(0, hole, Math.min(length, hole + 16));
  }
  return kept;
}

function concatenate(left: Uint8Array, right: Uint8Array): Uint8Array {
  const joined = new Uint8Array(left.byteLength + right.byteLength);
  joined.set(left, 0);
  joined.set(right, left.byteLength);
  return joined;
}

function damaged(name: string): Result<never> {
  return failure("storageFailed", {
    detail: `${name}: an earlier write failed`,
  });
}

function diskFull(name: string): Result<never> {
  return failure("storageFailed", { detail: `${name}: ENOSPC` });
}

function resolved<T>(value: T): Promise<T> {
  return Promise.resolve(value);
}
