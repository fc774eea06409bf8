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
    text: "This member became the leader of its group.",
    fields: ["group", "term"],
  },
  leadershipLost: {
    number: 3501,
    level: "info",
    text: "This member is no longer the leader of its group.",
    fields: ["group", "term"],
  },
  groupFormed: {
    number: 3502,
    level: "info",
    text: "A new group was formed; no founder had any group state.",
    fields: ["group", "formationId"],
  },
  groupRecovered: {
    number: 3503,
    level: "warn",
    text:
      "A leader was elected without a majority, by all voters that have their state.",
    fields: ["group", "term"],
  },
  membersChanged: {
    number: 3504,
    level: "info",
    text: "This leader appended a new group configuration.",
    fields: ["group", "voters"],
  },
  voterForgotten: {
    number: 3505,
    level: "warn",
    text: "A voter lost its state.",
    fields: ["group", "member"],
  },
  snapshotInstalled: {
    number: 3506,
    level: "info",
    text: "This member installed a snapshot from its leader.",
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
    text: "No durable voter answers; commits continue in memory only.",
    fields: ["group"],
  },
  durabilityRestored: {
    number: 3509,
    level: "info",
    text: "A durable voter stores all committed entries again.",
    fields: ["group"],
  },
  logCorrupt: {
    number: 3510,
    level: "error",
    text: "The log on disk is damaged; this member catches up from its peers.",
    fields: ["group", "detail"],
  },
  replicationStopped: {
    number: 3511,
    level: "error",
    text:
      "This member stopped because its state machine failed; restart the process.",
    fields: ["group", "detail"],
  },
  replicationSuspended: {
    number: 3513,
    level: "error",
    text:
      "This member serves nobody until its disk can be written; it tries again by itself.",
    fields: ["group", "detail"],
  },
  replicationResumed: {
    number: 3514,
    level: "info",
    text:
      "The disk works and the log was loaded again; an empty member catches up from its peers.",
    fields: ["group", "durationMs", "isEmpty"],
  },
  diskWriteFailed: {
    number: 3515,
    level: "warn",
    text: "A write of the replicated log failed.",
    fields: ["group", "write", "detail"],
  },
  votersChanged: {
    number: 3512,
    level: "info",
    text:
      "This leader adds or removes a voter. Reasons to remove one: `stateLost`, or `silent` while another member is ready; to add one that has caught up: `vacancy`.",
    fields: ["group", "change", "member", "reason"],
  },
  voteAwaited: {
    number: 3516,
    level: "info",
    text:
      "This member has no vote; `waitingFor` is the next thing that it lacks: an open link, a leader, the leader's state, its latest entries, or a vacancy among the voters.",
    fields: ["group", "waitingFor", "sinceStartMs", "leader", "linked"],
  },
  voteGained: {
    number: 3517,
    level: "info",
    text: "This member is a voter of its group.",
    fields: ["group", "sinceStartMs"],
  },
  groupWithoutLeader: {
    number: 3518,
    level: "warn",
    text:
      "This member knows no leader. No leader can be elected while fewer than `needed` of `voters` reach each other; this member has no open link to those in `lacking`.",
    fields: ["group", "leaderlessMs", "voters", "lacking", "needed", "term"],
  },
  groupHasLeader: {
    number: 3519,
    level: "info",
    text: "This member knows a leader again.",
    fields: ["group", "leader", "afterMs"],
  },
} as const satisfies Record<string, EventDefinition>;
