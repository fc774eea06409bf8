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
  callFailed: {
    number: 6001,
    level: "error",
    text: "A call met a fault of the program.",
    fields: ["path", "detail"],
  },
  answerAbandoned: {
    number: 6002,
    level: "warn",
    text: "A caller was too slow to take its answer, or no memory was left.",
    fields: ["path"],
  },
  callsCutOff: {
    number: 6003,
    level: "error",
    text: "A stop passed its deadline and cut calls off.",
    fields: ["calls"],
  },
} as const satisfies Record<string, EventDefinition>;
