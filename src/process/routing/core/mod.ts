/**
 * The decision logic of request routing, without clocks or I/O.
 *
 * @module
 */

export { RoutingCore, type RoutingCoreOptions } from "./routing_core.ts";
export type { RoutingDecision, SendAttempt } from "./routing_decision.ts";
export {
  type AttemptId,
  AttemptResult,
  type CallKey,
  type RemoteLoad,
  type RoutedCall,
  type RoutingEvent,
} from "./routing_event.ts";
export {
  DEFAULT_ROUTING_OPTIONS,
  type RoutingOptions,
} from "./routing_options.ts";
export {
  announcementBodySchema,
  type ServerAnnouncement,
  serverAnnouncementSchema,
} from "./server_announcement.ts";
