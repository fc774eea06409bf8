/**
 * An event log for tests that keeps all events.
 *
 * @module
 */

import type { EventFields, EventLog } from "./event_log.ts";

/** Keeps all events. */
export class EventRecord implements EventLog {
  #events: { name: string; fields: EventFields }[] = [];

  emit(name: string, fields: EventFields = {}): void {
    this.#events.push({ name, fields });
  }

  /** The fields of the events with this name, in order. */
  of(name: string): EventFields[] {
    return this.#events.filter((event) => event.name === name)
      .map(({ fields }) => fields);
  }

  clear(): void {
    this.#events = [];
  }
}
