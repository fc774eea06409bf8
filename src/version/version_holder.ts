/**
 * Counts the uses of each configuration version's resources: a change of
 * configuration swaps to a new version, and the resources of the old one are
 * closed after its last use.
 *
 * @module
 */

import type { ConfigurationVersion } from "./configuration_version.ts";

/** Resources that are opened for one version and closed after its last use. */
export interface VersionResources {
  close(): void;
}

/** One use of a version. `close` ends it and is idempotent. */
export interface VersionLease<Resources extends VersionResources> {
  readonly version: ConfigurationVersion;
  readonly resources: Resources;
  close(): void;
}

interface OpenVersion<Resources> {
  readonly version: ConfigurationVersion;
  readonly resources: Resources;
  useCount: number;
}

/** How to build a {@link VersionHolder}. */
export interface VersionHolderOptions<Resources extends VersionResources> {
  readonly initial: ConfigurationVersion;
  /** Opens the resources of a version. */
  readonly open: (version: ConfigurationVersion) => Resources;
}

/** The current version and the older ones that are still in use. */
export class VersionHolder<Resources extends VersionResources> {
  readonly #open: (version: ConfigurationVersion) => Resources;
  readonly #retired = new Set<OpenVersion<Resources>>();
  #current: OpenVersion<Resources>;
  #isClosed = false;

  constructor(options: VersionHolderOptions<Resources>) {
    this.#open = options.open;
    this.#current = this.#openVersion(options.initial);
  }

  /** The version that new uses get. */
  get current(): ConfigurationVersion {
    return this.#current.version;
  }

  /** Numbers of the versions whose resources are open, oldest first. */
  openVersions(): number[] {
    const open = [...this.#retired];
    if (!this.#isClosed) {
      open.push(this.#current);
    }
    return open.map((entry) => entry.version.version);
  }

  /** Takes a lease on the current version. */
  acquire(): VersionLease<Resources> {
    const entry = this.#current;
    entry.useCount++;
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

  /** Runs `work` with a lease on the current version, closed afterwards. */
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

  /** Makes a newer version current; ignores the same or an older one. */
  swap(version: ConfigurationVersion): void {
    if (this.#isClosed || version.version <= this.current.version) {
      return;
    }
    const next = this.#openVersion(version);
    const before = this.#current;
    this.#current = next;
    this.#retire(before);
  }

  /** Closes unused resources; those in use close after their last use. */
  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#retire(this.#current);
    }
  }

  #openVersion(version: ConfigurationVersion): OpenVersion<Resources> {
    return { version, resources: this.#open(version), useCount: 0 };
  }

  #retire(entry: OpenVersion<Resources>): void {
    if (entry.useCount === 0) {
      entry.resources.close();
    } else {
      this.#retired.add(entry);
    }
  }

  #release(entry: OpenVersion<Resources>): void {
    entry.useCount--;
    if (entry.useCount === 0 && this.#retired.delete(entry)) {
      entry.resources.close();
    }
  }
}
