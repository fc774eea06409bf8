/**
 * Measures decision times and the memory of the scheduler's state at several
 * sizes of one data centre. Run with `--expose-gc` to measure the memory.
 * Arguments: the seed and the number of steps. Prints one JSON line per size.
 * Each run is repeated and the least time of each event is reported, to exclude
 * the influence of other programs on the machine.
 *
 * @module
 */

import { CostRun, distributionsByKind } from "./cost_run.ts";
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
      microseconds: distributionsByKind(runs.map((run) => run.timedEvents)),
      firstRunMicroseconds: distributionsByKind(
        runs.slice(0, 1).map((run) => run.timedEvents),
      ),
    }));
  }
}

main();
