import test from "ava";
import { type WorkerReport, workerReportSchema } from "./worker_report.ts";
import { WorkerTable, type WorkerUpdate } from "./worker_table.ts";

function makeReport(
  incarnation: number,
  workerClockMs: number,
): WorkerReport {
  return workerReportSchema.parse({
    protocolVersion: 1,
    workerId: "w1",
    incarnation,
    workerClockMs,
    highestTerm: 0,
    isLeaving: false,
    tasks: [],
    address: "10.0.0.1:1",
    rack: "r1",
    cores: 1,
    memoryBytes: 1,
    accelerators: 1,
  });
}

function makeTable() {
  const table = new WorkerTable();
  const updates: WorkerUpdate[] = [];
  table.updates.observe((each) => updates.push(each));
  return { table, updates };
}

test("late, duplicate and reordered reports are ignored", (t) => {
  const { table, updates } = makeTable();
  table.acceptReport(makeReport(5, 200), 1_000);
  table.acceptReport(makeReport(5, 200), 1_001);
  table.acceptReport(makeReport(5, 100), 1_002);
  table.acceptReport(makeReport(4, 900), 1_003);
  t.is(updates.length, 1);
  t.deepEqual(table.get("w1")?.anchor, {
    workerClockMs: 200,
    receivedAtMs: 1_000,
  });
});

test("a higher incarnation is accepted, whatever its clock says", (t) => {
  const { table, updates } = makeTable();
  table.acceptReport(makeReport(5, 200), 1_000);
  table.acceptReport(makeReport(6, 10), 1_500);
  t.deepEqual(updates.map((each) => each.previousIncarnation), [undefined, 5]);
});

test("a lower incarnation is accepted after a long silence", (t) => {
  const { table } = makeTable();
  table.acceptReport(makeReport(5, 200), 1_000);
  table.acceptReport(makeReport(4, 10), 31_000);
  t.is(table.get("w1")?.incarnation, 5);
  table.acceptReport(makeReport(4, 20), 31_001);
  t.is(table.get("w1")?.incarnation, 4);
});

test("an answer of a different incarnation is ignored", (t) => {
  const { table, updates } = makeTable();
  table.acceptReport(makeReport(5, 200), 1_000);
  table.acceptHoldings(makeReport(6, 300), 1_100);
  t.is(updates.length, 1);
});

test("a worker that has been silent for long is removed", (t) => {
  const { table } = makeTable();
  table.acceptReport(makeReport(5, 200), 1_000);
  table.removeSilent(1_000);
  t.not(table.get("w1"), undefined);
  table.removeSilent(1_001);
  t.is(table.get("w1"), undefined);
});
