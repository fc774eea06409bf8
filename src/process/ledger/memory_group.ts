/**
 * A replicated log within one process: every member applies a command as
 * soon as it is proposed. For tests, and for an instance that is alone.
 *
 * @module
 */

import { Channel } from "../../base/channel.ts";
import { Right } from "purify-ts/Either";
import type { InstanceId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import {
  MemberRole,
  type MemberStatus,
  type ReplicatedLog,
  type StateMachine,
} from "../replication/replicated_log.ts";

/** How a member's access to its group fails. */
export const MemoryFault = {
  none: "none",
  /** Nothing is committed, and the member says so. */
  unavailable: "unavailable",
  /** The command is committed, and the member can't tell. */
  lostAnswer: "lostAnswer",
} as const;

/** One of the values of {@link MemoryFault}. */
export type MemoryFault = typeof MemoryFault[keyof typeof MemoryFault];

/** A group whose members share one state. */
export class MemoryGroup<Command, Outcome> {
  readonly #groupId: string;
  readonly #state: StateMachine<Command, Outcome>;
  #index = 0;

  constructor(
    options: { groupId: string; state: StateMachine<Command, Outcome> },
  ) {
    this.#groupId = options.groupId;
    this.#state = options.state;
  }

  get groupId(): string {
    return this.#groupId;
  }

  get index(): number {
    return this.#index;
  }

  /** Access for one instance. */
  member(instanceId: InstanceId): MemoryMember<Command, Outcome> {
    return new MemoryMember({ group: this, instanceId });
  }

  commit(command: Command): Outcome {
    this.#index += 1;
    return this.#state.apply(command, this.#index);
  }
}

/** One instance's access to a {@link MemoryGroup}. */
export class MemoryMember<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  readonly #group: MemoryGroup<Command, Outcome>;
  readonly #instanceId: InstanceId;
  readonly #statuses = new Channel<MemberStatus>();
  readonly statuses = this.#statuses.stream;
  /** How this member's access fails from now on. */
  fault: MemoryFault = MemoryFault.none;

  constructor(
    options: {
      group: MemoryGroup<Command, Outcome>;
      instanceId: InstanceId;
    },
  ) {
    this.#group = options.group;
    this.#instanceId = options.instanceId;
  }

  propose(command: Command): Promise<Result<Outcome>> {
    if (this.fault === MemoryFault.unavailable) {
      return Promise.resolve(failure("unavailable"));
    }
    const outcome = this.#group.commit(command);
    return Promise.resolve(
      this.fault === MemoryFault.none
        ? Right(outcome)
        : failure("outcomeUnknown"),
    );
  }

  readBarrier(): Promise<Result<void>> {
    return Promise.resolve(
      this.fault === MemoryFault.none
        ? Right(undefined)
        : failure("unavailable"),
    );
  }

  status(): MemberStatus {
    return {
      groupId: this.#group.groupId,
      role: MemberRole.leader,
      term: 1,
      leaderId: this.#instanceId,
      commitIndex: this.#group.index,
      appliedIndex: this.#group.index,
      leaseEndMs: Number.MAX_SAFE_INTEGER,
      currentAtMs: Number.MAX_SAFE_INTEGER,
      voterIds: [this.#instanceId],
      learnerIds: [],
    };
  }

  handOver(): Promise<void> {
    return Promise.resolve();
  }

  close(): Promise<void> {
    this.#statuses.close();
    return Promise.resolve();
  }
}
