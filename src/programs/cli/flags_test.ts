import test from "ava";
import { asWritten } from "./flags.ts";

test("an identity that looks like a number stays as it was written", (t) => {
  const words = ["request", "quote", "--id", "007", "--job-id=1e3"];
  t.is(asWritten("id", words), "007");
  t.is(asWritten("jobId", words), "1e3");
  t.is(asWritten("file", words), undefined);
});

test("of a flag that stands twice the last one counts", (t) => {
  t.is(asWritten("id", ["--id", "1", "--id", "2"]), "2");
});
