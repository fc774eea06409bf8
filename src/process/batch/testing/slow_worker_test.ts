/**
 * Workers on which runs stand still, and workers that only seem to be slow.
 */

import test from "ava";
import type { EventLog } from "../../../base/event_log.ts";
import { JobPhase } from "../job_record.ts";
import { runHistory } from "./batch_history.ts";
import { BatchSimulation } from "./batch_simulation.ts";
import { HANG_MS } from "./fake_work.ts";
import { stepSpec } from "./step_fixture.ts";

const STEP = stepSpec({
  taskCount: 3,
  demand: { cpuMilli: 100, memoryMb: 100, accelerators: 8 },
  estimateMs: 4_000,
});

/** Counts events by name. */
class EventCounts implements EventLog {
  readonly #counts = new Map<string, number>();

  emit(name: string): void {
    this.#counts.set(name, this.of(name) + 1);
  }

  of(name: string): number {
    return this.#counts.get(name) ?? 0;
  }
}

for (const isGang of [false, true]) {
  const what = isGang ? "gang tasks" : "tasks";
  test(`${what} that stand still are reported, each once`, async (t) => {
    const events = new EventCounts();
    const simulation = new BatchSimulation({ seed: 5, workers: 6, events });
    await simulation.open();
    await simulation.advance(2_000);
    simulation.pool.faults.hungRuns = 1;
    void simulation.submit("job", {
      payload: "",
      steps: [{ ...STEP, isGang }],
      recurrence: undefined,
    });
    await simulation.advance(2 * HANG_MS);
    t.is(events.of("taskSlow"), STEP.taskCount);
    t.is(simulation.pool.starts, STEP.taskCount);
    t.is(simulation.state!.jobs.get("job")?.phase, JobPhase.completed);
    simulation.close();
  });
}

test("a worker that is silent for a while keeps its runs", async (t) => {
  const events = new EventCounts();
  const simulation = new BatchSimulation({ seed: 6, workers: 3, events });
  await simulation.open();
  await simulation.advance(2_000);
  void simulation.submit("job", {
    payload: "",
    steps: [{ ...STEP, estimateMs: 12_000 }],
    recurrence: undefined,
  });
  await simulation.advance(1_000);
  for (let round = 0; round < 2; round++) {
    ["w0", "w1", "w2"].forEach((id) =>
      simulation.pool.setPartitioned(id, true)
    );
    await simulation.advance(3_000);
    ["w0", "w1", "w2"].forEach((id) =>
      simulation.pool.setPartitioned(id, false)
    );
    await simulation.advance(1_000);
  }
  await simulation.advance(14_000);
  t.is(simulation.state!.jobs.get("job")?.phase, JobPhase.completed);
  t.is(simulation.pool.starts, 3);
  t.is(events.of("taskSlow"), 0);
  simulation.close();
});

test("lost and late calls don't make any run slow", async (t) => {
  const events = new EventCounts();
  for (let seed = 1; seed <= 10; seed++) {
    await runHistory({ seed, steps: 25, events });
  }
  t.is(events.of("taskSlow"), 0);
});
