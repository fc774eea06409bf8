/**
 * Keeps errors that no code expects from ending the process: they are logged
 * and counted.
 *
 * @module
 */

import process from "node:process";
import type { EventLog } from "../../base/event_log.ts";

/** Options of {@link containUnexpectedErrors}. */
export interface UnexpectedErrorOptions {
  readonly events: EventLog;
  /** What reports such errors; by default this process. */
  readonly source?: Pick<NodeJS.EventEmitter, "on">;
}

/** How much of a stack trace is logged. */
const DETAIL_LIMIT = 600;

/**
 * Logs thrown errors that nothing caught and rejections that nobody awaits. By
 * default Node would end the process, with all other calls that it handles. To
 * be called once the process serves: a failed start ends it all the same.
 */
export function containUnexpectedErrors(
  { events, source = process }: UnexpectedErrorOptions,
): void {
  const record = (origin: string) => (thrown: unknown) =>
    events.emit("unexpectedError", { origin, detail: describe(thrown) });
  source.on("uncaughtException", record("exception"));
  source.on("unhandledRejection", record("rejection"));
}

function describe(thrown: unknown): string {
  const text = thrown instanceof Error
    ? thrown.stack ?? thrown.message
    : String(thrown);
  return text.slice(0, DETAIL_LIMIT);
}
