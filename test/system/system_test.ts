import test from "ava";
import { SystemBed } from "./system_bed.ts";
import { SystemSession } from "./system_session.ts";

test("a quiet system runs jobs, edits and requests", async (t) => {
  const lines: string[] = [];
  const bed = new SystemBed();
  const session = new SystemSession(bed, { note: (line) => lines.push(line) });
  await bed.open();
  void session.submit("n2", { jobId: "j1", tasks: 4, runMs: 2_000 });
  void session.call("s1", { requestId: "r1", timeoutMs: 1_500 });
  const edit = session.prepareRank("n3", 7);
  t.truthy(edit);
  if (edit !== undefined) {
    void session.send("s2", edit);
  }
  await bed.calm(20_000);
  await session.judgeEnd();
  bed.close();
  t.deepEqual(bed.oracle.violations(), []);
  t.deepEqual(lines, [
    "submit j1 at n2: accepted",
    "edit e1 of jobClasses.normal at s2: accepted as 2",
    "request r1 at s1: answered 200",
  ]);
});
