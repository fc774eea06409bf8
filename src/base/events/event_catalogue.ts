/**
 * The closed list of all numbered log events.
 *
 * @module
 */

import { BATCH_EVENTS } from "./batch_events.ts";
import { CONFIGURATION_EVENTS } from "./configuration_events.ts";
import { CONNECTION_EVENTS } from "./connection_events.ts";
import { HTTP_EVENTS } from "./http_events.ts";
import { PROCESS_EVENTS } from "./process_events.ts";
import { REPLICATION_EVENTS } from "./replication_events.ts";
import { ROUTING_EVENTS } from "./routing_events.ts";
import { SCHEDULER_EVENTS } from "./scheduler_events.ts";

/** All events, by name. */
export const EVENT_CATALOGUE = {
  ...PROCESS_EVENTS,
  ...CONNECTION_EVENTS,
  ...CONFIGURATION_EVENTS,
  ...REPLICATION_EVENTS,
  ...ROUTING_EVENTS,
  ...SCHEDULER_EVENTS,
  ...HTTP_EVENTS,
  ...BATCH_EVENTS,
} as const;

/** The name of one event. */
export type EventName = keyof typeof EVENT_CATALOGUE;
