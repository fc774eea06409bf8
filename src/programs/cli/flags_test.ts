import test from "ava";
import { rawFlagValue } from "./flags.ts";

test("an ID that looks like a number is returned as typed", (t) => {
  const args = ["request", "quote", "--id", "007", "--job-id=1e3"];
  t.is(rawFlagValue("id", args), "007");
  t.is(rawFlagValue("jobId", args), "1e3");
  t.is(rawFlagValue("file", args), undefined);
});

test("the last occurrence of a repeated flag counts", (t) => {
  t.is(rawFlagValue("id", ["--id", "1", "--id", "2"]), "2");
});
