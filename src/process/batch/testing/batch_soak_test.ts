import test from "ava";
import { runSoak } from "./batch_soak.ts";

const ROUNDS = 4;

test("nothing is left open after rounds of faults", async (t) => {
  const last = await runSoak({ seed: 3, rounds: ROUNDS });
  t.deepEqual(last.violations, []);
  t.is(last.number, ROUNDS);
  t.true(
    last.starts > ROUNDS * 10,
    `${last.starts} starts are too few to test anything`,
  );
});
