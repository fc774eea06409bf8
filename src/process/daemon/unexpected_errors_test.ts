import test from "ava";
import { EventEmitter } from "node:events";
import type { EventLog } from "../../base/event_log.ts";
import { containUnexpectedErrors } from "./unexpected_errors.ts";

test("errors that nothing handles are logged with their origin", (t) => {
  const logged: unknown[] = [];
  const events: EventLog = {
    emit: (event, fields) => void logged.push({ event, ...fields }),
  };
  const source = new EventEmitter();
  containUnexpectedErrors({ events, source });
  source.emit("uncaughtException", new RangeError("too deep"));
  source.emit("unhandledRejection", "no reason");
  source.emit("unhandledRejection", undefined);
  t.like(logged, [
    { event: "unexpectedError", origin: "exception" },
    { event: "unexpectedError", origin: "rejection", detail: "no reason" },
    { event: "unexpectedError", origin: "rejection", detail: "undefined" },
  ]);
  t.regex(JSON.stringify(logged[0]), /RangeError: too deep/);
});
