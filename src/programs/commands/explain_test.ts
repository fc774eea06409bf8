import test from "ava";
import { explainLines } from "./explain.ts";

const ID = "00000000000000a1";

function logLine(time: string, event: string, fields: object): string {
  return JSON.stringify({
    time,
    level: "info",
    event,
    number: 1,
    instance: "core-1",
    life: "mhx3k2ab",
    line: 1,
    ...fields,
  });
}

test("lines of all files are sorted, and the decisive one is found", (t) => {
  const coreLog = [
    logLine("2026-01-01T00:00:02Z", "taskEnded", { task: `${ID}.0.0.0` }),
    logLine("2026-01-01T00:00:01Z", "batchJobAccepted", { jobId: ID }),
    logLine("2026-01-01T00:00:03Z", "batchJobEnded", {
      jobId: ID,
      phase: "failed",
    }),
    "not a log line",
  ].join("\n");
  const instanceLog = "  0.1 instance-1 " + logLine(
    "2026-01-01T00:00:00Z",
    "batchCallUnavailable",
    { jobId: ID, call: "submit" },
  );
  const found = explainLines(ID, [coreLog, instanceLog]).unsafeCoerce();
  t.deepEqual(found.lines.map(({ event }) => event), [
    "batchCallUnavailable",
    "batchJobAccepted",
    "taskEnded",
    "batchJobEnded",
  ]);
  t.deepEqual(found.decisive?.fields, { jobId: ID, phase: "failed" });
});

test("lines that mention the ID only in another field are left out", (t) => {
  const text = logLine("2026-01-01T00:00:00Z", "taskStarted", {
    jobId: "00000000000000b2",
    workers: ID,
  });
  const error = explainLines(ID, [text]).swap().unsafeCoerce();
  t.is(error.kind, "notFound");
});

test("a line about several jobs is found by the ID of each", (t) => {
  const text = logLine("2026-01-01T00:00:00Z", "runsInherited", {
    jobIds: `00000000000000b2 ${ID}`,
    runs: `00000000000000b2.0.0.0/1@w1 ${ID}.0.0.0/2@w2`,
  });
  for (const id of [ID, "00000000000000b2"]) {
    const { lines } = explainLines(id, [text]).unsafeCoerce();
    t.deepEqual(lines.map(({ event }) => event), ["runsInherited"]);
  }
  t.true(explainLines("00000000000000b", [text]).isLeft());
});
