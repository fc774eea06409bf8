/**
 * Which members a leader hears from, for the replacement of voters.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { RaftView } from "./raft_core.ts";

/**
 * Voters that a leader hears nothing from, and other members that may vote and
 * have caught up.
 */
export interface MemberReachability {
  readonly silentVoterIds: readonly InstanceId[];
  readonly readyIds: readonly InstanceId[];
}

/**
 * Finds the members that a leader has or hasn't heard from since
 * `heardAfterMs`.
 */
export function memberReachability(
  view: RaftView,
  options: {
    selfId: InstanceId;
    heardAfterMs: number;
    mayVote: (id: InstanceId) => boolean;
  },
): MemberReachability {
  const voterIds = view.configuration.voters.map((voter) => voter.id);
  const silentVoterIds = voterIds.filter((id) =>
    id !== options.selfId &&
    lastHeardMs(view, id) < options.heardAfterMs
  );
  const readyIds = [...view.progress.values()]
    .filter(({ id, matchIndex, lastHeardMs }) =>
      options.mayVote(id) && !voterIds.includes(id) &&
      matchIndex >= view.commitIndex &&
      lastHeardMs >= options.heardAfterMs
    )
    .map(({ id }) => id);
  return { silentVoterIds, readyIds };
}

function lastHeardMs(view: RaftView, id: InstanceId): number {
  return Math.max(view.leaderSinceMs, view.progress.get(id)?.lastHeardMs ?? 0);
}
