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
  type RoutingInstance,
} from "./request_routing.ts";
