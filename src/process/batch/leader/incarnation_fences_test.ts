import test from "ava";
import { IncarnationFences } from "./incarnation_fences.ts";

test("a worker's fences rise with its incarnations and with epochs", (t) => {
  const earlier = new IncarnationFences({ epoch: 6 });
  const first = earlier.next("w");
  const second = earlier.next("w");
  t.true(first < second);
  t.true(second < new IncarnationFences({ epoch: 7 }).next("w"));
});

test("fences never reach those of the next epoch", (t) => {
  const fences = new IncarnationFences({ epoch: 6 });
  let highest = 0;
  for (let restart = 0; restart < 3_000; restart++) {
    highest = fences.next("w");
  }
  t.true(highest < new IncarnationFences({ epoch: 7 }).next("v"));
});
