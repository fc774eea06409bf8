/**
 * Which instances are there, as this one sees it.
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
