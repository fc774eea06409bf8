/**
 * What a member is to its group, other than by winning an election.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { RaftState } from "./raft_state.ts";

/** Follows, in a term that may be new; the leader may be unknown yet. */
export function becomeFollower(
  state: RaftState,
  options: { term: number; leaderId: InstanceId | undefined },
): void {
  if (options.term > state.term) {
    state.term = options.term;
    state.votedFor = undefined;
  }
  if (state.isLeader) {
    state.event("leadershipLost", { term: state.term });
  }
  state.role = state.mayStand() ? "follower" : "learner";
  state.leaderId = options.leaderId;
  state.ballot = undefined;
  if (options.leaderId !== undefined) {
    state.electionAttempts = 0;
  }
  state.progress.clear();
  state.termStartIndex = Infinity;
  resetElectionTimer(state);
}

/** Puts the role right after the log's configuration changed. */
export function settleRole(state: RaftState): void {
  if (state.role === "learner" && state.mayStand()) {
    state.role = "follower";
    resetElectionTimer(state);
  }
  const isFollowing = state.role === "follower" || state.role === "candidate";
  if (isFollowing && !state.mayStand()) {
    state.role = "learner";
    state.ballot = undefined;
    state.electionDueMs = Infinity;
  }
}

/** Gives the leader another while before it counts as silent. */
export function resetElectionTimer(state: RaftState): void {
  const { electionMinMs, electionMaxMs } = state.timing;
  state.electionDueMs = state.role === "learner"
    ? Infinity
    : state.nowMs + state.randomMs(electionMinMs, electionMaxMs);
}
