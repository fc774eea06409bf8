/**
 * Many random histories of the whole system from one seed.
 *
 * @module
 */

import fc from "fast-check";
import type { SystemMutation } from "./system_faults.ts";
import { runHistory } from "./system_history.ts";
import { anySystemStep, type SystemStep } from "./system_step.ts";

/** How many histories, and which. */
export interface CampaignOptions {
  readonly seed: number;
  readonly runs: number;
  readonly mutation?: SystemMutation;
  /** Steps that come more often than by default. */
  readonly favoured?: readonly SystemStep["kind"][];
  /** Bounds the tries to shorten a failing history. */
  readonly shrinkTries?: number;
}

/** A history in which a promise was broken, as short as could be found. */
export interface FailedHistory {
  readonly seed: number;
  readonly steps: readonly SystemStep[];
  readonly violations: readonly string[];
  readonly timeline: readonly string[];
}

/** What a campaign came to. */
export interface CampaignReport {
  readonly passed: number;
  readonly failures: readonly FailedHistory[];
}

const STEPS_LEAST = 10;
const STEPS_MOST = 40;

/** Runs every history, one after the other; each has a seed of its own. */
export async function runCampaign(
  options: CampaignOptions,
  onEnd: (seed: number, failure?: FailedHistory) => void = () => undefined,
): Promise<CampaignReport> {
  const failures: FailedHistory[] = [];
  for (let at = 0; at < options.runs; at++) {
    const seed = options.seed + at;
    const failed = await runOne(seed, options);
    if (failed !== undefined) {
      failures.push(failed);
    }
    onEnd(seed, failed);
  }
  return { passed: options.runs - failures.length, failures };
}

/** The history of one seed, shortened if it fails. */
async function runOne(
  seed: number,
  options: CampaignOptions,
): Promise<FailedHistory | undefined> {
  const { mutation, shrinkTries } = options;
  const how = mutation === undefined ? { seed } : { seed, mutation };
  let triesLeft = shrinkTries ?? 0;
  let found: FailedHistory | undefined;
  const histories = fc.array(stepsFor(options), {
    minLength: STEPS_LEAST,
    maxLength: STEPS_MOST,
    size: "max",
  });
  await fc.check(
    fc.asyncProperty(histories, async (steps) => {
      if (found !== undefined && triesLeft-- <= 0) {
        return true;
      }
      const verdict = await runHistory(steps, how);
      if (verdict.violations.length === 0) {
        return true;
      }
      found = { seed, steps, ...verdict };
      return false;
    }),
    { seed, numRuns: 1 },
  );
  return found;
}

function stepsFor(options: CampaignOptions): fc.Arbitrary<SystemStep> {
  const { favoured = [] } = options;
  if (favoured.length === 0) {
    return anySystemStep;
  }
  return anySystemStep.filter(({ kind }) =>
    kind === "pass" || favoured.includes(kind)
  );
}
