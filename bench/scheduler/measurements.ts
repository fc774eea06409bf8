/**
 * Records what happens in one simulated run and computes its figures.
 *
 * @module
 */

import type { WorkloadJob } from "./workload.ts";

/** The distribution of a set of values. */
export interface Distribution {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** The figures of one run; times in seconds unless stated otherwise. */
export interface Figures {
  /** From submission to the end of succeeded jobs, by job class. */
  readonly completionSeconds: Readonly<Record<string, Distribution>>;
  /** From submission to the first start, by job class. */
  readonly startSeconds: Readonly<Record<string, Distribution>>;
  /** The same, for gangs of 32 tasks or more, by number of tasks. */
  readonly gangWaitSeconds: Readonly<Record<string, Distribution>>;
  /** From the decision to preempt for a job until it starts, by job class. */
  readonly evictionSeconds: Readonly<Record<string, Distribution>>;
  /** Completion time minus run time, of succeeded gangs of 32 tasks or more. */
  readonly gangDelaySeconds: Readonly<Record<string, Distribution>>;
  /**
   * Largest number of free accelerators in one rack over all free ones: mean of
   * the samples in which any was free.
   */
  readonly largestFreeFraction: number;
  readonly doneAcceleratorHours: number;
  readonly lostByPreemptionAcceleratorHours: number;
  readonly lostByFailureAcceleratorHours: number;
  readonly preemptions: number;
  /** Accelerator-hours lost to stops, by the reason of the stop. */
  readonly lostByReason: Readonly<Record<string, number>>;
  readonly stopsByReason: Readonly<Record<string, number>>;
  /** Quarantines of workers that are actually faulty, and of others. */
  readonly quarantines: { readonly bad: number; readonly good: number };
  readonly outcomes: Readonly<Record<string, number>>;
  readonly unfinished: number;
  readonly decisionMilliseconds: Distribution;
  readonly slowestDecision: string;
}

interface JobTimes {
  readonly job: WorkloadJob;
  readonly submittedAtMs: number;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
  outcome: string | undefined;
}

const ACCELERATOR_HOUR_MS = 3_600_000;

/** Reasons for stopping a gang in favour of other work. */
const PREEMPTING_REASONS: ReadonlySet<string> = new Set([
  "preempted",
  "migrated",
  "guaranteeReclaimed",
]);

/** The measurements of one run. */
export class Measurements {
  readonly #times = new Map<string, JobTimes>();
  readonly #largestFreeFractions: number[] = [];
  readonly #preemptionStartsMs = new Map<string, number>();
  readonly #startsByPreemption: {
    readonly job: WorkloadJob;
    readonly tookMs: number;
  }[] = [];
  readonly #decisionTimesMs: number[] = [];
  #slowest = { ms: 0, kind: "" };
  #doneAcceleratorMs = 0;
  #preemptionLossAcceleratorHours = 0;
  #failureLossAcceleratorMs = 0;
  #preemptions = 0;
  readonly #lostByReason: Record<string, number> = {};
  readonly #stopsByReason: Record<string, number> = {};
  readonly #quarantines = { bad: 0, good: 0 };

