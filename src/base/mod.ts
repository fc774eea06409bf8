/**
 * Types, constants and utilities shared by all modules.
 *
 * @module
 */

export { Channel } from "./channel.ts";
export { type Clock, SystemClock, type Timer } from "./clock.ts";
export { SuspendAwareClock } from "./suspend_aware_clock.ts";
export {
  ERROR_ANSWERS,
  type ErrorAnswer,
  type ErrorKind,
  Execution,
} from "./error_kind.ts";
export {
  type EventFields,
  type EventLog,
  SILENT_EVENT_LOG,
} from "./event_log.ts";
export { EVENT_CATALOGUE, type EventName } from "./events/event_catalogue.ts";
export { FakeClock } from "./fake_clock.ts";
export { type RandomSource, SeededRandom } from "./random_source.ts";
export { failure, type Result, SesameError } from "./sesame_error.ts";
export type { Storage } from "./storage.ts";
