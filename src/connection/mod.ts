/**
 * Authenticated links between the instances of a cluster.
 *
 * @module
 */

export { ClusterKey } from "./cluster_key.ts";
export type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "./peer_network.ts";
export type { PeerTls } from "./link_transport.ts";
export {
  type PeerAddress,
  WsPeerNetwork,
  type WsPeerNetworkOptions,
} from "./ws_peer_network.ts";
