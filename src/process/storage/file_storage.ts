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
} from "node:fs/promises";
import { join } from "node:path";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";

const NAME_PATTERN = /^[A-Za-z0-9_][A-Za-z0-9._-]{0,199}$/;
const REPLACEMENT_SUFFIX = ".new";

/**
 * Files in one folder. Because the state of the disk is unknown after a failed
 * operation, every later call fails with `storageFailed`.
 */
export class FileStorage implements Storage {
  #folder: string;
  #handles = new Map<string, FileHandle>();
  #unsyncedNames = new Set<string>();
  #failure: string | undefined;

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
    return this.#attempt(name, async () => {
      const handle = await this.#handle(name);
      await handle.appendFile(bytes);
    });
  }

  sync(name: string): Promise<Result<void>> {
    return this.#attempt(name, async () => {
      const handle = await this.#handle(name);
      await handle.sync();
      if (this.#unsyncedNames.delete(name)) {
        await this.#syncFolder();
      }
    });
  }

  replace(name: string, bytes: Uint8Array): Promise<Result<void>> {
    return this.#attempt(name, async () => {
      await this.#closeHandle(name);
      const path = this.#path(name);
      const replacement = path + REPLACEMENT_SUFFIX;
      const handle = await open(replacement, "w");
      try {
        await handle.writeFile(bytes);
        await handle.sync();
      } finally {
        await handle.close();
      }
      await rename(replacement, path);
      await this.#syncFolder();
    });
  }

  truncate(name: string, lengthBytes: number): Promise<Result<void>> {
    return this.#attempt(name, async () => {
      const handle = await this.#handle(name);
      await handle.truncate(lengthBytes);
      await handle.sync();
    });
  }

  remove(name: string): Promise<Result<void>> {
    return this.#attempt(name, async () => {
      await this.#closeHandle(name);
      await rm(this.#path(name), { force: true });
      await this.#syncFolder();
    });
  }

  async close(): Promise<void> {
    this.#failure ??= "the storage is closed";
    for (const handle of this.#handles.values()) {
      await handle.close();
    }
    this.#handles.clear();
  }

  async #attempt<T>(
    name: string,
    action: () => Promise<T>,
  ): Promise<Result<T>> {
    if (this.#failure !== undefined) {
      return failure("storageFailed", { detail: this.#failure });
    }
    try {
      return Right(await action());
    } catch (error) {
      const detail = `${name}: ${String(error)}`;
      this.#failure = detail;
      return failure("storageFailed", { detail });
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
        await rm(join(this.#folder, name), { force: true });
      }
    }
  }
}

function errorCode(error: unknown): unknown {
  return error instanceof Error && "code" in error ? error.code : undefined;
}
