/**
 * Looks for changed seeds in the settings while an instance knows no leader: the
 * settings may change without a signal, and all seeds that it knows may be gone.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { Result } from "../../base/sesame_error.ts";

const CHECK_PERIOD_MS = 2_000;

/** Options of {@link SeedWatch}. */
export interface SeedWatchOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  /** The seeds that are in use. */
  readonly seedIds: readonly InstanceId[];
  readonly isLeaderKnown: () => boolean;
  /** Reads the seeds from the settings. */
  readonly readSeedIds: () => Result<readonly InstanceId[]>;
  /** Called with seeds that differ from those in use. */
  readonly onChange: (seedIds: readonly InstanceId[]) => void;
}

/** Reads the seeds again while no leader is known. */
export class SeedWatch {
  readonly #options: SeedWatchOptions;
  readonly #timer: Timer;
  #seedIds: readonly InstanceId[];
  /** The last fault that was logged: a file stays invalid for a while. */
  #lastFault: string | undefined;

  constructor(options: SeedWatchOptions) {
    this.#options = options;
    this.#seedIds = options.seedIds;
    this.#timer = options.clock.every(CHECK_PERIOD_MS, () => this.#check());
  }

  close(): void {
    this.#timer.close();
  }

  /** Uses these seeds from now on, as after a reload of all settings. */
  setSeeds(seedIds: readonly InstanceId[]): void {
    this.#seedIds = seedIds;
    this.#options.onChange(seedIds);
  }

  #check(): void {
    const { isLeaderKnown, readSeedIds, events } = this.#options;
    if (isLeaderKnown()) {
      return;
    }
    readSeedIds().caseOf({
      Left: (error) => {
        if (error.message !== this.#lastFault) {
          this.#lastFault = error.message;
          events.emit("settingsReloaded", {
            detail: `kept the seeds in use: ${error.message}`,
          });
        }
      },
      Right: (seedIds) => {
        if (seedIds.join() !== this.#seedIds.join()) {
          events.emit("settingsReloaded", {
            detail: `no leader is known, seeds ${seedIds.join(" ")}`,
          });
          this.setSeeds(seedIds);
        }
      },
    });
  }
}
