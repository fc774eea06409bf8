/**
 * Log events about the configuration. Numbers 3000 to 3499.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about the configuration. */
export const CONFIGURATION_EVENTS = {
  configurationInForce: {
    number: 3000,
    level: "info",
    text: "A configuration version came into force on this instance.",
    fields: ["version"],
  },
  editAccepted: {
    number: 3001,
    level: "info",
    text: "An edit of the document was accepted.",
    fields: ["editId", "team", "section", "version"],
  },
  editRejected: {
    number: 3002,
    level: "info",
    text: "An edit of the document was refused or conflicted with another one.",
    fields: ["editId", "team", "section", "error"],
  },
  editUnresolved: {
    number: 3003,
    level: "warn",
    text: "An edit got no outcome; it may or may not have been committed.",
    fields: ["editId", "team", "section", "error"],
  },
  keyRejected: {
    number: 3004,
    level: "warn",
    text: "A team's key was not accepted.",
    fields: ["team", "error"],
  },
  removalPending: {
    number: 3005,
    level: "warn",
    text: "A data centre was taken out and may still start tasks for a while.",
    fields: ["dataCentre", "version", "holdsByMs"],
  },
  removalAccepted: {
    number: 3006,
    level: "info",
    text: "A data centre's removal took effect: no task can start there.",
    fields: ["dataCentre", "version", "isAcknowledged"],
  },
  bootstrapRefused: {
    number: 3007,
    level: "error",
    text: "The initial document was refused.",
    fields: ["section", "detail"],
  },
} as const satisfies Record<string, EventDefinition>;
