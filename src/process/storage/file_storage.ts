/**
 * A data folder in the file system.
 *
 * @module
 */

import {
  type FileHandle,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
  statfs,
} from "node:fs/promises";
import { join } from "node:path";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";

const NAME_PATTERN = /^[A-Za-z0-9_][A-Za-z0-9._-]{0,199}$/;
const REPLACEMENT_SUFFIX = ".new";

/** Files in one folder; a failed call fails with `storageFailed`. */
export class FileStorage implements Storage {
  #folder: string;
  #handles = new Map<string, FileHandle>();
  #unsyncedNames = new Set<string>();
  /** Why files that may hold lost bytes refuse to be appended or synced. */
  #damagedFiles = new Map<string, string>();
  #isClosed = false;

  private constructor(folder: string) {
    this.#folder = folder;
  }

  /**
   * Opens a data folder, which is created if missing. Deletes incomplete
   * replacements that a crash has left behind.
   */
  static async open(
    options: { folder: string },
  ): Promise<Result<FileStorage>> {
    const storage = new FileStorage(options.folder);
    const opened = await storage.#attempt("open", async () => {
      await mkdir(options.folder, { recursive: true });
      await storage.#removeReplacements();
    });
    return opened.map(() => storage);
  }

  read(name: string): Promise<Result<Uint8Array | undefined>> {
    return this.#attempt(name, async () => {
      try {
        return await readFile(this.#path(name));
      } catch (error) {
        if (errorCode(error) === "ENOENT") {
          return undefined;
        }
        throw error;
      }
    });
  }

  list(): Promise<Result<readonly string[]>> {
    return this.#attempt("list", async () => {
      const names = await readdir(this.#folder);
      return names.filter((name) => !name.endsWith(REPLACEMENT_SUFFIX)).sort();
    });
  }

  append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    return this.#attemptOnFile(name, async () => {
      const handle = await this.#handle(name);
      await handle.appendFile(bytes);
    });
  }

  sync(name: string): Promise<Result<void>> {
    return this.#attemptOnFile(name, async () => {
      const handle = await this.#handle(name);
      await handle.sync();
      if (this.#unsyncedNames.has(name)) {
        await this.#syncFolder();
        this.#unsyncedNames.delete(name);
      }
    });
  }

  replace(name: string, bytes: Uint8Array): Promise<Result<void>> {
    return this.#attempt(name, async () => {
      await this.#closeHandle(name);
      const path = this.#path(name);
      const replacement = path + REPLACEMENT_SUFFIX;
      try {
        await writeAndSync(replacement, bytes);
        await rename(replacement, path);
      } catch (error) {
        // What was written of it would occupy space that the disk lacks.
        await removeIfPossible(replacement);
        throw error;
      }
      await this.#syncFolder();
      this.#damagedFiles.delete(name);
    });
  }

  remove(name: string): Promise<Result<void>> {
    return this.#attempt(name, async () => {
      await this.#closeHandle(name);
      await rm(this.#path(name), { force: true });
      await this.#syncFolder();
      this.#damagedFiles.delete(name);
    });
  }

  freeBytes(): Promise<Result<number>> {
    return this.#attempt("free space", async () => {
      const { bavail, bsize } = await statfs(this.#folder);
      return bavail * bsize;
    });
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    const handles = [...this.#handles.values()];
    this.#handles.clear();
    for (const handle of handles) {
      await handle.close();
    }
  }

  /** Fails, and goes on failing, once a write of the file has failed. */
  async #attemptOnFile(
    name: string,
    action: () => Promise<void>,
  ): Promise<Result<void>> {
    const damage = this.#damagedFiles.get(name);
    if (damage !== undefined) {
      return failure("storageFailed", { detail: damage });
    }
    const result = await this.#attempt(name, action);
    result.ifLeft((error) => this.#damagedFiles.set(name, error.message));
    return result;
  }

  async #attempt<T>(
    name: string,
    action: () => Promise<T>,
  ): Promise<Result<T>> {
    if (this.#isClosed) {
      return failure("storageFailed", { detail: "the storage is closed" });
    }
    try {
      return Right(await action());
    } catch (error) {
      return failure("storageFailed", { detail: `${name}: ${String(error)}` });
    }
  }

  #path(name: string): string {
    if (!NAME_PATTERN.test(name)) {
      throw new RangeError(`not a plain file name: ${name}`);
    }
    return join(this.#folder, name);
  }

  async #handle(name: string): Promise<FileHandle> {
    const known = this.#handles.get(name);
    if (known !== undefined) {
      return known;
    }
    const handle = await open(this.#path(name), "a");
    this.#handles.set(name, handle);
    this.#unsyncedNames.add(name);
    return handle;
  }

  async #closeHandle(name: string): Promise<void> {
    const handle = this.#handles.get(name);
    this.#handles.delete(name);
    await handle?.close();
  }

  async #syncFolder(): Promise<void> {
    const handle = await open(this.#folder, "r");
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  async #removeReplacements(): Promise<void> {
    for (const name of await readdir(this.#folder)) {
      if (name.endsWith(REPLACEMENT_SUFFIX)) {
        await removeIfPossible(join(this.#folder, name));
      }
    }
  }
}

/**
 * Removes what is left of a replacement. If that fails it stays: it is never
 * read, and the next replacement overwrites it or reports why it can't.
 */
async function removeIfPossible(path: string): Promise<void> {
  await rm(path, { force: true }).catch(() => undefined);
}

async function writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
  const handle = await open(path, "w");
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

function errorCode(error: unknown): unknown {
  return error instanceof Error && "code" in error ? error.code : undefined;
}
