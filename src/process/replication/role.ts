/**
 * Role changes of a member, except becoming a candidate or leader.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { RaftState } from "./raft_state.ts";

/**
 * Becomes a follower, or a learner if it isn't electable, and adopts the term
 * if it is newer. The leader may be unknown.
 */
export function becomeFollower(
  state: RaftState,
  options: { term: number; leaderId: InstanceId | undefined },
): void {
  if (options.term > state.term) {
    state.term = options.term;
    state.votedFor = undefined;
  }
  if (state.isLeader) {
    state.emitEvent("leadershipLost", { term: state.term });
  }
  state.role = state.isElectable() ? "follower" : "learner";
  state.leaderId = options.leaderId;
  state.tally = undefined;
  if (options.leaderId !== undefined) {
    state.electionAttempts = 0;
  }
  state.progress.clear();
  state.termStartIndex = Infinity;
  resetElectionTimer(state);
}

/** Updates the role after the log's configuration changed. */
export function updateRole(state: RaftState): void {
  if (state.role === "learner" && state.isElectable()) {
    state.role = "follower";
    resetElectionTimer(state);
  }
  const isFollowing = state.role === "follower" || state.role === "candidate";
  if (isFollowing && !state.isElectable()) {
    state.role = "learner";
    state.tally = undefined;
    state.electionDueMs = Infinity;
  }
}

/** Restarts the election timeout with a new random length. */
export function resetElectionTimer(state: RaftState): void {
  const { electionMinMs, electionMaxMs } = state.timing;
  state.electionDueMs = state.role === "learner"
    ? Infinity
    : state.nowMs + state.randomMs(electionMinMs, electionMaxMs);
}
