/**
 * A simulated group of cores under one true clock, with a network that delays,
 * loses, duplicates and reorders messages, and disks that lose what wasn't
 * synced. An oracle checks every step and throws when an invariant is violated.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { SeededRandom } from "../../../base/random_source.ts";
import type { LogEntry } from "../log_entry.ts";
import type { GroupMember, RaftInput, SendEffect } from "../raft_effect.ts";
import type { RaftMutation } from "../raft_mutation.ts";
import {
  MAX_CLOCK_DRIFT,
  REPLICATION_TIMING,
  type ReplicationTiming,
} from "../replication_timing.ts";
import { GroupOracle } from "./group_oracle.ts";
import { type MemberListener, SimulatedMember } from "./simulated_member.ts";

/** Options of {@link RaftSimulation}. */
export interface RaftSimulationOptions {
  readonly members: readonly GroupMember[];
  readonly seed: number;
  readonly timing?: Partial<ReplicationTiming>;
  readonly mutations?: readonly RaftMutation[];
  /** The longest delay of a message, in milliseconds. */
  readonly delayMs?: number;
  /** The longest sync, in milliseconds. */
  readonly syncMs?: number;
  /**
   * Whether state may be lost: then the oracle checks only the leases, and that
   * all members agree at the end.
   */
  readonly mayLoseState?: boolean;
  /** The members that form the group; all voters if absent. */
  readonly founderIds?: readonly string[];
  /** The target number of voters; all voters if absent. */
  readonly wantedVoters?: number;
}

interface ScheduledAction {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

const START_MS = 1_000_000;

/** A simulated group. */
export class RaftSimulation implements MemberListener {
  readonly members = new Map<string, SimulatedMember>();
  readonly oracle: GroupOracle;
  /** Fractions of messages that are lost or duplicated. */
  lossRate = 0;
  duplicateRate = 0;
  nowMs = START_MS;
  #options: RaftSimulationOptions;
  #random: SeededRandom;
  #timing: ReplicationTiming;
  #queue: ScheduledAction[] = [];
  #order = 0;
  #cuts = new Set<string>();
  #syncEndMs = new Map<string, number>();
  #nextCommand = 1;

  constructor(options: RaftSimulationOptions) {
    this.#options = options;
    this.#random = new SeededRandom({ seed: options.seed });
    this.#timing = {
      ...REPLICATION_TIMING,
      snapshotEntries: 12,
      tailEntries: 3,
      chunkBytes: 16,
      ...options.timing,
    };
    this.oracle = new GroupOracle({
      mayLoseState: options.mayLoseState ?? false,
    });
    for (const self of options.members) {
      this.members.set(self.id, this.#newMember(self));
    }
  }

  #newMember(self: GroupMember): SimulatedMember {
    const drift = (this.#random.nextUnit() * 2 - 1) * MAX_CLOCK_DRIFT;
    return new SimulatedMember({
      self,
      members: this.#options.members,
      clock: { rate: 1 + drift, offsetMs: this.#random.nextInt(100_000) },
      random: this.#random,
      timing: this.#timing,
      mutations: new Set(this.#options.mutations ?? []),
      listener: this,
      founderIds: this.#options.founderIds,
      wantedVoters: this.#options.wantedVoters,
    });
  }

  get ids(): string[] {
    return [...this.members.keys()];
  }

  member(id: string): SimulatedMember {
    return this.members.get(id)!;
  }

  start(id: string): void {
    const member = this.member(id);
    if (member.isSuspended) {
      return this.repairDisk(id);
    }
    if (member.core === undefined) {
      member.start(this.nowMs);
      this.#tickLater(member, member.generation);
    }
  }

  /** Fails a running member's disk for a while. */
  failDisk(id: string, forMs: number): void {
    const member = this.member(id);
    if (member.core === undefined || !member.options.self.isDurable) {
      return;
    }
    member.failDisk(this.nowMs);
    this.#syncEndMs.delete(id);
    const { generation } = member;
    this.#at(this.nowMs + forMs, () => {
      if (member.generation === generation) {
        this.repairDisk(id);
      }
    });
  }

  repairDisk(id: string): void {
    const member = this.member(id);
    if (member.isSuspended) {
      member.repairDisk(this.nowMs);
      this.#tickLater(member, member.generation);
    }
  }

