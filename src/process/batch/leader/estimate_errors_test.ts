import test from "ava";
import { EstimateErrors } from "./estimate_errors.ts";

test("a queue of which little is known gets a wide margin", (t) => {
  const errors = new EstimateErrors();
  t.is(errors.factorOf("a"), 4);
  for (let task = 0; task < 11; task++) {
    errors.record("a", 1);
  }
  t.is(errors.factorOf("a"), 4);
});

test("the margin is what nine of ten tasks keep, by queue", (t) => {
  const errors = new EstimateErrors();
  for (let task = 1; task <= 20; task++) {
    errors.record("a", task / 10);
    errors.record("b", 0.1);
  }
  t.is(errors.factorOf("a"), 1.9);
  t.is(errors.factorOf("b"), 1);
});

test("old ratios are forgotten", (t) => {
  const errors = new EstimateErrors();
  for (let task = 0; task < 200; task++) {
    errors.record("a", task < 100 ? 8 : 2);
  }
  t.is(errors.factorOf("a"), 2);
});
