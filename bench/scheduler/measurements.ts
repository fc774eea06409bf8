/**
 * What is counted in one run, and the figures that come of it.
 *
 * @module
 */

import type { TrueJob } from "./workload.ts";

/** The spread of a set of values. */
export interface Spread {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** The figures of one run; times in seconds where not said otherwise. */
export interface Figures {
  readonly completionSeconds: Readonly<Record<string, Spread>>;
  readonly startSeconds: Readonly<Record<string, Spread>>;
  readonly gangWaitSeconds: Readonly<Record<string, Spread>>;
  /** From the order to evict until the start, by class. */
  readonly evictionSeconds: Readonly<Record<string, Spread>>;
  /** Completion time beyond the run time, of the gangs that succeeded. */
  readonly gangDelaySeconds: Readonly<Record<string, Spread>>;
  /** Most adjacent free accelerators over all free, mean over time. */
  readonly largestFreeFraction: number;
  readonly doneAcceleratorHours: number;
  readonly lostByPreemptionAcceleratorHours: number;
  readonly lostByFailureAcceleratorHours: number;
  readonly preemptions: number;
  /** Accelerator-hours lost to stops, by the reason of the stop. */
  readonly lostByReason: Readonly<Record<string, number>>;
  readonly stopsByReason: Readonly<Record<string, number>>;
  /** Quarantines of workers that really are bad, and of others. */
  readonly quarantines: { readonly bad: number; readonly good: number };
  readonly outcomes: Readonly<Record<string, number>>;
  readonly unfinished: number;
  readonly decisionMilliseconds: Spread;
  readonly slowestDecision: string;
}

interface JobTimes {
  readonly job: TrueJob;
  readonly submittedAtMs: number;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
  outcome: string | undefined;
}

const ACCELERATOR_HOUR_MS = 3_600_000;

/** Stops in favour of other work. */
const PREEMPTING_REASONS: ReadonlySet<string> = new Set([
  "preempted",
  "migrated",
  "guaranteeReclaimed",
]);

/** The counts of one run. */
export class Measurements {
  readonly #times = new Map<string, JobTimes>();
  readonly #fractions: number[] = [];
  readonly #evictingSince = new Map<string, number>();
  readonly #evictions: { readonly job: TrueJob; readonly tookMs: number }[] =
    [];
  readonly #decisions: number[] = [];
  #slowest = { ms: 0, kind: "" };
  #doneWork = 0;
  #preemptionLoss = 0;
  #failureLoss = 0;
  #preemptions = 0;
  readonly #lostByReason: Record<string, number> = {};
  readonly #stopsByReason: Record<string, number> = {};
  readonly #quarantines = { bad: 0, good: 0 };

