/**
 * Leader leases, and when a leader must step down for lack of contact.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import { majorityValue } from "./group_configuration.ts";
import type { RaftState } from "./raft_state.ts";
import { leaseMs } from "./replication_timing.ts";

/**
 * The latest time such that a majority has answered messages sent then or
 * later.
 */
export function confirmedAtMs(state: RaftState): number {
  return majorityValue(
    state.configuration,
    (id) => voterConfirmedAtMs(state, id),
  );
}

function voterConfirmedAtMs(state: RaftState, id: InstanceId): number {
  if (id === state.selfId || state.hasLostState(id)) {
    return state.nowMs;
  }
  return state.progress.get(id)?.answeredSentAtMs ?? -Infinity;
}

/**
 * Until when no other leader can exist, by this leader's clock; zero if it
 * doesn't lead.
 */
export function leaseEndMs(state: RaftState): number {
  if (!state.isLeader) {
    return 0;
  }
  const lengthMs = state.hasMutation("leaseTooLong")
    ? state.timing.electionMaxMs * 3
    : leaseMs(state.timing);
  return Math.max(0, confirmedAtMs(state) + lengthMs);
}

/**
 * Whether this member leads under a valid lease and knows all committed
 * entries.
 */
export function isLeaseHeld(state: RaftState): boolean {
  return state.commitIndex >= state.termStartIndex &&
    state.nowMs < leaseEndMs(state);
}

/** Whether a majority answered this leader recently. */
export function hasQuorumContact(state: RaftState): boolean {
  const sinceMs = Math.max(state.leaderSinceMs, confirmedAtMs(state));
  return state.nowMs - sinceMs < state.timing.electionMaxMs;
}
