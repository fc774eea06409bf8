/**
 * Runs random histories of the whole system, one for each seed of a range.
 *
 * @module
 */

import fc from "fast-check";
import type { SystemMutation } from "./system_mutation.ts";
import { runHistory } from "./system_history.ts";
import { anySystemStep, type SystemStep } from "./system_step.ts";

/** Options of a campaign. */
export interface CampaignOptions {
  /** The seed of the first history; each further one has the next seed. */
  readonly seed: number;
  readonly runs: number;
  readonly mutation?: SystemMutation;
  /** If not empty, histories have only these steps and `pass`. */
  readonly stepKinds?: readonly SystemStep["kind"][];
  /** Maximum number of runs to shorten a failing history; 0 by default. */
  readonly shrinkTries?: number;
}

/** A history that violated an invariant, shortened as far as possible. */
export interface FailedHistory {
  readonly seed: number;
  readonly steps: readonly SystemStep[];
  readonly violations: readonly string[];
  readonly timeline: readonly string[];
}

/** The result of a campaign. */
export interface CampaignReport {
  readonly passed: number;
  readonly failures: readonly FailedHistory[];
}

const MIN_STEPS = 10;
const MAX_STEPS = 40;

/** Runs the histories one after the other. */
export async function runCampaign(
  options: CampaignOptions,
  onEnd: (seed: number, failure?: FailedHistory) => void = () => undefined,
): Promise<CampaignReport> {
  const failures: FailedHistory[] = [];
  for (let index = 0; index < options.runs; index++) {
    const seed = options.seed + index;
    const failure = await runSeed(seed, options);
    if (failure !== undefined) {
      failures.push(failure);
    }
    onEnd(seed, failure);
  }
  return { passed: options.runs - failures.length, failures };
}

/** Runs the history of one seed; returns it, shortened, if it fails. */
async function runSeed(
  seed: number,
  options: CampaignOptions,
): Promise<FailedHistory | undefined> {
  const { mutation, shrinkTries } = options;
  const historyOptions = mutation === undefined ? { seed } : { seed, mutation };
  let triesLeft = shrinkTries ?? 0;
  let failure: FailedHistory | undefined;
  const histories = fc.array(stepsFor(options), {
    minLength: MIN_STEPS,
    maxLength: MAX_STEPS,
    size: "max",
  });
  await fc.check(
    fc.asyncProperty(histories, async (steps) => {
      if (failure !== undefined && triesLeft-- <= 0) {
        return true;
      }
      const result = await runHistory(steps, historyOptions);
      if (result.violations.length === 0) {
        return true;
      }
      failure = { seed, steps, ...result };
      return false;
    }),
    { seed, numRuns: 1 },
  );
  return failure;
}

function stepsFor(options: CampaignOptions): fc.Arbitrary<SystemStep> {
  const { stepKinds = [] } = options;
  if (stepKinds.length === 0) {
    return anySystemStep;
  }
  return anySystemStep.filter(({ kind }) =>
    kind === "pass" || stepKinds.includes(kind)
  );
}
