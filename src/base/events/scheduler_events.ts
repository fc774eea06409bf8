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
  workerLost: {
    number: 5004,
    level: "warn",
    text: "A worker was silent for a whole lease, or came back anew.",
    fields: ["worker"],
  },
  schedulingBegan: {
    number: 5005,
    level: "info",
    text: "This leader knows what runs and starts work.",
    fields: ["term", "jobs"],
  },
  jobMoved: {
    number: 5006,
    level: "info",
    text: "Another data centre has taken a job over.",
    fields: ["jobId", "dataCentre"],
  },
  schedulingFailed: {
    number: 5007,
    level: "error",
    text: "A period of leadership ended by a failure.",
    fields: ["term", "detail"],
  },
  gangStopped: {
    number: 5008,
    level: "info",
    text: "A decision stopped a gang; nothing of the attempt runs.",
    fields: ["jobId", "attempt", "reason", "isCheckpointed"],
  },
  gangStartFailed: {
    number: 5009,
    level: "warn",
    text: "A gang's start was given up; nothing of the attempt runs.",
    fields: ["jobId", "attempt", "detail", "workers"],
  },
} as const satisfies Record<string, EventDefinition>;
