/**
 * Sends one load from a process of its own, so that it doesn't delay the other
 * callers of a test: `callers_main.js OPTIONS`, with {@link CallersOptions} as
 * JSON. Reports its progress to the process that started it.
 *
 * @module
 */

import process from "node:process";
import { CALLER_LOADS } from "./caller_loads.ts";
import type { CallersOptions, CallersProgress } from "./caller_process.ts";
import { UnreadingCallers } from "./unreading_callers.ts";

const REPORT_MS = 25;

/** Bounds the load if the test that started it is gone. */
const LIFE_LIMIT_MS = 120_000;

const { loads, target, connections } = JSON.parse(
  process.argv[2] ?? "",
) as CallersOptions;
const crowds = loads.map((name) =>
  new UnreadingCallers({
    load: CALLER_LOADS[name],
    target,
    connections: Math.ceil(connections / loads.length),
  })
);

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

setInterval(() => {
  const progress: CallersProgress = {
    sending: sum(crowds.map(({ sending }) => sending)),
    sentBytes: sum(crowds.map(({ sentBytes }) => sentBytes)),
  };
  process.send?.(progress);
}, REPORT_MS);
setTimeout(() => process.exit(0), LIFE_LIMIT_MS);
process.once("disconnect", () => process.exit(0));