  recordSubmitted(job: WorkloadJob, atMs: number): void {
    this.#times.set(job.specification.jobId, {
      job,
      submittedAtMs: atMs,
      startedAtMs: undefined,
      endedAtMs: undefined,
      outcome: undefined,
    });
  }

  recordStarted(job: WorkloadJob, atMs: number): void {
    const times = this.#times.get(job.specification.jobId);
    if (times !== undefined) {
      times.startedAtMs ??= atMs;
    }
    const preemptionStartMs = this.#preemptionStartsMs.get(
      job.specification.jobId,
    );
    if (preemptionStartMs !== undefined) {
      this.#preemptionStartsMs.delete(job.specification.jobId);
      this.#startsByPreemption.push({ job, tookMs: atMs - preemptionStartMs });
    }
  }

  recordEnded(job: WorkloadJob, outcome: string, atMs: number): void {
    const times = this.#times.get(job.specification.jobId);
    if (times === undefined) {
      return;
    }
    times.outcome = outcome;
    times.endedAtMs = atMs;
    if (outcome === "succeeded") {
      this.#doneAcceleratorMs += acceleratorsOf(job) * job.actualRunMs;
    }
  }

  /** Records that a gang failed, and the run time lost. */
  recordFailed(job: WorkloadJob, lostRunMs: number): void {
    this.#failureLossAcceleratorMs += acceleratorsOf(job) * lostRunMs;
  }

  recordPreemption(job: WorkloadJob, atMs: number): void {
    this.#preemptionStartsMs.set(job.specification.jobId, atMs);
  }

  recordStopped(job: WorkloadJob, reason: string, lostRunMs: number): void {
    const lost = acceleratorsOf(job) * lostRunMs / ACCELERATOR_HOUR_MS;
    if (PREEMPTING_REASONS.has(reason)) {
      this.#preemptions += 1;
      this.#preemptionLossAcceleratorHours += lost;
    }
    this.#lostByReason[reason] = (this.#lostByReason[reason] ?? 0) + lost;
    this.#stopsByReason[reason] = (this.#stopsByReason[reason] ?? 0) + 1;
  }

  recordQuarantined(isFaulty: boolean): void {
    this.#quarantines[isFaulty ? "bad" : "good"] += 1;
  }

  recordFreeCapacity(free: { total: number; largest: number }): void {
    if (free.total > 0) {
      this.#largestFreeFractions.push(free.largest / free.total);
    }
  }

  recordDecision(milliseconds: number, kind: string): void {
    this.#decisionTimesMs.push(milliseconds);
    if (milliseconds > this.#slowest.ms) {
      this.#slowest = { ms: milliseconds, kind };
    }
  }

  /** Adds the work done so far by jobs that haven't ended. */
  addUnfinishedWork(
    options: { unfinished: readonly { job: WorkloadJob; doneMs: number }[] },
  ): void {
    for (const { job, doneMs } of options.unfinished) {
      this.#doneAcceleratorMs += acceleratorsOf(job) *
        Math.min(doneMs, job.actualRunMs);
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
      completionSeconds: groupedDistribution(
        all.filter((each) => each.outcome === "succeeded"),
        (each) => each.job.specification.jobClass,
        (each) => ((each.endedAtMs ?? 0) - each.submittedAtMs) / 1_000,
      ),
      startSeconds: groupedDistribution(
        all.filter((each) => each.startedAtMs !== undefined),
        (each) => each.job.specification.jobClass,
        (each) => ((each.startedAtMs ?? 0) - each.submittedAtMs) / 1_000,
      ),
      gangWaitSeconds: groupedDistribution(
        all.filter((each) =>
          each.startedAtMs !== undefined && each.job.specification.tasks >= 32
        ),
        (each) => `gang${each.job.specification.tasks}`,
        (each) => ((each.startedAtMs ?? 0) - each.submittedAtMs) / 1_000,
      ),
      evictionSeconds: groupedDistribution(
        this.#startsByPreemption,
        (each) => each.job.specification.jobClass,
        (each) => each.tookMs / 1_000,
      ),
      gangDelaySeconds: groupedDistribution(
        all.filter((each) =>
          each.outcome === "succeeded" && each.job.specification.tasks >= 32
        ),
        (each) => `gang${each.job.specification.tasks}`,
        (each) =>
          ((each.endedAtMs ?? 0) - each.submittedAtMs - each.job.actualRunMs) /
          1_000,
      ),
      largestFreeFraction: rounded(meanOf(this.#largestFreeFractions)),
      doneAcceleratorHours: rounded(
        this.#doneAcceleratorMs / ACCELERATOR_HOUR_MS,
      ),
      lostByPreemptionAcceleratorHours: rounded(
        this.#preemptionLossAcceleratorHours,
      ),
      lostByFailureAcceleratorHours: rounded(
        this.#failureLossAcceleratorMs / ACCELERATOR_HOUR_MS,
      ),
      preemptions: this.#preemptions,
      lostByReason: this.#lostByReason,
      stopsByReason: this.#stopsByReason,
      quarantines: this.#quarantines,
      outcomes,
      unfinished: outcomes["unfinished"] ?? 0,
      decisionMilliseconds: distributionOf(this.#decisionTimesMs),
      slowestDecision: this.#slowest.kind,
    };
  }
}

function groupedDistribution<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
  valueOf: (item: T) => number,
): Record<string, Distribution> {
  const groups: Record<string, number[]> = {};
  for (const item of items) {
    (groups[keyOf(item)] ??= []).push(valueOf(item));
  }
  const distributions = Object.entries(groups).sort()
    .map(([key, values]) => [key, distributionOf(values)] as const);
  return Object.fromEntries(distributions);
}

function distributionOf(values: readonly number[]): Distribution {
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

function acceleratorsOf(job: WorkloadJob): number {
  const { tasks, resources } = job.specification;
  return tasks * resources.accelerators;
}
