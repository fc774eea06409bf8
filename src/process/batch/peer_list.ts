/**
 * The instances that replicate the batch scheduler's state, as far as this one
 * knows: those of its settings, and those that it learns of later.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { GroupMember } from "../replication/mod.ts";

/** Options of {@link PeerList}. */
export interface PeerListOptions {
  readonly selfId: InstanceId;
  /** The instances from the settings. */
  readonly seedIds: readonly InstanceId[];
  /** Opens a link to an instance; does nothing if there is one. */
  readonly connect: (id: InstanceId) => void;
}

/** The known instances that replicate the state. */
export class PeerList {
  /** All known instances, this one included; grows. */
  readonly members: GroupMember[];
  readonly #selfId: InstanceId;
  readonly #connect: (id: InstanceId) => void;

  constructor({ selfId, seedIds, connect }: PeerListOptions) {
    this.members = [...new Set([selfId, ...seedIds])].map(newMember);
    this.#selfId = selfId;
    this.#connect = connect;
  }

  /** Adds an instance that may be reached at its address, and connects to it. */
  add(id: InstanceId): void {
    if (id !== this.#selfId) {
      this.admit(id);
      this.#connect(id);
    }
  }

  /** Adds an instance that has connected to this one. */
  admit(id: InstanceId): void {
    if (!this.members.some((member) => member.id === id)) {
      this.members.push(newMember(id));
    }
  }
}

function newMember(id: InstanceId): GroupMember {
  return { id, isVoter: true, isDurable: true };
}
