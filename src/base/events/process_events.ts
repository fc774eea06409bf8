/**
 * Log events about the process and its settings. Numbers 1000 to 1999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about the process and its settings. */
export const PROCESS_EVENTS = {
  processStarted: {
    number: 1000,
    level: "info",
    text: "The daemon serves.",
    fields: ["address"],
  },
  processStopping: {
    number: 1001,
    level: "info",
    text: "A graceful stop began.",
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
    text: "The daemon cannot go on.",
    fields: ["detail"],
  },
  logLinesSuppressed: {
    number: 1004,
    level: "warn",
    text: "Lines of one event were left out in the last period.",
    fields: ["suppressed", "lines"],
  },
  settingsLoaded: {
    number: 1005,
    level: "info",
    text: "The settings in effect, without keys.",
    fields: ["settings", "version"],
  },
} as const satisfies Record<string, EventDefinition>;
