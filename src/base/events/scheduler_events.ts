/**
 * Log events about jobs and workers. Numbers 5000 to 5999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about jobs and workers. */
export const SCHEDULER_EVENTS = {
  workerJoined: {
    number: 5000,
    level: "info",
    text: "A worker announced itself.",
    fields: ["worker"],
  },
  jobSubmitted: {
    number: 5001,
    level: "info",
    text: "A job was accepted.",
    fields: ["jobId"],
  },
  gangStarted: {
    number: 5002,
    level: "info",
    text: "Every task of a gang runs.",
    fields: ["jobId", "attempt"],
  },
  jobEnded: {
    number: 5003,
    level: "info",
    text: "A job came to its end.",
    fields: ["jobId", "outcome"],
  },
} as const satisfies Record<string, EventDefinition>;
