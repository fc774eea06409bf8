import { Buffer } from "node:buffer";
import test from "ava";
import { pack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type { StateMachine } from "../replication/replicated_log.ts";
import { SharedMachine } from "./shared_machine.ts";

class Counter implements StateMachine<number, number> {
  total = 0;

  apply(command: number): number {
    this.total += command;
    return this.total;
  }

  snapshot(): Uint8Array {
    return Uint8Array.of(this.total);
  }

  restore(snapshot: Uint8Array) {
    this.total = snapshot[0] ?? 0;
    return Right(undefined);
  }
}

function makeShared(): { shared: SharedMachine; jobs: Counter } {
  const jobs = new Counter();
  const parts = { jobs, requests: new Counter() };
  return { shared: new SharedMachine({ parts }), jobs };
}

test("each command reaches only its component", (t) => {
  const { shared, jobs } = makeShared();
  t.is(shared.apply({ part: "jobs", command: 2 }, 1), 2);
  t.is(shared.apply({ part: "requests", command: 5 }, 2), 5);
  t.is(jobs.total, 2);
});

test("a snapshot that lacks a newer component is restored; an unknown format is refused", (t) => {
  const { shared } = makeShared();
  shared.apply({ part: "jobs", command: 7 }, 1);
  const copy = makeShared();
  t.true(copy.shared.restore(shared.snapshot()).isRight());
  t.is(copy.jobs.total, 7);
  const older = pack({ formatVersion: 1, parts: { requests: Buffer.of(3) } });
  t.true(makeShared().shared.restore(older).isRight());
  t.true(copy.shared.restore(pack({ formatVersion: 9 })).isLeft());
});
