/**
 * What the log says about runs: where they were, and what showed their end.
 */

import test from "ava";
import { EventRecord } from "../../../base/event_record.ts";
import { BatchSimulation } from "./batch_simulation.ts";
import { stepSpec } from "./step_fixture.ts";

const STEP = stepSpec({
  taskCount: 2,
  demand: { cpuMilli: 100, memoryMb: 100, accelerators: 8 },
  estimateMs: 4_000,
});

/** A pool of three workers on which the two tasks of one job run. */
async function runTwoTasks(): Promise<
  { simulation: BatchSimulation; events: EventRecord }
> {
  const events = new EventRecord();
  const simulation = new BatchSimulation({ seed: 4, workers: 3, events });
  await simulation.open();
  await simulation.advance(2_000);
  void simulation.submit("job", {
    payload: "",
    steps: [STEP],
    recurrence: undefined,
  });
  await simulation.advance(1_000);
  return { simulation, events };
}

/** The ID of the worker that the first task was started on. */
function firstWorkerOf(events: EventRecord): { id: string; key: string } {
  const key = String(events.of("taskStarted")[0]!["workers"]).split(" ")[0]!;
  const id = ["w0", "w1", "w2"].find((id) => key.includes(id))!;
  return { id, key };
}

test("an end that a worker reported names the worker and the report", async (t) => {
  const { simulation, events } = await runTwoTasks();
  await simulation.advance(10_000);
  const ends = events.of("taskEnded");
  t.deepEqual(ends.map(({ how, proof }) => ({ how, proof })), [
    { how: "done", proof: "report" },
    { how: "done", proof: "report" },
  ]);
  t.deepEqual(
    ends.map(({ worker }) => worker).sort(),
    String(events.of("taskStarted")[0]!["workers"]).split(" ").sort(),
  );
  simulation.close();
});

test("the end of a silent worker's run says that its leases have ended", async (t) => {
  const { simulation, events } = await runTwoTasks();
  const { id, key } = firstWorkerOf(events);
  simulation.pool.setPartitioned(id, true);
  await simulation.advance(20_000);
  const lost = events.of("taskEnded").filter(({ how }) => how === "lost");
  t.deepEqual(lost.map(({ worker, proof }) => ({ worker, proof })), [
    { worker: key, proof: "lease" },
  ]);
  simulation.close();
});

test("the end of a restarted worker's run says that a later incarnation answered", async (t) => {
  const { simulation, events } = await runTwoTasks();
  const { id, key } = firstWorkerOf(events);
  simulation.pool.crash(id);
  simulation.pool.restart(id);
  await simulation.advance(20_000);
  const [first] = events.of("taskEnded");
  t.is(first?.["worker"], key);
  t.is(first?.["proof"], "incarnation");
  simulation.close();
});

test("a new leader names the runs that it takes over, by job", async (t) => {
  const { simulation, events } = await runTwoTasks();
  t.deepEqual(events.of("runsInherited"), []);
  const workers = String(events.of("taskStarted")[0]!["workers"]).split(" ");
  await simulation.elect();
  t.deepEqual(events.of("runsInherited"), [{
    jobIds: "job",
    runs: workers.map((worker, index) => `job.0.0.${index}/1@${worker}`)
      .join(" "),
  }]);
  simulation.close();
});

test("a leader deposed during a commit names the jobs whose changes may take effect", async (t) => {
  const { simulation, events } = await runTwoTasks();
  await simulation.advance(10_000);
  const submitted = Array.from({ length: 40 }, (_, number) => `late${number}`);
  for (const jobId of submitted) {
    void simulation.submit(jobId, {
      payload: "",
      steps: [STEP],
      recurrence: undefined,
    });
  }
  await simulation.flushPromises();
  await simulation.elect();
  await simulation.advance(1_000);
  const [line, ...further] = events.of("batchOutcomeUnknown");
  t.deepEqual(further, []);
  t.deepEqual(line, {
    items: submitted.length,
    jobIds: submitted.slice(0, 32).join(" "),
    moreJobs: 8,
  });
  simulation.close();
});
