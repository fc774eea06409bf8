/**
 * Till when a leader may act alone, and when it must step down.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import { majorityValue } from "./group_configuration.ts";
import type { RaftState } from "./raft_state.ts";
import { leaseMs } from "./replication_timing.ts";

/** When the newest messages were sent that a majority has answered. */
export function confirmedAtMs(state: RaftState): number {
  return majorityValue(
    state.configuration,
    (id) => voterConfirmedAtMs(state, id),
  );
}

function voterConfirmedAtMs(state: RaftState, id: InstanceId): number {
  if (id === state.selfId || state.isForgotten(id)) {
    return state.nowMs;
  }
  return state.progress.get(id)?.answeredSentAtMs ?? -Infinity;
}

/** Till when no other leader can exist, by this leader's clock; or zero. */
export function leaseEndMs(state: RaftState): number {
  if (!state.isLeader) {
    return 0;
  }
  const lengthMs = state.hasMutation("leaseTooLong")
    ? state.timing.electionMaxMs * 3
    : leaseMs(state.timing);
  return Math.max(0, confirmedAtMs(state) + lengthMs);
}

/** Whether this member leads for certain and knows all that is committed. */
export function isLeaseHeld(state: RaftState): boolean {
  return state.commitIndex >= state.termStartIndex &&
    state.nowMs < leaseEndMs(state);
}

/** Whether a majority answered this leader lately. */
export function hasQuorumContact(state: RaftState): boolean {
  const sinceMs = Math.max(state.leadsSinceMs, confirmedAtMs(state));
  return state.nowMs - sinceMs < state.timing.electionMaxMs;
}
