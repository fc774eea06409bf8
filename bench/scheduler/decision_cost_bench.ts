/**
 * Measures what a decision costs, and what the state takes in memory, at
 * several sizes of one data centre. Run it with `--expose-gc` for the memory.
 * Arguments: the seed and the number of steps. Prints one JSON line a size.
 * The same run is made several times, and of each event the least time counts,
 * so that other programs on the machine don't show.
 *
 * @module
 */

import { CostRun, spreadsOf } from "./cost_run.ts";
import { SIZES } from "./workload.ts";

const RACK_COUNTS = [12, 23, 45, 90, 180];
const REPEATS = 4;

function main(): void {
  const [seed = "1", steps = "2000"] = process.argv.slice(2);
  for (const racks of RACK_COUNTS) {
    const size = {
      ...SIZES.twoYears,
      racks,
      clientAccounts: Math.max(4, Math.min(180, racks * 2)),
    };
    const runs = Array.from(
      { length: REPEATS },
      () => new CostRun({ size, seed: Number(seed) }),
    );
    const figures = runs.map((run) => run.run(Number(steps)));
    console.log(JSON.stringify({
      ...figures[0],
      microseconds: spreadsOf(runs.map((run) => run.times)),
      firstRunMicroseconds: spreadsOf(runs.slice(0, 1).map((run) => run.times)),
    }));
  }
}

main();
