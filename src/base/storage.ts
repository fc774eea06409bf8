/**
 * The disk as the code sees it: a flat folder of files with explicit syncs.
 * What was written is lost by a crash until a sync of it has returned.
 *
 * @module
 */

import type { Result } from "./sesame_error.ts";

/** One data folder. Names are plain file names, with no separators. */
export interface Storage {
  /** The whole content, or undefined when there is no such file. */
  read(name: string): Promise<Result<Uint8Array | undefined>>;
  /** The names of all files, sorted. */
  list(): Promise<Result<readonly string[]>>;
  /** Adds bytes at the end of the file, which is created if missing. */
  append(name: string, bytes: Uint8Array): Promise<Result<void>>;
  /** Makes durable all that was appended to the file, and its name. */
  sync(name: string): Promise<Result<void>>;
  /** Replaces the whole file at once and durably: old or new, never a mix. */
  replace(name: string, bytes: Uint8Array): Promise<Result<void>>;
  /** Cuts the file to its first `lengthBytes` bytes, durably. */
  truncate(name: string, lengthBytes: number): Promise<Result<void>>;
  /** Removes the file, durably; a missing file is no error. */
  remove(name: string): Promise<Result<void>>;
  close(): Promise<void>;
}
