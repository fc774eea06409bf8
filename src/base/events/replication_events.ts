/**
 * Log events about the replicated log and its storage. Numbers 3500 to 3999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about the replicated log and its storage. */
export const REPLICATION_EVENTS = {
  leadershipGained: {
    number: 3500,
    level: "info",
    text: "This member leads its group.",
    fields: ["group", "term"],
  },
  leadershipLost: {
    number: 3501,
    level: "info",
    text: "This member leads its group no more.",
    fields: ["group", "term"],
  },
} as const satisfies Record<string, EventDefinition>;
