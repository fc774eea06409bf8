/**
 * Simulates usage that reports contain late, and only every few seconds.
 *
 * @module
 */

import type { Clock } from "../../src/base/clock.ts";
import type { HeldTaskUsage } from "../../src/process/scheduler/runtime/worker_report.ts";

/** Default age of the usage in a report. */
const USAGE_LAG_MS = 2_000;

interface UsageSample {
  readonly atMs: number;
  readonly usages: HeldTaskUsage[];
}

/** How often a report contains usage. */
const USAGE_REPORT_PERIOD_MS = 5_000;

/** Delays usage, and reports it periodically. */
export class DelayedUsages {
  readonly #clock: Clock;
  readonly #lagMs: number;
  #samples: UsageSample[] = [];
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: { clock: Clock; usageLagMs?: number }) {
    this.#clock = options.clock;
    this.#lagMs = options.usageLagMs ?? USAGE_LAG_MS;
  }

  /** Records the current usage; returns the usage that is due, if any. */
  nextReport(usages: HeldTaskUsage[]): HeldTaskUsage[] {
    const nowMs = this.#clock.nowMs();
    this.#samples.push({ atMs: nowMs, usages });
    const due = this.#samples.filter((each) =>
      each.atMs <= nowMs - this.#lagMs
    );
    this.#samples = this.#samples.slice(Math.max(0, due.length - 1));
    const newest = due.at(-1);
    if (
      newest === undefined ||
      nowMs < this.#reportedAtMs + USAGE_REPORT_PERIOD_MS
    ) {
      return [];
    }
    this.#reportedAtMs = nowMs;
    return newest.usages;
  }
}
