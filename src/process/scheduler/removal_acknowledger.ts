/**
 * Tells the configuration when this data centre's leading scheduler has
 * carried out a removal, so that operators needn't wait for its start
 * permission to lapse.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { DataCentreId } from "../../base/identity.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";

/** How often a removal that isn't carried out yet is looked at. */
const LOOK_PERIOD_MS = 100;

/** How a {@link RemovalAcknowledger} is made. */
export interface RemovalAcknowledgerOptions {
  readonly clock: Clock;
  readonly dataCentre: DataCentreId;
  readonly configuration: ConfigurationSource;
  /** Whether the scheduler here leads and has no earlier start under way. */
  readonly hasSettled: () => boolean;
  /** Whether its leadership holds at this moment. */
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
      next: (version) => this.#follow(version),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#follow(options.configuration.current());
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#settle();
  }

  #follow({ document, version }: ConfigurationVersion): void {
    const section = document.dataCentres[this.#options.dataCentre];
    const isOut = section?.status === "out";
    if (isOut && !this.#wasOut) {
      this.#pendingVersion = version;
      this.#timer ??= this.#options.clock.every(
        LOOK_PERIOD_MS,
        () => this.#look(),
      );
    }
    if (!isOut) {
      this.#settle();
    }
    this.#wasOut = isOut;
  }

  #look(): void {
    const { hasSettled, isLeaseHeld, acknowledge } = this.#options;
    const version = this.#pendingVersion;
    if (version !== undefined && hasSettled() && isLeaseHeld()) {
      acknowledge(version);
      this.#settle();
    }
  }

  #settle(): void {
    this.#pendingVersion = undefined;
    this.#timer?.close();
    this.#timer = undefined;
  }
}
