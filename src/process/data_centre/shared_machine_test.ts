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

class Fragile extends Counter {
  override restore(snapshot: Uint8Array) {
    if (snapshot[0] === undefined) {
      throw new RangeError("cut short");
    }
    return super.restore(snapshot);
  }
}

test("a damaged snapshot changes no component", (t) => {
  const parts = { jobs: new Counter(), requests: new Fragile() };
  const shared = new SharedMachine({ parts });
  shared.apply({ part: "jobs", command: 7 }, 1);
  shared.apply({ part: "requests", command: 2 }, 2);
  const damaged = pack({
    formatVersion: 1,
    parts: { jobs: Buffer.of(3), requests: Buffer.alloc(0) },
  });
  t.true(shared.restore(damaged).isLeft());
  t.true(shared.restore(Buffer.of(0xc1, 0x00)).isLeft());
  t.is(parts.jobs.total, 7);
  t.is(parts.requests.total, 2);
});
