import test from "ava";
import { lifeKey, type WorkerRecord } from "./batch_command.ts";
import { WorkerLives } from "./worker_lives.ts";

function life(id: string, bornMs: number, address: string): WorkerRecord {
  return {
    key: lifeKey(id, bornMs),
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

function others(lives: WorkerLives, worker: WorkerRecord): string[] {
  return lives.othersOf(worker).map(({ key }) => key).sort();
}

test("lives of one worker or at one address are found, others aren't", (t) => {
  const lives = new WorkerLives([
    life("a", 1, "here"),
    life("b", 1, "there"),
    life("c", 1, "elsewhere"),
  ]);
  t.deepEqual(others(lives, life("a", 2, "there")), ["a@1", "b@1"]);
  t.deepEqual(others(lives, life("a", 1, "here")), []);
});

test("a life that moved or went isn't found where it was", (t) => {
  const lives = new WorkerLives([life("a", 1, "here"), life("b", 1, "there")]);
  lives.put(life("a", 1, "nearby"));
  t.deepEqual(others(lives, life("c", 1, "here")), []);
  t.deepEqual(others(lives, life("c", 1, "nearby")), ["a@1"]);
  t.true(lives.delete("b@1"));
  t.false(lives.delete("b@1"));
  t.deepEqual(others(lives, life("c", 1, "there")), []);
});
