/**
 * Keeps a group at its number of voters when instances are replaced: a voter
 * that is gone makes way for a member that has caught up.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { MemberContacts } from "./member_contacts.ts";
import type { ReplicationMember } from "./replication_member.ts";
import type { MemberStatus } from "./replicated_log.ts";

/** A voter that is silent for so long may be replaced: above a restart. */
const SILENCE_MS = 3_000;

/** How often the voters are looked over, and how long a change may take. */
const CHECK_MS = 500;
const CHANGE_MS = 3_000;

/** A change of the voters that should be made next. */
export type VoterChange =
  | { readonly kind: "remove"; readonly id: InstanceId }
  | { readonly kind: "add"; readonly id: InstanceId };

/** Decides on the next change, if one is needed. */
export function nextVoterChange(
  status: Pick<MemberStatus, "voterIds">,
  options: { contacts: MemberContacts; wantedVoters: number },
): VoterChange | undefined {
  const { contacts: { silentVoterIds, readyIds }, wantedVoters } = options;
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

/** What a keeper is made from. */
export interface VoterKeeperOptions {
  readonly member: Pick<
    ReplicationMember<unknown, unknown>,
    "status" | "contacts" | "changeMembers"
  >;
  readonly clock: Clock;
  readonly events?: EventLog;
  readonly wantedVoters: number;
}

/** Looks after the voters while its member leads. */
export class VoterKeeper {
  readonly #options: VoterKeeperOptions;
  readonly #timer: Timer;
  #isChanging = false;

  constructor(options: VoterKeeperOptions) {
    this.#options = options;
    this.#timer = options.clock.every(CHECK_MS, () => void this.#check());
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
    const contacts = member.contacts(SILENCE_MS);
    const change = nextVoterChange(status, { contacts, wantedVoters });
    if (change === undefined) {
      return;
    }
    this.#isChanging = true;
    const deadlineMs = clock.nowMs() + CHANGE_MS;
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
