/**
 * An in-memory replicated group for tests: one list of commands, members that
 * can be partitioned, and a leader that the test chooses.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { Channel } from "../../../../base/channel.ts";
import type { Clock } from "../../../../base/clock.ts";
import type { RandomSource } from "../../../../base/random_source.ts";
import { failure, type Result } from "../../../../base/sesame_error.ts";
import type {
  MemberStatus,
  ReplicatedLog,
  StateMachine,
} from "../../../replication/replicated_log.ts";

/** Options of {@link FakeGroup}. */
export interface FakeGroupOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly leaseMs?: number;
  readonly commitDelayMs?: number;
  /** How many of 1,000 proposals are committed without an answer. */
  readonly lostAnswersPerMille?: number;
}

/** A group of members over one list of commands. */
export class FakeGroup<Command, Outcome> {
  readonly options: Required<FakeGroupOptions>;
  readonly members = new Map<string, FakeMember<Command, Outcome>>();
  readonly entries: Command[] = [];
  term = 0;
  leaderId: string | undefined;
  /** When the lease of the last partitioned leader ends. */
  leaderLeaseEndMs = 0;

  constructor(options: FakeGroupOptions) {
    this.options = {
      leaseMs: 1_500,
      commitDelayMs: 2,
      lostAnswersPerMille: 0,
      ...options,
    };
  }

  join(
    id: string,
    machine: StateMachine<Command, Outcome>,
  ): FakeMember<Command, Outcome> {
    const member = new FakeMember({ id, machine, group: this });
    this.members.set(id, member);
    member.catchUp();
    return member;
  }

  /** Lets a reachable member lead a new term, if no earlier lease is valid. */
  elect(id: string): boolean {
    const member = this.members.get(id);
    const nowMs = this.options.clock.nowMs();
    if (
      member === undefined || member.isPartitioned ||
      nowMs < this.leaderLeaseEndMs
    ) {
      return false;
    }
    const previous = this.leaderId === undefined
      ? undefined
      : this.members.get(this.leaderId);
    this.term += 1;
    this.leaderId = id;
    member.catchUp();
    member.belief = { term: this.term, leaderId: id };
    previous?.publishStatus();
    this.members.forEach((each) => each.learnLeader());
    return true;
  }

  /** Partitions a member; a leader goes on believing that it leads. */
  partition(id: string): void {
    const member = this.members.get(id);
    if (member === undefined || member.isPartitioned) {
      return;
    }
    const leaseEndMs = member.status().leaseEndMs;
    member.isPartitioned = true;
    member.frozenLeaseEndMs = leaseEndMs;
    if (this.leaderId === id) {
      this.leaderLeaseEndMs = leaseEndMs;
      this.leaderId = undefined;
    }
  }

  heal(id: string): void {
    const member = this.members.get(id);
    if (member !== undefined && member.isPartitioned) {
      member.isPartitioned = false;
      if (member.belief.leaderId === id) {
        member.belief = { term: member.belief.term, leaderId: undefined };
      }
      member.learnLeader();
      member.catchUp();
    }
  }

  /** Removes a member whose process died. */
  leave(id: string): void {
    this.partition(id);
    this.members.delete(id);
  }
}

/** One member. */
export class FakeMember<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  readonly #id: string;
  readonly #machine: StateMachine<Command, Outcome>;
  readonly #group: FakeGroup<Command, Outcome>;
  readonly #statuses = new Channel<MemberStatus>();
  #appliedIndex = 0;
  isPartitioned = false;
  frozenLeaseEndMs = 0;
  belief: { term: number; leaderId: string | undefined };

  constructor(options: {
    id: string;
    machine: StateMachine<Command, Outcome>;
    group: FakeGroup<Command, Outcome>;
  }) {
    this.#id = options.id;
    this.#machine = options.machine;
    this.#group = options.group;
    const { term, leaderId } = options.group;
    this.belief = { term, leaderId };
  }

  get statuses(): Channel<MemberStatus>["stream"] {
    return this.#statuses.stream;
  }

  async propose(
    command: Command,
    options: { deadlineMs: number },
  ): Promise<Result<Outcome>> {
    const { clock, commitDelayMs, random, lostAnswersPerMille } =
      this.#group.options;
    await after(clock, commitDelayMs);
    const group = this.#group;
    if (this.isPartitioned || group.leaderId === undefined) {
      await after(clock, options.deadlineMs - clock.nowMs());
      return failure("unavailable");
    }
    const leader = group.members.get(group.leaderId);
    group.entries.push(command);
    const outcome = leader?.catchUp();
    group.members.forEach((member) => member.#catchUpSoon());
    await after(clock, commitDelayMs);
    if (random.nextInt(1_000) < lostAnswersPerMille || this.isPartitioned) {
      return failure("outcomeUnknown");
    }
    return outcome === undefined ? failure("unavailable") : Right(outcome);
  }

  readBarrier(): Promise<Result<void>> {
    if (this.isPartitioned) {
      return Promise.resolve(failure("unavailable"));
    }
    this.catchUp();
    return Promise.resolve(Right(undefined));
  }

  status(): MemberStatus {
    const { term, leaderId } = this.belief;
    const leads = leaderId === this.#id;
    const nowMs = this.#group.options.clock.nowMs();
    const leaseEndMs = this.isPartitioned
      ? this.frozenLeaseEndMs
      : nowMs + this.#group.options.leaseMs;
    return {
      groupId: "jobs",
      role: leads ? "leader" : "follower",
      term,
      leaderId,
      commitIndex: this.#group.entries.length,
      appliedIndex: this.#appliedIndex,
      leaseEndMs: leads ? leaseEndMs : 0,
      currentAtMs: nowMs,
      voterIds: [...this.#group.members.keys()],
      learnerIds: [],
    };
  }

  handOver(): Promise<void> {
    if (this.#group.leaderId === this.#id && !this.isPartitioned) {
      const next = [...this.#group.members.values()]
        .find((member) => member.#id !== this.#id && !member.isPartitioned);
      if (next !== undefined) {
        this.#group.elect(next.#id);
      }
    }
    return Promise.resolve();
  }

  close(): Promise<void> {
    this.#group.leave(this.#id);
    return Promise.resolve();
  }

  /** Applies missing commands; returns the outcome of the last one. */
  catchUp(): Outcome | undefined {
    let outcome: Outcome | undefined;
    while (this.#appliedIndex < this.#group.entries.length) {
      const command = this.#group.entries[this.#appliedIndex] as Command;
      this.#appliedIndex += 1;
      outcome = this.#machine.apply(command, this.#appliedIndex);
    }
    return outcome;
  }

  /** Learns the current term and leader, unless partitioned. */
  learnLeader(): void {
    if (!this.isPartitioned) {
      const { term, leaderId } = this.#group;
      this.belief = { term, leaderId };
      this.publishStatus();
    }
  }

  publishStatus(): void {
    this.#statuses.push(this.status());
  }

  #catchUpSoon(): void {
    const { clock, random } = this.#group.options;
    clock.after(random.nextInt(20), () => {
      if (!this.isPartitioned) {
        this.catchUp();
      }
    });
  }
}

function after(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => void clock.after(delayMs, resolve));
}