  /** Lets a member's syncs in progress and later ones end no sooner. */
  hangDisk(id: string, forMs: number): void {
    // A disk completes its writes in order, also those of a longer hang before.
    const endMs = Math.max(this.#syncEndMs.get(id) ?? 0, this.nowMs + forMs);
    this.#syncEndMs.set(id, endMs);
  }

  startAll(): void {
    for (const id of this.ids) {
      this.start(id);
    }
  }

  crash(id: string): void {
    this.member(id).crash();
    this.#syncEndMs.delete(id);
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from} ${to}`);
  }

  isolate(id: string): void {
    for (const other of this.ids) {
      this.cut(id, other);
      this.cut(other, id);
    }
  }

  heal(): void {
    this.#cuts.clear();
    this.lossRate = 0;
    this.duplicateRate = 0;
  }

  /** The members that hold a lease. */
  leaseHolders(): SimulatedMember[] {
    return [...this.members.values()].filter((member) =>
      member.core?.isLeaseHeld(member.clockMs(this.nowMs))
    );
  }

  /**
   * Whether every voter runs in its current incarnation, so that one more may
   * be lost.
   */
  hasAllVoters(): boolean {
    const leader = this.leaseHolders()[0];
    const view = leader?.core?.view;
    if (view === undefined || view.log.configurationIndex > view.commitIndex) {
      return false;
    }
    const { voters, isDurabilityWaived } = view.configuration;
    const configuredVoters = [...this.members.values()].filter((member) =>
      member.options.self.isVoter
    );
    return !isDurabilityWaived && voters.length >=
        Math.min(
          this.#options.wantedVoters ?? Infinity,
          configuredVoters.length,
        ) &&
      voters.every((voter) =>
        this.member(voter.id).core?.view.incarnation === voter.incarnation
      );
  }

  /** Whether any member considers the need for a durable voter waived. */
  isDurabilityWaived(): boolean {
    return [...this.members.values()].some((member) =>
      member.core?.view.configuration.isDurabilityWaived === true
    );
  }

  /** Proposes a command to a member, if it may accept one. */
  propose(id: string): void {
    const member = this.member(id);
    const { core } = member;
    const mayServe = core?.isLeaseHeld(member.clockMs(this.nowMs)) === true &&
      core.isRedundant();
    if (mayServe) {
      const token = this.#nextCommand;
      this.#nextCommand += 1;
      this.oracle.recordProposal(token);
      this.#step(member, { kind: "propose", token, data: pack(token) });
    }
  }

  /** Proposes a command to the lease holder; returns false if there is none. */
  proposeToLeader(): boolean {
    const leader = this.leaseHolders()[0];
    if (leader !== undefined) {
      this.propose(leader.id);
    }
    return leader !== undefined;
  }

  input(id: string, input: RaftInput): void {
    this.#step(this.member(id), input);
  }

  /** Advances the true time. */
  run(byMs: number): void {
    const endMs = this.nowMs + byMs;
    for (;;) {
      const next = this.#takeNextDue(endMs);
      if (next === undefined) {
        break;
      }
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.action();
      this.oracle.check(this);
    }
    this.nowMs = endMs;
    this.oracle.check(this);
  }

  onSend(member: SimulatedMember, effect: SendEffect): void {
    const copies = this.#random.nextUnit() < this.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.#random.nextUnit() >= this.lossRate) {
        this.#deliverLater(member.id, effect);
      }
    }
  }

  onCommit(member: SimulatedMember, entry: LogEntry): void {
    this.oracle.commit(member.id, entry);
    const command = entry.kind === "command"
      ? unpack(entry.data) as number
      : undefined;
    if (command !== undefined) {
      this.oracle.acknowledge(member.id, { entry, command, atMs: this.nowMs });
    }
  }

  onRestore(member: SimulatedMember, commands: readonly number[]): void {
    this.oracle.restore(member.id, commands);
  }

  onAppended(
    member: SimulatedMember,
    appended: { token: number; index: number; term: number },
  ): void {
    this.oracle.recordAppend(member.id, appended);
  }

  schedule(member: SimulatedMember, action: () => void): void {
    const syncMs = this.#random.nextUnit() * (this.#options.syncMs ?? 20);
    const lastMs = this.#syncEndMs.get(member.id) ?? 0;
    const dueMs = Math.max(lastMs, this.nowMs + syncMs);
    this.#syncEndMs.set(member.id, dueMs);
    const { generation } = member;
    this.#at(dueMs, () => {
      if (member.generation === generation) {
        action();
        const sequence = member.persistedSequence;
        this.#step(member, { kind: "persisted", sequence });
      }
    });
  }

  #tickLater(member: SimulatedMember, generation: number): void {
    const { tickMs } = this.#timing;
    this.#at(this.nowMs + tickMs, () => {
      if (member.generation === generation) {
        this.#step(member, { kind: "tick" });
        this.#tickLater(member, generation);
      }
    });
  }

  #deliverLater(from: string, effect: SendEffect): void {
    const delayMs = 0.1 +
      this.#random.nextUnit() * (this.#options.delayMs ?? 25);
    this.#at(this.nowMs + delayMs, () => {
      const target = this.members.get(effect.to);
      const isLost = this.#cuts.has(`${from} ${effect.to}`) ||
        target?.core === undefined;
      if (!isLost) {
        const { envelope } = effect;
        this.#step(target, { kind: "message", from, envelope });
      }
    });
  }

  #step(member: SimulatedMember, input: RaftInput): void {
    member.step(input, this.nowMs);
  }

  #at(dueMs: number, action: () => void): void {
    this.#queue.push({ dueMs, order: this.#order++, action });
  }

  #takeNextDue(endMs: number): ScheduledAction | undefined {
    let best = -1;
    for (let at = 0; at < this.#queue.length; at++) {
      if (best === -1 || isBefore(this.#queue[at]!, this.#queue[best]!)) {
        best = at;
      }
    }
    const found = this.#queue[best];
    if (found === undefined || found.dueMs > endMs) {
      return undefined;
    }
    this.#queue[best] = this.#queue.at(-1)!;
    this.#queue.pop();
    return found;
  }
}

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
  return left.dueMs !== right.dueMs
    ? left.dueMs < right.dueMs
    : left.order < right.order;
}
