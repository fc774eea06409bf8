/**
 * Which members answer a leader, for those who keep the group whole.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { RaftView } from "./raft_core.ts";

/** Who answers a leader and who doesn't. */
export interface MemberContacts {
  readonly silentVoterIds: readonly InstanceId[];
  readonly readyIds: readonly InstanceId[];
}

/** Whom a leader has heard from since `heardAfterMs`, by its view. */
export function memberContacts(
  view: RaftView,
  options: { selfId: InstanceId; heardAfterMs: number },
): MemberContacts {
  const voterIds = view.configuration.voters.map((voter) => voter.id);
  const silentVoterIds = voterIds.filter((id) =>
    id !== options.selfId &&
    lastHeardMs(view, id) < options.heardAfterMs
  );
  const readyIds = [...view.progress.values()]
    .filter(({ id, matchIndex, lastHeardMs }) =>
      !voterIds.includes(id) && matchIndex >= view.commitIndex &&
      lastHeardMs >= options.heardAfterMs
    )
    .map(({ id }) => id);
  return { silentVoterIds, readyIds };
}

function lastHeardMs(view: RaftView, id: InstanceId): number {
  return Math.max(view.leadsSinceMs, view.progress.get(id)?.lastHeardMs ?? 0);
}
