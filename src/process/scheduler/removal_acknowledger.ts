/**
 * Acknowledges the removal of this data centre once its leading scheduler has
 * carried it out, so that operators need not wait for its start permission to
 * expire.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { DataCentreId } from "../../base/identity.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";

/** How often a pending removal is checked. */
const CHECK_PERIOD_MS = 100;

/** Options of {@link RemovalAcknowledger}. */
export interface RemovalAcknowledgerOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly configuration: ConfigurationSource;
  /** Whether the local scheduler leads and has no gang start in progress. */
  readonly hasSettled: () => boolean;
  /** Whether this instance's leader lease is valid now. */
  readonly isLeaseHeld: () => boolean;
  readonly acknowledge: (version: number) => void;
}

/** Acknowledges each removal of the data centre once. */
export class RemovalAcknowledger {
  #options: RemovalAcknowledgerOptions;
  #subscription: { unsubscribe(): void };
  #timer: Timer | undefined;
  #pendingVersion: number | undefined;
  #wasOut: boolean;

  constructor(options: RemovalAcknowledgerOptions) {
    this.#options = options;
    this.#wasOut = false;
    this.#subscription = options.configuration.versions.subscribe({
      next: (version) => this.#applyVersion(version),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#applyVersion(options.configuration.current());
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#clearPending();
  }

  #applyVersion({ document, version }: ConfigurationVersion): void {
    const section = document.dataCentres[this.#options.dataCentre];
    const isOut = section?.status === "out";
    if (isOut && !this.#wasOut) {
      this.#pendingVersion = version;
      this.#timer ??= this.#options.clock.every(
        CHECK_PERIOD_MS,
        () => this.#checkPending(),
      );
    }
    if (!isOut) {
      this.#clearPending();
    }
    this.#wasOut = isOut;
  }

  #checkPending(): void {
    const { hasSettled, isLeaseHeld, acknowledge } = this.#options;
    const version = this.#pendingVersion;
    if (version !== undefined && hasSettled() && isLeaseHeld()) {
      acknowledge(version);
      this.#clearPending();
    }
  }

  #clearPending(): void {
    this.#pendingVersion = undefined;
    this.#timer?.close();
    this.#timer = undefined;
  }
}
