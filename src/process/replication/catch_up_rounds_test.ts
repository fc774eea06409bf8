import test from "ava";
import { CatchUpRounds } from "./catch_up_rounds.ts";

const LIMIT_MS = 700;

test("a member that is always a round trip behind has caught up", (t) => {
  const rounds = new CatchUpRounds({ lastIndex: 100, nowMs: 0 });
  for (let nowMs = 10; nowMs <= 2_000; nowMs += 10) {
    const lastIndex = 100 + nowMs;
    rounds.record({ matchIndex: lastIndex - 40, lastIndex, nowMs });
  }
  t.true(rounds.areWithin(LIMIT_MS, 2_000));
});

test("a member that stores nothing has not caught up", (t) => {
  const rounds = new CatchUpRounds({ lastIndex: 100, nowMs: 0 });
  t.false(rounds.areWithin(LIMIT_MS, 10));
});

test("a long transfer is followed by a short round", (t) => {
  const rounds = new CatchUpRounds({ lastIndex: 100, nowMs: 0 });
  rounds.record({ matchIndex: 100, lastIndex: 300, nowMs: 5_000 });
  t.false(rounds.areWithin(LIMIT_MS, 5_000));
  rounds.record({ matchIndex: 300, lastIndex: 310, nowMs: 5_040 });
  t.true(rounds.areWithin(LIMIT_MS, 5_040));
});

test("a member that stops storing entries falls behind", (t) => {
  const rounds = new CatchUpRounds({ lastIndex: 100, nowMs: 0 });
  rounds.record({ matchIndex: 100, lastIndex: 100, nowMs: 10 });
  rounds.record({ matchIndex: 100, lastIndex: 105, nowMs: 20 });
  rounds.record({ matchIndex: 100, lastIndex: 900, nowMs: 1_000 });
  t.false(rounds.areWithin(LIMIT_MS, 1_000));
});
