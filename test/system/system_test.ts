import test from "ava";
import { SystemSimulation } from "./system_simulation.ts";
import { SystemSession } from "./system_session.ts";

test("a system without faults handles jobs, edits and requests", async (t) => {
  const lines: string[] = [];
  const simulation = new SystemSimulation();
  const session = new SystemSession(simulation, {
    writeLine: (line) => lines.push(line),
  });
  await simulation.open();
  void session.submit("n2", { jobId: "j1", tasks: 4, runMs: 2_000 });
  void session.sendRequest("s1", { requestId: "r1", timeoutMs: 1_500 });
  const edit = session.prepareRankEdit("n3", 7);
  t.truthy(edit);
  if (edit !== undefined) {
    void session.sendEdit("s2", edit);
  }
  await simulation.endFaultsAndWait(20_000);
  await session.checkFinalState();
  simulation.close();
  t.deepEqual(simulation.oracle.violations(), []);
  t.deepEqual(lines, [
    "submit j1 at n2: accepted",
    "edit e1 of jobClasses.normal at s2: accepted as 2",
    "request r1 at s1: answered 200",
  ]);
});
