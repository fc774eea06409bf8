/**
 * Keeps the number of a group's voters when instances are replaced: a voter
 * that is silent is replaced by a member that has caught up.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { MemberReachability } from "./member_reachability.ts";
import type { ReplicationMember } from "./replication_member.ts";
import type { MemberStatus } from "./replicated_log.ts";

/** A voter that is silent for longer may be replaced. A restart takes less. */
const VOTER_SILENCE_MS = 3_000;

const CHECK_INTERVAL_MS = 500;
const CHANGE_TIMEOUT_MS = 3_000;

/** The next membership change to make. */
export type VoterChange =
  | { readonly kind: "remove"; readonly id: InstanceId }
  | { readonly kind: "add"; readonly id: InstanceId };

/** Chooses the next change, if one is needed. */
export function nextVoterChange(
  status: Pick<MemberStatus, "voterIds">,
  options: { reachability: MemberReachability; wantedVoters: number },
): VoterChange | undefined {
  const { reachability: { silentVoterIds, readyIds }, wantedVoters } = options;
  const silentId = silentVoterIds[0];
  if (silentId !== undefined && status.voterIds.length > wantedVoters) {
    return { kind: "remove", id: silentId };
  }
  const readyId = readyIds[0];
  const isShort = status.voterIds.length < wantedVoters ||
    silentId !== undefined;
  if (readyId !== undefined && isShort) {
    return { kind: "add", id: readyId };
  }
  return undefined;
}

/** Options of the voter reconciler. */
export interface VoterReconcilerOptions {
  readonly member: Pick<
    ReplicationMember<unknown, unknown>,
    "status" | "reachability" | "changeMembers"
  >;
  readonly clock: Clock;
  readonly events?: EventLog;
  readonly wantedVoters: number;
}

/** Adds and removes voters while its member leads. */
export class VoterReconciler {
  readonly #options: VoterReconcilerOptions;
  readonly #timer: Timer;
  #isChanging = false;

  constructor(options: VoterReconcilerOptions) {
    this.#options = options;
    this.#timer = options.clock.every(
      CHECK_INTERVAL_MS,
      () => void this.#check(),
    );
  }

  close(): void {
    this.#timer.close();
  }

  async #check(): Promise<void> {
    const { member, clock, wantedVoters } = this.#options;
    const status = member.status();
    if (this.#isChanging || status.role !== "leader") {
      return;
    }
    const reachability = member.reachability(VOTER_SILENCE_MS);
    const change = nextVoterChange(status, { reachability, wantedVoters });
    if (change === undefined) {
      return;
    }
    this.#isChanging = true;
    const deadlineMs = clock.nowMs() + CHANGE_TIMEOUT_MS;
    const result = await member.changeMembers(change, { deadlineMs });
    this.#isChanging = false;
    const events = this.#options.events ?? SILENT_EVENT_LOG;
    events.emit("votersChanged", {
      change: change.kind,
      member: change.id,
      isDone: result.isRight(),
    });
  }
}
