/**
 * A whole group of cores under one true clock, with a network that delays,
 * loses, doubles and reorders, and disks that lose what wasn't synced. An
 * oracle watches every step and throws at the first broken promise.
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

/** What a simulation is made from. */
export interface RaftSimulationOptions {
  readonly members: readonly GroupMember[];
  readonly seed: number;
  readonly timing?: Partial<ReplicationTiming>;
  readonly mutations?: readonly RaftMutation[];
  /** The longest delay of a message, in milliseconds. */
  readonly delayMs?: number;
  /** The longest sync, in milliseconds. */
  readonly syncMs?: number;
  /** Whether state may be lost, so that only leases are watched. */
  readonly mayForget?: boolean;
}

interface ScheduledAction {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

const START_MS = 1_000_000;

/** A group under simulation. */
export class RaftSimulation implements MemberListener {
  readonly members = new Map<string, SimulatedMember>();
  readonly oracle: GroupOracle;
  /** Fractions of messages. */
  lossRate = 0;
  doublingRate = 0;
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
    this.oracle = new GroupOracle({ mayForget: options.mayForget ?? false });
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
    if (member.core === undefined) {
      member.start(this.nowMs);
      this.#tickLater(member, member.life);
    }
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
    this.doublingRate = 0;
  }

  /** The members that hold a lease now. */
  leaseHolders(): SimulatedMember[] {
    return [...this.members.values()].filter((member) =>
      member.core?.isLeaseHeld(member.clockMs(this.nowMs))
    );
  }

  /** Whether every member votes as it is, so that one more may be lost. */
  isWhole(): boolean {
    const leader = this.leaseHolders()[0];
    const view = leader?.core?.view;
    if (view === undefined || view.log.configurationIndex > view.commitIndex) {
      return false;
    }
    const { voters, isDurabilityWaived } = view.configuration;
    const wanted = [...this.members.values()].filter((member) =>
      member.options.self.isVoter
    );
    return !isDurabilityWaived && voters.length === wanted.length &&
      voters.every((voter) =>
        this.member(voter.id).core?.view.incarnation === voter.incarnation
      );
  }

  /** Whether any member thinks that commits need no durable voter. */
  isWaived(): boolean {
    return [...this.members.values()].some((member) =>
      member.core?.view.configuration.isDurabilityWaived === true
    );
  }

  /** Hands a command to a member; only one that leads takes it. */
  propose(id: string): void {
    const member = this.member(id);
    const { core } = member;
    const mayServe = core?.isLeaseHeld(member.clockMs(this.nowMs)) === true &&
      core.isRedundant();
    if (mayServe) {
      const token = this.#nextCommand;
      this.#nextCommand += 1;
      this.oracle.invoke(token);
      this.#step(member, { kind: "propose", token, data: pack(token) });
    }
  }

  /** Hands a command to whoever holds the lease. */
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

  /** Lets true time pass. */
  run(byMs: number): void {
    const endMs = this.nowMs + byMs;
    for (;;) {
      const next = this.#takeDue(endMs);
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
    const copies = this.#random.nextUnit() < this.doublingRate ? 2 : 1;
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

  onTaken(
    member: SimulatedMember,
    taken: { token: number; index: number; term: number },
  ): void {
    this.oracle.take(member.id, taken);
  }

  schedule(member: SimulatedMember, action: () => void): void {
    const syncMs = this.#random.nextUnit() * (this.#options.syncMs ?? 20);
    const lastMs = this.#syncEndMs.get(member.id) ?? 0;
    const dueMs = Math.max(lastMs, this.nowMs + syncMs);
    this.#syncEndMs.set(member.id, dueMs);
    const { life } = member;
    this.#at(dueMs, () => {
      if (member.life === life) {
        action();
        const sequence = member.persistedSequence;
        this.#step(member, { kind: "persisted", sequence });
      }
    });
  }

  #tickLater(member: SimulatedMember, life: number): void {
    const { tickMs } = this.#timing;
    this.#at(this.nowMs + tickMs, () => {
      if (member.life === life) {
        this.#step(member, { kind: "tick" });
        this.#tickLater(member, life);
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

  #takeDue(endMs: number): ScheduledAction | undefined {
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
