import test from "ava";
import { numberFlag, rawFlagValue } from "./flags.ts";

test("an ID that looks like a number is returned as typed", (t) => {
  const args = ["request", "quote", "--id", "007", "--job-id=1e3"];
  t.is(rawFlagValue("id", args), "007");
  t.is(rawFlagValue("jobId", args), "1e3");
  t.is(rawFlagValue("file", args), undefined);
});

test("the last occurrence of a repeated flag counts", (t) => {
  t.is(rawFlagValue("id", ["--id", "1", "--id", "2"]), "2");
});

test("a flag's number must be whole and large enough", (t) => {
  const limit = (value: unknown) =>
    numberFlag({ limit: value }, "limit", { name: "limit", atLeast: 1 });
  t.deepEqual(limit(3), { limit: 3 });
  t.deepEqual(limit("12"), { limit: 12 });
  t.deepEqual(limit(undefined), {});
  for (const value of ["many", "", true, 0, -1, 1.5, Infinity, Number.NaN]) {
    t.throws(() => limit(value), { message: /--limit must be a whole number/ });
  }
  const wait = { waitMs: "soon" };
  t.throws(() => numberFlag(wait, "waitMs", { name: "waitMs" }), {
    message: /--wait-ms .* not soon/,
  });
});
