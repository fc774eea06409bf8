/**
 * Log events about links and membership. Numbers 2000 to 2999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about links and membership. */
export const CONNECTION_EVENTS = {
  linkOpened: {
    number: 2000,
    level: "info",
    text: "A link to a peer is open.",
    fields: ["peer"],
  },
  linkClosed: {
    number: 2001,
    level: "info",
    text: "A link to a peer has closed.",
    fields: ["peer", "detail"],
  },
  frameRejected: {
    number: 2002,
    level: "warn",
    text: "A frame was refused and its connection closed.",
    fields: ["peer", "detail"],
  },
  peerStateChanged: {
    number: 2003,
    level: "info",
    text: "A peer is seen in another state.",
    fields: ["peer", "before", "state", "incarnation"],
  },
} as const satisfies Record<string, EventDefinition>;
