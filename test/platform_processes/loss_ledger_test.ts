import test from "ava";
import { LossLedger } from "./loss_ledger.ts";

test("two cores may be lost at once, and two more after both caught up", (t) => {
  const ledger = new LossLedger({ lossesBorne: 2, catchUpMs: 6_000 });
  t.is(ledger.earliestMs(2), 0);
  ledger.lose("a", 1_000);
  ledger.lose("b", 1_000);
  t.throws(() => ledger.lose("c", 1_500));
  t.is(ledger.earliestMs(1), Infinity);
  ledger.start("a", 2_000);
  ledger.start("b", 3_000);
  t.is(ledger.earliestMs(1), 8_000);
  t.is(ledger.earliestMs(2), 9_000);
  t.true(ledger.isLost("a", 7_999));
  t.false(ledger.isLost("a", 8_000));
  t.throws(() => ledger.lose("b", 8_999));
  ledger.lose("c", 8_000);
  t.throws(() => ledger.lose("d", 8_999));
  ledger.lose("d", 9_000);
});

test("no more can be lost than are borne", (t) => {
  const ledger = new LossLedger({ lossesBorne: 1, catchUpMs: 4_000 });
  t.is(ledger.earliestMs(2), Infinity);
  ledger.lose("a", 0);
  ledger.start("a", 500);
  t.is(ledger.earliestMs(1), 4_500);
});

test("a core that takes another one's place counts as lost instead of it", (t) => {
  const ledger = new LossLedger({ lossesBorne: 1, catchUpMs: 4_000 });
  ledger.lose("a", 0);
  ledger.start("a", 500, { as: "b" });
  t.false(ledger.isLost("a", 600));
  t.true(ledger.isLost("b", 600));
  t.is(ledger.earliestMs(1), 4_500);
});
