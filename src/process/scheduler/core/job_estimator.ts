/**
 * Corrects declared run times and resources by those observed in earlier runs,
 * by client account and job class.
 *
 * @module
 */

import { type Amounts, amountsOf } from "./amounts.ts";
import type { JobSpecification } from "./job.ts";
import type { Policy } from "./policy.ts";

/** Least weight of a new observation in the running means. */
const MIN_OBSERVATION_WEIGHT = 0.15;
/**
 * Number of runs at which half of the run time correction is applied, and of
 * usage reports from which resources are corrected.
 */
const TRUSTED_OBSERVATIONS = 2;
/** Largest factor of a run time correction, up or down, and of the spread. */
const CORRECTION_FACTOR_LIMIT = 20;
/** Headroom factor above the observed usage of processors. */
const CORES_HEADROOM_FACTOR = 1.25;
/** Smallest fraction of the declared processors that is allocated. */
const CORES_FLOOR_FRACTION = 0.1;

interface RunHistory {
  runs: number;
  /** Mean and variance of ln(actual run time / declared run time). */
  logRunMean: number;
  logRunVariance: number;
  usages: number;
  coresRatio: number;
  memoryRatio: number;
}

/** The estimated run time and needs of a job. */
export interface JobEstimate {
  readonly expectedRunMs: number;
  readonly need: Readonly<Amounts>;
}

/** The observed runs and usage of every client account and job class. */
export class JobEstimator {
  readonly #histories = new Map<string, RunHistory>();

  /** Records the run time of a job. */
  observeRun(job: JobSpecification, actualRunMs: number): void {
    const history = this.#historyOf(job);
    const logRatio = Math.log(Math.max(1, actualRunMs) / job.declaredRunMs);
    history.runs += 1;
    const weight = Math.max(MIN_OBSERVATION_WEIGHT, 1 / history.runs);
    const deviation = logRatio - history.logRunMean;
    history.logRunMean += weight * deviation;
    history.logRunVariance = (1 - weight) *
      (history.logRunVariance + weight * deviation * deviation);
  }

  /** Records the observed usage of one task. */
  observeUsage(
    job: JobSpecification,
    usage: { readonly cores: number; readonly memoryBytes: number },
  ): void {
    const history = this.#historyOf(job);
    history.usages += 1;
    const weight = Math.max(MIN_OBSERVATION_WEIGHT, 1 / history.usages);
    const { cores, memoryBytes } = job.resources;
    const coresRatio = cores > 0 ? usage.cores / cores : 1;
    const memoryRatio = memoryBytes > 0 ? usage.memoryBytes / memoryBytes : 1;
    history.coresRatio += weight * (coresRatio - history.coresRatio);
    history.memoryRatio += weight * (memoryRatio - history.memoryRatio);
  }

  estimate(job: JobSpecification, policy: Policy): JobEstimate {
    const history = this.#histories.get(keyOf(job));
    const declared = amountsOf(job.resources);
    if (history === undefined) {
      return { expectedRunMs: job.declaredRunMs, need: declared };
    }
    const trust = history.runs / (history.runs + TRUSTED_OBSERVATIONS);
    const factor = limitFactor(Math.exp(trust * history.logRunMean));
    return {
      expectedRunMs: Math.max(1, Math.round(job.declaredRunMs * factor)),
      need: correctedNeed(declared, history, policy),
    };
  }

  /** Typical ratio of actual and expected run times, at least 1. */
  runTimeSpread(job: JobSpecification): number {
    const history = this.#histories.get(keyOf(job));
    return history === undefined
      ? 1
      : limitFactor(Math.exp(Math.sqrt(history.logRunVariance)));
  }

  #historyOf(job: JobSpecification): RunHistory {
    const key = keyOf(job);
    let history = this.#histories.get(key);
    if (history === undefined) {
      history = {
        runs: 0,
        logRunMean: 0,
        logRunVariance: 0,
        usages: 0,
        coresRatio: 1,
        memoryRatio: 1,
      };
      this.#histories.set(key, history);
    }
    return history;
  }
}

/**
 * Processors are corrected up or down, since they can be shared; memory only
 * up. Neither grows beyond the declared amount or, if larger, the share of a
 * worker that goes with the task's accelerators; without any, neither grows.
 */
function correctedNeed(
  declared: Readonly<Amounts>,
  history: RunHistory,
  policy: Policy,
): Amounts {
  if (history.usages < TRUSTED_OBSERVATIONS) {
    return { ...declared };
  }
  const share = policy.shareForAccelerators(declared.accelerators);
  const cores = declared.milliCores *
    Math.max(CORES_FLOOR_FRACTION, history.coresRatio * CORES_HEADROOM_FACTOR);
  const memory = declared.memoryBytes * Math.max(1, history.memoryRatio);
  const coresLimit = Math.max(declared.milliCores, share.milliCores);
  const memoryLimit = Math.max(declared.memoryBytes, share.memoryBytes);
  const hasAccelerators = declared.accelerators > 0;
  return {
    milliCores: Math.ceil(
      Math.min(cores, hasAccelerators ? coresLimit : declared.milliCores),
    ),
    memoryBytes: Math.ceil(
      Math.min(memory, hasAccelerators ? memoryLimit : declared.memoryBytes),
    ),
    accelerators: declared.accelerators,
  };
}

function keyOf(job: JobSpecification): string {
  return `${job.clientAccount}|${job.jobClass}`;
}

function limitFactor(factor: number): number {
  return Math.min(
    CORRECTION_FACTOR_LIMIT,
    Math.max(1 / CORRECTION_FACTOR_LIMIT, factor),
  );
}
