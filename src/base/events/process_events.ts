/**
 * Log events about the process and its settings, numbered 1000 to 1999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about the process and its settings. */
export const PROCESS_EVENTS = {
  processStarted: {
    number: 1000,
    level: "info",
    text: "The daemon has started.",
    fields: ["address"],
  },
  processStopping: {
    number: 1001,
    level: "info",
    text: "A graceful stop has begun.",
    fields: ["signal"],
  },
  processStopped: {
    number: 1002,
    level: "info",
    text: "The daemon has stopped.",
    fields: [],
  },
  processFailed: {
    number: 1003,
    level: "error",
    text: "The daemon cannot continue.",
    fields: ["detail"],
  },
  logLinesSuppressed: {
    number: 1004,
    level: "warn",
    text: "Log lines of one event were suppressed in the last period.",
    fields: ["suppressed", "lines"],
  },
  logLinesDropped: {
    number: 1007,
    level: "warn",
    text: "Log lines were dropped: their reader stalled, or a write failed.",
    fields: ["lines"],
  },
  unexpectedError: {
    number: 1006,
    level: "error",
    text: "An error that no code expects was contained; the process goes on.",
    fields: ["origin", "detail"],
  },
  eventLoopBusy: {
    number: 1008,
    level: "warn",
    text:
      "A timer fired late: the process was suspended, or did one thing for long.",
    fields: ["delayMs"],
  },
  settingsLoaded: {
    number: 1005,
    level: "info",
    text: "The settings were loaded; they are shown without keys.",
    fields: ["settings", "version"],
  },
} as const satisfies Record<string, EventDefinition>;
