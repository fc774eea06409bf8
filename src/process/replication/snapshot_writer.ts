/**
 * Writes a member's snapshots, one after another, and removes the segments of
 * the log that they cover.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";
import {
  type DiskFault,
  DiskWrite,
  handleDiskWrite,
  isSnapshotAffordable,
} from "./disk_fault.ts";
import type { LogSnapshot } from "./log_entry.ts";
import { encodeSnapshot } from "./stored_log.ts";

/** Options of {@link SnapshotWriter}. */
export interface SnapshotWriterOptions {
  readonly storage: Storage;
  /** The name of the snapshot's file. */
  readonly name: string;
  readonly onFault: (fault: DiskFault) => void;
}

/** What a snapshot replaces. */
export interface SnapshotCoverage {
  /** The names of the segments that it covers. */
  readonly segments: readonly string[];
  /** Whether this member made it, of entries that are on its disk. */
  readonly isOwn: boolean;
}

/** Writes snapshots and removes what they cover. */
export class SnapshotWriter {
  #options: SnapshotWriterOptions;
  #writes: Promise<Result<void>> = Promise.resolve(Right(undefined));
  /** Segments that only snapshots cover whose write failed. */
  #uncovered: string[] = [];
  /** Segments to remove. */
  #obsolete: string[] = [];
  #isClosed = false;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a snapshot after those before it. Fails only if the log on disk
   * isn't complete without it.
   */
  write(
    snapshot: LogSnapshot,
    coverage: SnapshotCoverage,
  ): Promise<Result<void>> {
    this.#writes = this.#writes.then(() => this.#writeNext(snapshot, coverage));
    return this.#writes;
  }

  /** Waits for the writes in progress, then forgets which segments there are. */
  async reset(): Promise<void> {
    await this.#writes;
    this.#uncovered = [];
    this.#obsolete = [];
  }

  /** Starts no more writes, and waits for those in progress. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#writes;
  }

  async #writeNext(
    snapshot: LogSnapshot,
    coverage: SnapshotCoverage,
  ): Promise<Result<void>> {
    if (this.#isClosed) {
      return Right(undefined);
    }
    const { storage, name, onFault } = this.#options;
    // Obsolete segments go first: the snapshot may need their space.
    await this.#removeObsolete();
    const bytes = encodeSnapshot(snapshot);
    const space = coverage.isOwn
      ? await this.#checkSpace(bytes.byteLength)
      : Right(undefined);
    const written = space.isLeft() ? space : await storage.replace(name, bytes);
    if (written.isRight()) {
      this.#obsolete.push(...this.#uncovered.splice(0), ...coverage.segments);
      await this.#removeObsolete();
    } else {
      this.#uncovered.push(...coverage.segments);
    }
    const write = coverage.isOwn
      ? DiskWrite.ownSnapshot
      : DiskWrite.leaderSnapshot;
    return handleDiskWrite(write, written, onFault);
  }

  async #checkSpace(snapshotBytes: number): Promise<Result<void>> {
    const free = await this.#options.storage.freeBytes();
    return free.caseOf<Result<void>>({
      Left: ({ message }) => {
        // Without a figure, the write itself shows whether there is room.
        this.#options.onFault({
          write: DiskWrite.ownSnapshot,
          detail: message,
        });
        return Right(undefined);
      },
      Right: (freeBytes) =>
        isSnapshotAffordable({ snapshotBytes, freeBytes })
          ? Right(undefined)
          : failure("storageFailed", {
            detail: `${snapshotBytes} bytes of ${freeBytes} free ones`,
          }),
    });
  }

  async #removeObsolete(): Promise<void> {
    const { storage, onFault } = this.#options;
    while (this.#obsolete.length > 0 && !this.#isClosed) {
      const removed = await storage.remove(this.#obsolete[0]!);
      handleDiskWrite(DiskWrite.removal, removed, onFault);
      if (removed.isLeft()) {
        return;
      }
      this.#obsolete.shift();
    }
  }
}
