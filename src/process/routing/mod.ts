/**
 * Request routing.
 *
 * @module
 */

export type { RoutingOptions, ServerAnnouncement } from "./core/mod.ts";
export { RequestHeader } from "./request_headers.ts";
export {
  RequestRouting,
  type RequestRoutingOptions,
} from "./request_routing.ts";
export type { RoutingInstance } from "./routing_instance.ts";
