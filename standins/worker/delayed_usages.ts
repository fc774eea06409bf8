/**
 * Usage as a worker reports it: seen some time ago.
 *
 * @module
 */

import type { Clock } from "../../src/base/clock.ts";
import type { HeldTaskUsage } from "../../src/process/scheduler/runtime/worker_report.ts";

/** How long ago the usage in a report was seen, unless told otherwise. */
const USAGE_LAG_MS = 2_000;

interface Seen {
  readonly atMs: number;
  readonly usages: HeldTaskUsage[];
}

/** How often usage is shown, unless told otherwise. */
const USAGE_PERIOD_MS = 5_000;

/** Holds what was seen back for a while, and shows it now and then. */
export class LaggingUsages {
  readonly #clock: Clock;
  readonly #lagMs: number;
  #seen: Seen[] = [];
  #shownAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: { clock: Clock; usageLagMs?: number }) {
    this.#clock = options.clock;
    this.#lagMs = options.usageLagMs ?? USAGE_LAG_MS;
  }

  /** Takes in what is seen now; gives what is old enough to be shown. */
  show(usages: HeldTaskUsage[]): HeldTaskUsage[] {
    const nowMs = this.#clock.nowMs();
    this.#seen.push({ atMs: nowMs, usages });
    const ripe = this.#seen.filter((each) => each.atMs <= nowMs - this.#lagMs);
    this.#seen = this.#seen.slice(Math.max(0, ripe.length - 1));
    const newest = ripe.at(-1);
    if (newest === undefined || nowMs < this.#shownAtMs + USAGE_PERIOD_MS) {
      return [];
    }
    this.#shownAtMs = nowMs;
    return newest.usages;
  }
}
