/**
 * Log events about links and membership, numbered 2000 to 2999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about links and membership. */
export const CONNECTION_EVENTS = {
  linkOpened: {
    number: 2000,
    level: "info",
    text: "A link to a peer was opened.",
    fields: ["peer"],
  },
  linkClosed: {
    number: 2001,
    level: "info",
    text: "A link to a peer was closed.",
    fields: ["peer", "detail"],
  },
  frameRejected: {
    number: 2002,
    level: "warn",
    text: "A frame was rejected and its connection was closed.",
    fields: ["peer", "detail"],
  },
  peerStateChanged: {
    number: 2003,
    level: "info",
    text: "The state of a peer has changed, as seen by this instance.",
    fields: ["peer", "before", "state", "incarnation"],
  },
} as const satisfies Record<string, EventDefinition>;
