/**
 * What experience says about declared run times and sizes, by client account
 * and job class.
 *
 * @module
 */

import { type Amounts, amountsOf } from "./amounts.ts";
import type { JobSpecification } from "./job.ts";
import type { Policy } from "./policy.ts";

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.15;
/** Observations after which half of the learned correction is applied. */
const TRUST_COUNT = 2;
/** No correction goes beyond this factor, either way. */
const FACTOR_LIMIT = 20;
/** Room above the seen use of processors. */
const CORES_MARGIN = 1.25;
/** Processors are never taken for less than this part of those declared. */
const CORES_FLOOR = 0.1;

interface Experience {
  runs: number;
  /** Mean and variance of ln(actual run time / declared run time). */
  logRunMean: number;
  logRunVariance: number;
  usages: number;
  coresRatio: number;
  memoryRatio: number;
}

/** What is expected of a job. */
export interface Expectation {
  readonly expectedRunMs: number;
  readonly need: Readonly<Amounts>;
}

/** The experience with every client account and job class. */
export class Corrections {
  readonly #experiences = new Map<string, Experience>();

  /** Takes in how long a whole run took. */
  observeRun(job: JobSpecification, actualRunMs: number): void {
    const experience = this.#of(job);
    const seen = Math.log(Math.max(1, actualRunMs) / job.declaredRunMs);
    experience.runs += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / experience.runs);
    const gap = seen - experience.logRunMean;
    experience.logRunMean += weight * gap;
    experience.logRunVariance = (1 - weight) *
      (experience.logRunVariance + weight * gap * gap);
  }

  /** Takes in what one task was seen to use. */
  observeUsage(
    job: JobSpecification,
    usage: { readonly cores: number; readonly memoryBytes: number },
  ): void {
    const experience = this.#of(job);
    experience.usages += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / experience.usages);
    const { cores, memoryBytes } = job.resources;
    const coresRatio = cores > 0 ? usage.cores / cores : 1;
    const memoryRatio = memoryBytes > 0 ? usage.memoryBytes / memoryBytes : 1;
    experience.coresRatio += weight * (coresRatio - experience.coresRatio);
    experience.memoryRatio += weight * (memoryRatio - experience.memoryRatio);
  }

  expect(job: JobSpecification, policy: Policy): Expectation {
    const experience = this.#experiences.get(keyOf(job));
    const declared = amountsOf(job.resources);
    if (experience === undefined) {
      return { expectedRunMs: job.declaredRunMs, need: declared };
    }
    const trust = experience.runs / (experience.runs + TRUST_COUNT);
    const factor = limited(Math.exp(trust * experience.logRunMean));
    return {
      expectedRunMs: Math.max(1, Math.round(job.declaredRunMs * factor)),
      need: correctedNeed(declared, experience, policy),
    };
  }

  /** How far runs stray from what is expected, as a factor of at least 1. */
  spreadOf(job: JobSpecification): number {
    const experience = this.#experiences.get(keyOf(job));
    return experience === undefined
      ? 1
      : limited(Math.exp(Math.sqrt(experience.logRunVariance)));
  }

  #of(job: JobSpecification): Experience {
    const key = keyOf(job);
    let experience = this.#experiences.get(key);
    if (experience === undefined) {
      experience = {
        runs: 0,
        logRunMean: 0,
        logRunVariance: 0,
        usages: 0,
        coresRatio: 1,
        memoryRatio: 1,
      };
      this.#experiences.set(key, experience);
    }
    return experience;
  }
}

/**
 * Processors go either way, since they can be shared; memory only up. Neither
 * grows past the share that goes with the task's accelerators.
 */
function correctedNeed(
  declared: Readonly<Amounts>,
  experience: Experience,
  policy: Policy,
): Amounts {
  if (experience.usages < TRUST_COUNT) {
    return { ...declared };
  }
  const share = policy.shareOf(declared.accelerators);
  const cores = declared.milliCores *
    Math.max(CORES_FLOOR, experience.coresRatio * CORES_MARGIN);
  const memory = declared.memoryBytes * Math.max(1, experience.memoryRatio);
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

function limited(factor: number): number {
  return Math.min(FACTOR_LIMIT, Math.max(1 / FACTOR_LIMIT, factor));
}
