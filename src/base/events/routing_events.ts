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
    text: "A request ended.",
    fields: ["requestId", "outcome"],
  },
  serverEjected: {
    number: 4003,
    level: "warn",
    text: "A failing or slow backend server was ejected; it gets only probes.",
    fields: ["server", "service", "reason"],
  },
  serverReadmitted: {
    number: 4004,
    level: "info",
    text: "An ejected backend server answered its probe and was readmitted.",
    fields: ["server", "service"],
  },
  answerRejected: {
    number: 4005,
    level: "warn",
    text: "A faulty answer of a backend server was withheld from the caller.",
    fields: ["server", "requestId", "fault"],
  },
} as const satisfies Record<string, EventDefinition>;
