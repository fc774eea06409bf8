/**
 * A campaign of random histories of the batch scheduler.
 *
 * @module
 */

import { runHistory } from "../../src/process/batch/testing/batch_history.ts";

/** Steps of one history. */
const STEPS = 25;

/** Between two lines that tell how far a campaign has got. */
const PROGRESS_EVERY = 100;

/** Plays histories and prints the failing ones; gives how many failed. */
export async function runPlatformCampaign(
  options: { seed: number; runs: number },
  print: (line: string) => void,
): Promise<{ passed: number; failed: number }> {
  let failed = 0;
  for (let run = 0; run < options.runs; run++) {
    const seed = options.seed + run;
    const { violations, steps } = await runHistory({ seed, steps: STEPS });
    if (violations.length > 0) {
      failed += 1;
      print(`FAILED: seed ${seed}: ${violations.join("; ")}`);
      print(`  ${steps.join("; ")}`);
    }
    if ((run + 1) % PROGRESS_EVERY === 0) {
      print(`${run + 1} of ${options.runs} played, ${failed} failed`);
    }
  }
  return { passed: options.runs - failed, failed };
}
