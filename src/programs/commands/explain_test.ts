import test from "ava";
import { explainLines } from "./explain.ts";

const ID = "00000000000000a1";

function line(time: string, event: string, fields: object): string {
  return JSON.stringify({
    time,
    level: "info",
    event,
    number: 1,
    instance: "core-1",
    ...fields,
  });
}

test("lines of all files come in order, and the decisive one is named", (t) => {
  const core = [
    line("2026-01-01T00:00:02Z", "taskEnded", { task: `${ID}.0.0.0` }),
    line("2026-01-01T00:00:01Z", "batchJobAccepted", { jobId: ID }),
    line("2026-01-01T00:00:03Z", "batchJobEnded", {
      jobId: ID,
      phase: "failed",
    }),
    "not a line of ours",
  ].join("\n");
  const door = "  0.1 door-1 " + line(
    "2026-01-01T00:00:00Z",
    "batchCallUnavailable",
    { jobId: ID, call: "submit" },
  );
  const found = explainLines(ID, [core, door]).unsafeCoerce();
  t.deepEqual(found.lines.map(({ event }) => event), [
    "batchCallUnavailable",
    "batchJobAccepted",
    "taskEnded",
    "batchJobEnded",
  ]);
  t.is(found.decisive?.fields["phase"], "failed");
});

test("lines that only mention the identity are left out", (t) => {
  const text = line("2026-01-01T00:00:00Z", "taskStarted", {
    jobId: "00000000000000b2",
    workers: ID,
  });
  const error = explainLines(ID, [text]).swap().unsafeCoerce();
  t.is(error.kind, "notFound");
});