  submitted(job: TrueJob, atMs: number): void {
    this.#times.set(job.specification.jobId, {
      job,
      submittedAtMs: atMs,
      startedAtMs: undefined,
      endedAtMs: undefined,
      outcome: undefined,
    });
  }

  started(job: TrueJob, atMs: number): void {
    const times = this.#times.get(job.specification.jobId);
    if (times !== undefined) {
      times.startedAtMs ??= atMs;
    }
    const sinceMs = this.#evictingSince.get(job.specification.jobId);
    if (sinceMs !== undefined) {
      this.#evictingSince.delete(job.specification.jobId);
      this.#evictions.push({ job, tookMs: atMs - sinceMs });
    }
  }

  ended(job: TrueJob, outcome: string, atMs: number): void {
    const times = this.#times.get(job.specification.jobId);
    if (times === undefined) {
      return;
    }
    times.outcome = outcome;
    times.endedAtMs = atMs;
    if (outcome === "succeeded") {
      this.#doneWork += weightOf(job) * job.actualRunMs;
    }
  }

  /** A gang ended by a failure. */
  failed(job: TrueJob, lostRunMs: number): void {
    this.#failureLoss += weightOf(job) * lostRunMs;
  }

  evicting(job: TrueJob, atMs: number): void {
    this.#evictingSince.set(job.specification.jobId, atMs);
  }

  stopped(job: TrueJob, reason: string, lostRunMs: number): void {
    const lost = weightOf(job) * lostRunMs / ACCELERATOR_HOUR_MS;
    if (PREEMPTING_REASONS.has(reason)) {
      this.#preemptions += 1;
      this.#preemptionLoss += lost;
    }
    this.#lostByReason[reason] = (this.#lostByReason[reason] ?? 0) + lost;
    this.#stopsByReason[reason] = (this.#stopsByReason[reason] ?? 0) + 1;
  }

  quarantined(isBad: boolean): void {
    this.#quarantines[isBad ? "bad" : "good"] += 1;
  }

  sampled(room: { total: number; largest: number }): void {
    if (room.total > 0) {
      this.#fractions.push(room.largest / room.total);
    }
  }

  decided(milliseconds: number, kind: string): void {
    this.#decisions.push(milliseconds);
    if (milliseconds > this.#slowest.ms) {
      this.#slowest = { ms: milliseconds, kind };
    }
  }

  /** Counts what was done of jobs that still run. */
  finish(
    options: { running: readonly { job: TrueJob; doneMs: number }[] },
  ): void {
    for (const { job, doneMs } of options.running) {
      this.#doneWork += weightOf(job) * Math.min(doneMs, job.actualRunMs);
    }
  }

  figures(): Figures {
    const all = [...this.#times.values()];
    const outcomes: Record<string, number> = {};
    for (const { outcome } of all) {
      const name = outcome ?? "unfinished";
      outcomes[name] = (outcomes[name] ?? 0) + 1;
    }
    return {
      completionSeconds: groupedSpread(
        all.filter((each) => each.outcome === "succeeded"),
        (each) => each.job.specification.jobClass,
        (each) => ((each.endedAtMs ?? 0) - each.submittedAtMs) / 1_000,
      ),
      startSeconds: groupedSpread(
        all.filter((each) => each.startedAtMs !== undefined),
        (each) => each.job.specification.jobClass,
        (each) => ((each.startedAtMs ?? 0) - each.submittedAtMs) / 1_000,
      ),
      gangWaitSeconds: groupedSpread(
        all.filter((each) =>
          each.startedAtMs !== undefined && each.job.specification.tasks >= 32
        ),
        (each) => `gang${each.job.specification.tasks}`,
        (each) => ((each.startedAtMs ?? 0) - each.submittedAtMs) / 1_000,
      ),
      evictionSeconds: groupedSpread(
        this.#evictions,
        (each) => each.job.specification.jobClass,
        (each) => each.tookMs / 1_000,
      ),
      gangDelaySeconds: groupedSpread(
        all.filter((each) =>
          each.outcome === "succeeded" && each.job.specification.tasks >= 32
        ),
        (each) => `gang${each.job.specification.tasks}`,
        (each) =>
          ((each.endedAtMs ?? 0) - each.submittedAtMs - each.job.actualRunMs) /
          1_000,
      ),
      largestFreeFraction: rounded(meanOf(this.#fractions)),
      doneAcceleratorHours: rounded(this.#doneWork / ACCELERATOR_HOUR_MS),
      lostByPreemptionAcceleratorHours: rounded(this.#preemptionLoss),
      lostByFailureAcceleratorHours: rounded(
        this.#failureLoss / ACCELERATOR_HOUR_MS,
      ),
      preemptions: this.#preemptions,
      lostByReason: this.#lostByReason,
      stopsByReason: this.#stopsByReason,
      quarantines: this.#quarantines,
      outcomes,
      unfinished: outcomes["unfinished"] ?? 0,
      decisionMilliseconds: spreadOf(this.#decisions),
      slowestDecision: this.#slowest.kind,
    };
  }
}

function groupedSpread<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
  valueOf: (item: T) => number,
): Record<string, Spread> {
  const groups: Record<string, number[]> = {};
  for (const item of items) {
    (groups[keyOf(item)] ??= []).push(valueOf(item));
  }
  const spreads = Object.entries(groups).sort()
    .map(([key, values]) => [key, spreadOf(values)] as const);
  return Object.fromEntries(spreads);
}

function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (fraction: number) =>
    rounded(sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0);
  return {
    count: sorted.length,
    mean: rounded(meanOf(sorted)),
    p50: at(0.5),
    p95: at(0.95),
    p99: at(0.99),
    max: at(1),
  };
}

function meanOf(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}

function rounded(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function weightOf(job: TrueJob): number {
  const { tasks, resources } = job.specification;
  return tasks * resources.accelerators;
}
