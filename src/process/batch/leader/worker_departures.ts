/**
 * Workers that have reported that they leave. Each keeps running until it is
 * acknowledged, so its runs are stopped first: their reported ends prove that
 * they are over and hold their latest checkpoints.
 *
 * @module
 */

import type { WorkerKey } from "../batch_command.ts";
import type { LeaderContext } from "./leader_context.ts";

/** Options of {@link WorkerDepartures}. */
export interface WorkerDeparturesOptions
  extends Pick<LeaderContext, "clock" | "events" | "timing"> {
  readonly hasRunsOn: (key: WorkerKey) => boolean;
  /** Stops all runs on the worker, and lets its leases run out. */
  readonly stopRunsOn: (key: WorkerKey) => void;
  /** Removes the worker's record; resolves to undefined if it may remain. */
  readonly remove: (key: WorkerKey) => Promise<boolean | undefined>;
}

/** Whether a worker's departure may be acknowledged. */
export const DepartureStatus = {
  /** Nothing more can be gained from the worker. */
  released: "released",
  /** Its runs are being stopped; the worker should report again. */
  stopping: "stopping",
  /** The removal of its record may not be stored. */
  unknown: "unknown",
} as const;

/** One of the values of {@link DepartureStatus}. */
export type DepartureStatus =
  typeof DepartureStatus[keyof typeof DepartureStatus];

interface Departure {
  /** When the worker is released though runs are left; by the local clock. */
  readonly releaseAtMs: number;
  /** Wake the calls that wait for the runs to end. */
  readonly waiters: Set<() => void>;
}

/** The workers that are leaving. */
export class WorkerDepartures {
  readonly #options: WorkerDeparturesOptions;
  readonly #departures = new Map<WorkerKey, Departure>();

  constructor(options: WorkerDeparturesOptions) {
    this.#options = options;
  }

  /**
   * Handles a worker's report that it leaves. Waits a moment for its runs to
   * end. Runs that are left when it is released end with its last lease.
   */
  async request(key: WorkerKey): Promise<DepartureStatus> {
    const { clock, timing, hasRunsOn } = this.#options;
    const departure = this.#departures.get(key) ?? this.#begin(key);
    if (hasRunsOn(key)) {
      await this.#waitForEnds(departure, timing.departureWaitMs);
    }
    if (!hasRunsOn(key)) {
      const isRemoved = await this.#remove(key);
      return isRemoved === undefined
        ? DepartureStatus.unknown
        : DepartureStatus.released;
    }
    return clock.nowMs() >= departure.releaseAtMs
      ? DepartureStatus.released
      : DepartureStatus.stopping;
  }

  /** Removes leaving workers without runs, unless a call waits to do so. */
  settle(): void {
    for (const [key, { waiters }] of this.#departures) {
      if (!this.#options.hasRunsOn(key)) {
        const isAwaited = waiters.size > 0;
        waiters.forEach((wake) => wake());
        if (!isAwaited) {
          void this.#remove(key);
        }
      }
    }
  }

  #begin(key: WorkerKey): Departure {
    const { clock, timing, events, hasRunsOn, stopRunsOn } = this.#options;
    const departure: Departure = {
      releaseAtMs: clock.nowMs() + timing.departureLimitMs,
      waiters: new Set(),
    };
    this.#departures.set(key, departure);
    events.emit("batchWorkerLeaving", { worker: key, hasRuns: hasRunsOn(key) });
    stopRunsOn(key);
    return departure;
  }

  #remove(key: WorkerKey): Promise<boolean | undefined> {
    this.#departures.delete(key);
    return this.#options.remove(key);
  }

  #waitForEnds({ waiters }: Departure, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.close();
        waiters.delete(wake);
        resolve();
      };
      const timer = this.#options.clock.after(waitMs, wake);
      waiters.add(wake);
    });
  }
}
