/**
 * Cluster membership: the states of the instances, as seen by this one.
 *
 * @module
 */

export { Membership, type MembershipOptions } from "./membership.ts";
export {
  type ConfiguredPeer,
  MEMBERSHIP_DEFAULTS,
  type PeerChange,
  PeerState,
  type PeerView,
} from "./membership_core.ts";
