/**
 * The interface through which modules emit numbered log events.
 *
 * @module
 */

import type { EventName } from "./events/event_catalogue.ts";

/** The fields of an event; undefined ones are left out. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** The event log of one process. */
export interface EventLog {
  emit(name: EventName, fields?: EventFields): void;
}

/** An event log that discards every event. */
export const SILENT_EVENT_LOG: EventLog = { emit: () => undefined };
