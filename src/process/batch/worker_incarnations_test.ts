import test from "ava";
import { workerKeyOf, type WorkerRecord } from "./batch_command.ts";
import { WorkerIncarnations } from "./worker_incarnations.ts";

function incarnation(
  id: string,
  bornMs: number,
  address: string,
): WorkerRecord {
  return {
    key: workerKeyOf(id, bornMs),
    id,
    bornMs,
    service: "pool",
    address,
    dataCentre: "east",
    capacity: { cpuMilli: 1, memoryMb: 1, accelerators: 1 },
    labels: [],
    rack: "r-1",
    isDraining: false,
  };
}

function conflicts(
  incarnations: WorkerIncarnations,
  worker: WorkerRecord,
): string[] {
  return incarnations.conflictingWith(worker).map(({ key }) => key).sort();
}

test("incarnations of one worker or at one address conflict", (t) => {
  const incarnations = new WorkerIncarnations([
    incarnation("a", 1, "here"),
    incarnation("b", 1, "there"),
    incarnation("c", 1, "elsewhere"),
  ]);
  t.deepEqual(conflicts(incarnations, incarnation("a", 2, "there")), [
    "a@1",
    "b@1",
  ]);
  t.deepEqual(conflicts(incarnations, incarnation("a", 1, "here")), []);
});

test("a changed or deleted incarnation isn't found at its old address", (t) => {
  const incarnations = new WorkerIncarnations([
    incarnation("a", 1, "here"),
    incarnation("b", 1, "there"),
  ]);
  incarnations.put(incarnation("a", 1, "nearby"));
  t.deepEqual(conflicts(incarnations, incarnation("c", 1, "here")), []);
  t.deepEqual(conflicts(incarnations, incarnation("c", 1, "nearby")), ["a@1"]);
  t.true(incarnations.delete("b@1"));
  t.false(incarnations.delete("b@1"));
  t.deepEqual(conflicts(incarnations, incarnation("c", 1, "there")), []);
});
