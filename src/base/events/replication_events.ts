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
  groupFormed: {
    number: 3502,
    level: "info",
    text: "A new group was formed; all founders held nothing.",
    fields: ["group", "formationId"],
  },
  groupRecovered: {
    number: 3503,
    level: "warn",
    text: "The group goes on from what the members that remember have.",
    fields: ["group", "term"],
  },
  membersChanged: {
    number: 3504,
    level: "info",
    text: "This leader changes who votes.",
    fields: ["group", "voters"],
  },
  voterForgotten: {
    number: 3505,
    level: "warn",
    text: "A voter came back without its state.",
    fields: ["group", "member"],
  },
  snapshotInstalled: {
    number: 3506,
    level: "info",
    text: "This member took a snapshot of its leader's.",
    fields: ["group", "index"],
  },
  foreignGroupRefused: {
    number: 3507,
    level: "error",
    text: "A peer belongs to another group of the same name.",
    fields: ["group", "peer", "formationId"],
  },
  durabilityWaived: {
    number: 3508,
    level: "warn",
    text: "No durable voter answers; commits go on in memory.",
    fields: ["group"],
  },
  durabilityRestored: {
    number: 3509,
    level: "info",
    text: "A durable voter keeps all that is committed again.",
    fields: ["group"],
  },
  logCorrupt: {
    number: 3510,
    level: "error",
    text: "The log on disk is damaged; peers repair this member.",
    fields: ["group", "detail"],
  },
  replicationStopped: {
    number: 3511,
    level: "error",
    text: "This member stopped, as its disk or its state failed.",
    fields: ["group", "detail"],
  },
  votersChanged: {
    number: 3512,
    level: "info",
    text: "The leader replaced or let in a voter, or failed to.",
    fields: ["change", "member", "isDone"],
  },
} as const satisfies Record<string, EventDefinition>;
