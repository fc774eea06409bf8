/**
 * The definition of one numbered log event.
 *
 * @module
 */

/** The severity of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** One kind of log event. */
export interface EventDefinition {
  /** Once released, it never changes and is never used for another event. */
  readonly number: number;
  readonly level: EventLevel;
  /** One sentence that describes the event in the reference documentation. */
  readonly text: string;
  /** The names of the event's fields. */
  readonly fields: readonly string[];
}
