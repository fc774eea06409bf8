/**
 * Log events about the HTTP front. Numbers 6000 to 6999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about the HTTP front. */
export const HTTP_EVENTS = {
  callRefused: {
    number: 6000,
    level: "info",
    text: "A call was refused.",
    fields: ["path", "error"],
  },
} as const satisfies Record<string, EventDefinition>;
