/**
 * Log events about the HTTP server, numbered 6000 to 6999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about the HTTP server. */
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
    text: "A call failed with an internal error.",
    fields: ["path", "detail"],
  },
  answerAbandoned: {
    number: 6002,
    level: "warn",
    text: "A caller read its answer too slowly, or a memory limit was reached.",
    fields: ["path"],
  },
  callsCutOff: {
    number: 6003,
    level: "error",
    text: "A graceful stop reached its deadline and aborted the open calls.",
    fields: ["calls"],
  },
  connectionRefused: {
    number: 6004,
    level: "warn",
    text:
      "A connection was refused or closed because of a limit; `omitted` earlier lines were left out.",
    fields: ["reason", "omitted"],
  },
} as const satisfies Record<string, EventDefinition>;
