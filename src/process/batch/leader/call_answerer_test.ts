import test from "ava";
import { FakeClock, SILENT_EVENT_LOG } from "../../../base/mod.ts";
import type { BatchItem } from "../batch_command.ts";
import { PlannerWorld } from "../decisions/planner_fixture.ts";
import { CallAnswerer } from "./call_answerer.ts";
import type { LeaderSession } from "./leader_session.ts";

/** An answerer whose writes take effect at once. */
function answererOf({ state, nowMs }: PlannerWorld): CallAnswerer {
  const write = (item: BatchItem) => {
    state.apply({ kind: "batch", epoch: 1, atMs: nowMs, items: [item] });
    return Promise.resolve(true);
  };
  const session = { write, noteClock: () => undefined };
  return new CallAnswerer({
    session: session as unknown as LeaderSession,
    state,
    clock: new FakeClock({ startMs: nowMs }),
    events: SILENT_EVENT_LOG,
  });
}

test("a worker that drains isn't ready again, whoever led meanwhile", async (t) => {
  const world = new PlannerWorld({ workers: 1 });
  const ready = [...world.state.workers.values()][0]!;
  const draining = { ...ready, isDraining: true };
  const seen = { kind: "workerSeen", clockMs: undefined } as const;
  await answererOf(world).answer({ ...seen, worker: draining, sequence: 8 });
  t.true(world.state.workers.get(ready.key)?.isDraining);
  // The next leader has seen no sequence numbers yet.
  const next = answererOf(world);
  const late = await next.answer({ ...seen, worker: ready, sequence: 7 });
  t.is(late.kind, "noted");
  t.true(world.state.workers.get(ready.key)?.isDraining);
});
