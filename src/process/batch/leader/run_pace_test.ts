import test from "ava";
import { RunPace } from "./run_pace.ts";

/** The rate of a run that takes 10 s. */
const SOUND_RATE = 1 / 10_000;

/** Records samples given as pairs of clock and progress. */
function paceOf(samples: readonly (readonly [number, number])[]): RunPace {
  const pace = new RunPace();
  for (const [clockMs, progress] of samples) {
    pace.record({ clockMs, progress }, () => SOUND_RATE);
  }
  return pace;
}

test("a run that stands still is slow, and lags by the time that passed", (t) => {
  const pace = paceOf([[0, 0.1], [1_500, 0.25], [3_000, 0.25], [4_500, 0.25]]);
  t.is(pace.slowMeasurements, 2);
  t.is(pace.lagMs, 3_000);
});

test("a run that takes four times as long is slow", (t) => {
  const pace = paceOf([[0, 0], [2_000, 0.05], [4_000, 0.1]]);
  t.is(pace.slowMeasurements, 2);
  t.true(Math.abs(pace.lagMs - 3_000) < 1e-6);
});

test("a run on a worker of two thirds of the speed isn't slow", (t) => {
  const pace = paceOf([[0, 0], [1_500, 0.1], [3_000, 0.2]]);
  t.is(pace.slowMeasurements, 0);
  t.is(pace.lagMs, 0);
});

test("reports that stay away for long don't make a run slow", (t) => {
  const pace = paceOf([[0, 0], [1_500, 0.15], [7_500, 0.75]]);
  t.is(pace.slowMeasurements, 0);
});

test("a run that goes on after a suspension is slow once, then no more", (t) => {
  const suspended = [[0, 0], [1_500, 0.15], [7_500, 0.2]] as const;
  t.is(paceOf(suspended).slowMeasurements, 1);
  const resumed = paceOf([...suspended, [9_000, 0.35]]);
  t.is(resumed.slowMeasurements, 0);
  t.is(resumed.lagMs, 0);
});

test("a run whose work is done isn't slow while its gang works on", (t) => {
  const pace = paceOf([[0, 0.9], [1_500, 1], [3_000, 1], [4_500, 1]]);
  t.is(pace.slowMeasurements, 0);
});

test("reports in quick succession are measured together", (t) => {
  const pace = paceOf([[0, 0], [100, 0], [200, 0], [300, 0], [900, 0]]);
  t.is(pace.slowMeasurements, 0);
});

test("runs that keep their pace aren't compared with others", (t) => {
  const pace = new RunPace();
  let comparisons = 0;
  for (let second = 0; second < 8; second++) {
    pace.record({ clockMs: second * 1_000, progress: second / 10 }, () => {
      comparisons += 1;
      return SOUND_RATE;
    });
  }
  t.is(comparisons, 1);
});
