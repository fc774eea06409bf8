import test from "ava";
import { SesameError } from "../../base/mod.ts";
import { isDocumentRejected } from "./configuration_subsystem.ts";

test("an initial document is proposed again only if that may help", (t) => {
  for (const kind of ["malformed", "invalid", "tooLarge"] as const) {
    t.true(isDocumentRejected(new SesameError(kind)), kind);
  }
  for (const kind of ["unavailable", "outcomeUnknown"] as const) {
    t.false(isDocumentRejected(new SesameError(kind)), kind);
  }
});
