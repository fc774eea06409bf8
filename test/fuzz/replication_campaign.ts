/**
 * Runs random histories of each kind of replication group.
 *
 * @module
 */

import * as fc from "fast-check";
import {
  FUZZ_GROUPS,
  sessionProperty,
} from "../../src/process/replication/testing/fault_session.ts";

/** Histories of one group between two progress lines. */
const BATCH = 50;

/**
 * Runs `runs` histories, spread over the kinds of group; prints those that
 * fail, and counts both outcomes.
 */
export async function runReplicationCampaign(
  options: { seed: number; runs: number },
  print: (line: string) => void,
): Promise<{ passed: number; failed: number }> {
  const groups = Object.entries(FUZZ_GROUPS);
  let run = 0;
  let failed = 0;
  for (let batch = 0; run < options.runs; batch++) {
    const [name, members] = groups[batch % groups.length]!;
    const numRuns = Math.min(BATCH, options.runs - run);
    const seed = options.seed + batch;
    const details = fc.check(sessionProperty({ members }), { seed, numRuns });
    if (details.failed) {
      failed += 1;
      print(
        `FAILED: ${name}, seed ${seed}, path ${details.counterexamplePath}`,
      );
      print(`  ${String(details.errorInstance)}`);
      print(`  ${String(details.counterexample)}`);
    }
    run += numRuns;
    print(`${run} of ${options.runs} run, ${failed} failed`);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return { passed: run - failed, failed };
}
