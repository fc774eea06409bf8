/**
 * Keeps what belongs to a configuration version for as long as anything still
 * uses it: a change swaps the version whole, and what belongs to an old one
 * is closed after its last user.
 *
 * @module
 */

import type { ConfigurationVersion } from "./configuration_version.ts";

/** Something that belongs to one version. */
export interface VersionResources {
  close(): void;
}

/** One use of a version; `close` ends it and may be called twice. */
export interface VersionLease<Resources extends VersionResources> {
  readonly version: ConfigurationVersion;
  readonly resources: Resources;
  close(): void;
}

interface OpenVersion<Resources> {
  readonly version: ConfigurationVersion;
  readonly resources: Resources;
  users: number;
}

/** How to build a {@link VersionHolder}. */
export interface VersionHolderOptions<Resources extends VersionResources> {
  readonly initial: ConfigurationVersion;
  /** Makes what belongs to a version. */
  readonly open: (version: ConfigurationVersion) => Resources;
}

/** The current version and the older ones that are still used. */
export class VersionHolder<Resources extends VersionResources> {
  readonly #open: (version: ConfigurationVersion) => Resources;
  readonly #old = new Set<OpenVersion<Resources>>();
  #current: OpenVersion<Resources>;
  #isClosed = false;

  constructor(options: VersionHolderOptions<Resources>) {
    this.#open = options.open;
    this.#current = this.#openVersion(options.initial);
  }

  /** The version that new work is done under. */
  get current(): ConfigurationVersion {
    return this.#current.version;
  }

  /** The numbers of the versions that are still open, oldest first. */
  openVersions(): number[] {
    const open = [...this.#old];
    if (!this.#isClosed) {
      open.push(this.#current);
    }
    return open.map((entry) => entry.version.version);
  }

  /** Uses the current version until the lease is closed. */
  acquire(): VersionLease<Resources> {
    const entry = this.#current;
    entry.users++;
    let isOpen = true;
    return {
      version: entry.version,
      resources: entry.resources,
      close: () => {
        if (isOpen) {
          isOpen = false;
          this.#release(entry);
        }
      },
    };
  }

  /** Does `work` under the current version, held until the work is done. */
  async use<T>(
    work: (lease: VersionLease<Resources>) => Promise<T>,
  ): Promise<T> {
    const lease = this.acquire();
    try {
      return await work(lease);
    } finally {
      lease.close();
    }
  }

  /** Swaps to a newer version; an older one or the same has no effect. */
  swap(version: ConfigurationVersion): void {
    if (this.#isClosed || version.version <= this.current.version) {
      return;
    }
    const next = this.#openVersion(version);
    const before = this.#current;
    this.#current = next;
    this.#retire(before);
  }

  /** Closes what nobody uses; the rest closes after its last user. */
  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#retire(this.#current);
    }
  }

  #openVersion(version: ConfigurationVersion): OpenVersion<Resources> {
    return { version, resources: this.#open(version), users: 0 };
  }

  #retire(entry: OpenVersion<Resources>): void {
    if (entry.users === 0) {
      entry.resources.close();
    } else {
      this.#old.add(entry);
    }
  }

  #release(entry: OpenVersion<Resources>): void {
    entry.users--;
    if (entry.users === 0 && this.#old.delete(entry)) {
      entry.resources.close();
    }
  }
}
