/**
 * Measures what a decision costs, and what the state takes in memory, at
 * several sizes of one data centre. Run it with `--expose-gc` for the memory.
 * Arguments: the seed and the number of steps. Prints one JSON line a size.
 *
 * @module
 */

import { CostRun } from "./cost_run.ts";
import { SIZES } from "./workload.ts";

const RACK_COUNTS = [12, 23, 45, 90, 180];

function main(): void {
  const [seed = "1", steps = "2000"] = process.argv.slice(2);
  for (const racks of RACK_COUNTS) {
    const size = {
      ...SIZES.twoYears,
      racks,
      clientAccounts: Math.max(4, Math.min(180, racks * 2)),
    };
    const figures = new CostRun({ size, seed: Number(seed) })
      .run(Number(steps));
    console.log(JSON.stringify(figures));
  }
}

main();
