/**
 * The shape of one numbered log event.
 *
 * @module
 */

/** How much an event matters. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** One kind of log event. */
export interface EventDefinition {
  /** Never changes and is never used again once released. */
  readonly number: number;
  readonly level: EventLevel;
  /** One sentence for the catalogue. */
  readonly text: string;
  /** The names of the fields that it carries. */
  readonly fields: readonly string[];
}
