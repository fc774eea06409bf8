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
    text: "A worker joined this data centre's scheduler.",
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
    text: "Every task of a gang has started.",
    fields: ["jobId", "attempt"],
  },
  jobEnded: {
    number: 5003,
    level: "info",
    text: "A job ended.",
    fields: ["jobId", "outcome"],
  },
  workerLost: {
    number: 5004,
    level: "warn",
    text: "A worker was lost: its lease expired, or it restarted.",
    fields: ["worker"],
  },
  schedulingBegan: {
    number: 5005,
    level: "info",
    text: "A new leader finished its recovery and starts scheduling.",
    fields: ["term", "jobs"],
  },
  jobMoved: {
    number: 5006,
    level: "info",
    text: "A job was transferred to another data centre.",
    fields: ["jobId", "dataCentre"],
  },
  schedulingFailed: {
    number: 5007,
    level: "error",
    text: "A leadership ended because of an error.",
    fields: ["term", "detail"],
  },
  gangStopped: {
    number: 5008,
    level: "info",
    text: "A gang was stopped by a scheduler decision; none of its tasks runs.",
    fields: ["jobId", "attempt", "reason", "isCheckpointed"],
  },
  gangStartFailed: {
    number: 5009,
    level: "warn",
    text: "A gang failed to start; none of its tasks runs.",
    fields: ["jobId", "attempt", "detail", "workers"],
  },
} as const satisfies Record<string, EventDefinition>;
