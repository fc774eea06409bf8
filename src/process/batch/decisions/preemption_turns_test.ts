import test from "ava";
import { PlannerFixture } from "./planner_fixture.ts";
import { plan } from "./planner.ts";
import { PreemptionTurns } from "./preemption_turns.ts";

// Guards against a pass that looks at all runs for each unit: with 1,536 units
// and 2,048 runs it took 0.9 s, and leaders lost their leadership one by one.
test("how many runs a pass looks at doesn't grow with the waiting urgent units", (t) => {
  const cores = (count: number) => ({
    demand: { cpuMilli: count * 1_000, memoryMb: 10, accelerators: 0 },
  });
  const looksOf = (units: number) => {
    const fixture = new PlannerFixture({ workers: 8 });
    fixture.submit("runs", { queue: "normal", taskCount: 256, ...cores(1) });
    fixture.applyStarts(fixture.plan());
    for (let unit = 0; unit < units; unit++) {
      // No worker is large enough, whatever is stopped.
      fixture.submit(`unit-${unit}`, { queue: "urgent", ...cores(33) });
    }
    let looks = 0;
    const { starts } = plan({
      state: fixture.state,
      nowMs: fixture.nowMs,
      condition: () => ({
        isReachable: true,
        isSuspect: false,
        isFull: false,
        startsLeft: Infinity,
      }),
      failedOn: () => undefined,
      isStopping: () => {
        looks += 1;
        return false;
      },
    });
    t.is(starts.length, 0);
    return looks;
  };
  t.true(looksOf(20) > 20 * 256);
  // Each look asks at most three times.
  t.true(looksOf(4_000) <= 3 * 262_144);
});

test("units beyond the first get their turn within some passes", (t) => {
  const tried = new Set<number>();
  for (let nowMs = 0; nowMs < 400; nowMs++) {
    const turns = new PreemptionTurns({
      units: 1_000,
      stoppableRuns: 100,
      nowMs,
      looksLimit: 1_000,
    });
    let attempts = 0;
    for (let position = 1; position <= 1_000; position++) {
      if (turns.take(position)) {
        tried.add(position);
        attempts += 1;
      }
    }
    t.true(attempts <= 11);
  }
  t.is(tried.size, 1_000);
});

test("all units are tried where there are few runs", (t) => {
  const turns = new PreemptionTurns({
    units: 300,
    stoppableRuns: 500,
    nowMs: 7,
  });
  const tried = Array.from({ length: 300 }, (_, at) => turns.take(at + 1));
  t.true(tried.every((mayTry) => mayTry));
});
