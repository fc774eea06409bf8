/**
 * A replicated log within one process, for tests and benchmarks: a proposed
 * command is applied immediately.
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

/** Simulated faults of a member. */
export const MemoryFault = {
  none: "none",
  /** Proposals fail with `unavailable` and are not committed. */
  unavailable: "unavailable",
  /** Proposals fail with `outcomeUnknown` although they are committed. */
  lostAnswer: "lostAnswer",
} as const;

/** One of the values of {@link MemoryFault}. */
export type MemoryFault = typeof MemoryFault[keyof typeof MemoryFault];

/** A replication group whose members share one state machine. */
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

  /** Creates the member of one instance. */
  member(instanceId: InstanceId): MemoryMember<Command, Outcome> {
    return new MemoryMember({ group: this, instanceId });
  }

  commit(command: Command): Outcome {
    this.#index += 1;
    return this.#state.apply(command, this.#index);
  }
}

/** The member of a {@link MemoryGroup} on one instance. */
export class MemoryMember<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  readonly #group: MemoryGroup<Command, Outcome>;
  readonly #instanceId: InstanceId;
  readonly #statuses = new Channel<MemberStatus>();
  readonly statuses = this.#statuses.stream;
  /** The fault of all calls from now on. */
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
