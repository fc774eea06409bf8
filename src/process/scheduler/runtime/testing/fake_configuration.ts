/**
 * Configuration copies that tests control.
 *
 * @module
 */

import { Channel } from "../../../../base/channel.ts";
import type { Clock } from "../../../../base/clock.ts";
import type { ConfigurationVersion } from "../../../../version/configuration_version.ts";
import {
  type Document,
  documentSchema,
} from "../../../../version/document/document.ts";
import type { ConfigurationSource } from "../../../configuration/configuration_source.ts";

/** The accepted configuration version and the instances' copies of it. */
export class FakeConfiguration {
  readonly #clock: Clock;
  readonly #copies = new Set<FakeConfigurationCopy>();
  accepted: ConfigurationVersion;

  constructor(options: { clock: Clock; document: Document }) {
    this.#clock = options.clock;
    this.accepted = {
      version: 1,
      document: options.document,
      acceptedAtMs: options.clock.nowMs(),
    };
  }

  copy(): FakeConfigurationCopy {
    const copy = new FakeConfigurationCopy({ clock: this.#clock, from: this });
    this.#copies.add(copy);
    return copy;
  }

  /** Accepts a change of one data centre's status. */
  setStatus(dataCentre: string, status: "in" | "out"): void {
    const { version, document } = this.accepted;
    const section = document.dataCentres[dataCentre];
    if (section === undefined) {
      return;
    }
    this.accepted = {
      version: version + 1,
      document: {
        ...document,
        dataCentres: {
          ...document.dataCentres,
          [dataCentre]: { ...section, status },
        },
      },
      acceptedAtMs: this.#clock.nowMs(),
    };
    this.#copies.forEach((copy) => copy.refreshSoon());
  }
}

/** One instance's copy; kept current except while it is cut off. */
export class FakeConfigurationCopy implements ConfigurationSource {
  readonly #clock: Clock;
  readonly #from: FakeConfiguration;
  readonly #versions = new Channel<ConfigurationVersion>();
  #current: ConfigurationVersion;
  #currentAtMs: number;
  #isCut = false;

  constructor(options: { clock: Clock; from: FakeConfiguration }) {
    this.#clock = options.clock;
    this.#from = options.from;
    this.#current = options.from.accepted;
    this.#currentAtMs = options.clock.nowMs();
  }

  get versions(): Channel<ConfigurationVersion>["stream"] {
    return this.#versions.stream;
  }

  current(): ConfigurationVersion {
    return this.#current;
  }

  currentAtMs(): number {
    const isNewest = this.#current === this.#from.accepted;
    if (!this.#isCut && isNewest) {
      this.#currentAtMs = this.#clock.nowMs();
    }
    return this.#currentAtMs;
  }

  cut(): void {
    this.currentAtMs();
    this.#isCut = true;
  }

  heal(): void {
    this.#isCut = false;
    this.refreshSoon();
  }

  refreshSoon(): void {
    this.#clock.after(100, () => {
      const { accepted } = this.#from;
      if (!this.#isCut && this.#current !== accepted) {
        this.#current = accepted;
        this.#versions.push(accepted);
      }
    });
  }
}

/** A document in which each data centre has two racks and is in. */
export function testDocument(dataCentres: readonly string[]): Document {
  const rack = {
    workers: 8,
    coresPerWorker: 32,
    memoryBytesPerWorker: 64_000_000_000,
    acceleratorsPerWorker: 8,
  };
  const section = {
    owner: "operators",
    region: "north",
    racks: [{ name: "r1", ...rack }, { name: "r2", ...rack }],
  };
  return documentSchema.parse({
    formatVersion: 1,
    clientAccounts: { lab: { owner: "lab" } },
    jobClasses: { batch: { owner: "lab", rank: 5 } },
    dataCentres: Object.fromEntries(dataCentres.map((id) => [id, section])),
  });
}
