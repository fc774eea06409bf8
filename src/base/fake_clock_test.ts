import test from "ava";
import { FakeClock } from "./fake_clock.ts";

test("timers fire in order of due time and may schedule others", (t) => {
  const clock = new FakeClock();
  const seen: string[] = [];
  clock.after(20, () => seen.push("late"));
  clock.after(10, () => {
    seen.push("early");
    clock.after(5, () => seen.push("nested"));
  });
  const cancelled = clock.after(12, () => seen.push("cancelled"));
  cancelled.close();
  clock.advance(30);
  t.deepEqual(seen, ["early", "nested", "late"]);
  t.is(clock.nowMs(), 30);
});
