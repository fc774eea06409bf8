/**
 * Where parts report what happens: one call a numbered event.
 *
 * @module
 */

import type { EventName } from "./events/event_catalogue.ts";

/** What an event may carry. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** The log and time line of one process. */
export interface EventLog {
  emit(name: EventName, fields?: EventFields): void;
}

/** A log that keeps nothing. */
export const SILENT_EVENT_LOG: EventLog = { emit: () => undefined };
