/**
 * Log events about callers' requests and backend servers. Numbers 4000 to 4999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about callers' requests and backend servers. */
export const ROUTING_EVENTS = {
  serverAnnounced: {
    number: 4000,
    level: "info",
    text: "A backend server announced itself.",
    fields: ["server", "service"],
  },
  serverLeaving: {
    number: 4001,
    level: "info",
    text: "A backend server is leaving.",
    fields: ["server", "service"],
  },
  requestEnded: {
    number: 4002,
    level: "debug",
    text: "A request came to its end.",
    fields: ["requestId", "outcome"],
  },
} as const satisfies Record<string, EventDefinition>;
