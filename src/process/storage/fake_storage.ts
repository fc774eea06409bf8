/**
 * A disk in memory that fails as disks do, for tests and benches.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { RandomSource } from "../../base/random_source.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";

interface FakeFile {
  /** What survives a crash; undefined while its name was never synced. */
  durable: Uint8Array | undefined;
  written: Uint8Array;
}

/** How the fake disk fails from now on. */
export interface FakeStorageFaults {
  /** No byte more can be written. */
  isFull: boolean;
  /** Syncs fail, and what they were for may be lost. */
  syncFails: boolean;
  /** Syncs report success and do nothing. */
  syncLies: boolean;
  /** Syncs of files don't end before {@link FakeStorage.endHang}. */
  syncHangs: boolean;
}

/** A folder of files that outlives the members that use it. */
export class FakeStorage implements Storage {
  readonly faults: FakeStorageFaults = {
    isFull: false,
    syncFails: false,
    syncLies: false,
    syncHangs: false,
  };
  #files = new Map<string, FakeFile>();
  #hanging: (() => void)[] = [];
  /** How many syncs succeeded, of files or replacements. */
  syncs = 0;

  read(name: string): Promise<Result<Uint8Array | undefined>> {
    const file = this.#files.get(name);
    return settled(Right(file?.written.slice()));
  }

  list(): Promise<Result<readonly string[]>> {
    return settled(Right([...this.#files.keys()].sort()));
  }

  append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    if (this.faults.isFull) {
      return settled(diskFull(name));
    }
    const file = this.#file(name);
    file.written = joined(file.written, bytes);
    return settled(Right(undefined));
  }

  async sync(name: string): Promise<Result<void>> {
    if (this.faults.syncHangs) {
      await new Promise<void>((resume) => this.#hanging.push(resume));
    }
    if (this.faults.syncFails) {
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
      return settled(diskFull(name));
    }
    if (this.faults.syncFails) {
      return settled(failure("storageFailed", { detail: `${name}: EIO` }));
    }
    const content = bytes.slice();
    const durable = this.faults.syncLies
      ? this.#files.get(name)?.durable
      : content;
    this.#files.set(name, { durable, written: content });
    this.syncs += 1;
    return settled(Right(undefined));
  }

  truncate(name: string, lengthBytes: number): Promise<Result<void>> {
    const file = this.#file(name);
    file.written = file.written.slice(0, lengthBytes);
    return this.sync(name);
  }

  remove(name: string): Promise<Result<void>> {
    this.#files.delete(name);
    return settled(Right(undefined));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Syncs go on, those that hang first. */
  endHang(): void {
    this.faults.syncHangs = false;
    for (const resume of this.#hanging.splice(0)) {
      resume();
    }
  }

  /**
   * The machine goes down: of what was not synced, a part of random length
   * stays, and pieces of that may never have been written.
   */
  crash(random: RandomSource): void {
    for (const [name, file] of this.#files) {
      if (file.durable === undefined && random.nextInt(2) === 0) {
        this.#files.delete(name);
        continue;
      }
      const kept = tornTail(file, random);
      file.written = kept;
      file.durable = kept;
    }
  }

  /** Turns over bits of one byte; an offset below zero counts from the end. */
  corrupt(name: string, offset: number): void {
    const file = this.#file(name);
    const damaged = file.written.slice();
    const at = offset < 0 ? damaged.byteLength + offset : offset;
    damaged[at] = (damaged[at] ?? 0) ^ 0x5a;
    file.written = damaged;
    file.durable = damaged;
  }

  /** A new disk in place of this one. */
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

function tornTail(file: FakeFile, random: RandomSource): Uint8Array {
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

function joined(left: Uint8Array, right: Uint8Array): Uint8Array {
  const whole = new Uint8Array(left.byteLength + right.byteLength);
  whole.set(left, 0);
  whole.set(right, left.byteLength);
  return whole;
}

function diskFull(name: string): Result<never> {
  return failure("storageFailed", { detail: `${name}: ENOSPC` });
}

function settled<T>(value: T): Promise<T> {
  return Promise.resolve(value);
}
