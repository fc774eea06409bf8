/**
 * Random histories with lost, late and repeated calls, crashes, cuts and
 * changes of leader: nothing runs twice, out of order or beyond its attempts,
 * and every job comes to its end.
 */

import test from "ava";
import { playHistory } from "./batch_history.ts";

const HISTORIES = 60;
const STEPS = 25;

test("random histories break no rule and end every job", async (t) => {
  let starts = 0;
  for (let seed = 1; seed <= HISTORIES; seed++) {
    const result = await playHistory({ seed, steps: STEPS });
    t.deepEqual(
      result.violations,
      [],
      `seed ${seed}: ${result.steps.join("; ")}`,
    );
    starts += result.starts;
  }
  t.true(starts > HISTORIES, `${starts} starts exercise too little`);
});
