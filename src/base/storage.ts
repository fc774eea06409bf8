/**
 * The interface to the disk: a flat folder of files with explicit syncs.
 * Appended bytes may be lost in a crash until a sync of the file has returned.
 *
 * After a failed append or sync nothing is known about the bytes since the
 * file's last sync. Every later append and sync of that file fails until it is
 * replaced or removed. Other files aren't affected.
 *
 * @module
 */

import type { Result } from "./sesame_error.ts";

/** One data folder. File names contain no path separators. */
export interface Storage {
  /** The complete content, or undefined if the file does not exist. */
  read(name: string): Promise<Result<Uint8Array | undefined>>;
  /** The names of all files, sorted. */
  list(): Promise<Result<readonly string[]>>;
  /** Appends bytes to the file, which is created if missing. */
  append(name: string, bytes: Uint8Array): Promise<Result<void>>;
  /** Makes the file's appended bytes and its directory entry durable. */
  sync(name: string): Promise<Result<void>>;
  /**
   * Replaces the file atomically and durably, and with it makes all earlier
   * replacements and removals durable. If it fails, the file is either the old
   * or the new one.
   */
  replace(name: string, bytes: Uint8Array): Promise<Result<void>>;
  /** Removes the file durably; a missing file is not an error. */
  remove(name: string): Promise<Result<void>>;
  /** The bytes that can still be written. */
  freeBytes(): Promise<Result<number>>;
  close(): Promise<void>;
}
