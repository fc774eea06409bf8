/**
 * The known instances that replicate the state; each one is dialled.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { GroupMember } from "../replication/mod.ts";

/** The known instances that replicate the state. */
export class PeerList {
  readonly members: GroupMember[];
  readonly #selfId: InstanceId;
  readonly #connect: (id: InstanceId) => void;

  constructor(options: {
    selfId: InstanceId;
    seedIds: readonly InstanceId[];
    connect: (id: InstanceId) => void;
  }) {
    this.#selfId = options.selfId;
    this.#connect = options.connect;
    this.members = [...new Set([options.selfId, ...options.seedIds])].map(
      newMember,
    );
  }

  add(id: InstanceId): void {
    if (id === this.#selfId) {
      return;
    }
    if (!this.members.some((member) => member.id === id)) {
      this.members.push(newMember(id));
    }
    this.#connect(id);
  }
}

function newMember(id: InstanceId): GroupMember {
  return { id, isVoter: true, isDurable: true };
}
