/**
 * The state of one member's core, and the effects that a step gathers.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { RandomSource } from "../../base/random_source.ts";
import {
  findVoter,
  type GroupConfiguration,
  type VoterEvidence,
} from "./group_configuration.ts";
import type { LeaderProgress } from "./leader_progress.ts";
import {
  entryBytes,
  type HardState,
  type LogEntry,
  type LogSnapshot,
} from "./log_entry.ts";
import { PersistTracker } from "./persist_tracker.ts";
import type {
  GroupMember,
  RaftEffect,
  RaftEventName,
  RaftInput,
} from "./raft_effect.ts";
import { RaftLog } from "./raft_log.ts";
import type { RaftMessage } from "./raft_message.ts";
import type { RaftMutation } from "./raft_mutation.ts";
import type { MemberRole } from "./replicated_log.ts";
import type { ReplicationTiming } from "./replication_timing.ts";

/** What the core is made from. */
export interface RaftCoreOptions {
  readonly selfId: InstanceId;
  /** Every member that is known, this one included; it may grow. */
  readonly members: readonly GroupMember[];
  /** Who forms the group; all voters of `members` if absent. */
  readonly founderIds?: readonly InstanceId[] | undefined;
  /** Members get a vote by themselves up to that many voters. */
  readonly wantedVoters?: number | undefined;
  readonly random: RandomSource;
  readonly timing: ReplicationTiming;
  /** What was persisted. */
  readonly hardState: HardState;
  readonly snapshot: LogSnapshot;
  readonly entries: readonly LogEntry[];
  readonly nowMs: number;
  /** Bytes a second that catch-up of a peer may take. */
  readonly catchUpBytesPerSecond: (peer: InstanceId) => number;
  /** @internal */
  readonly mutations?: ReadonlySet<RaftMutation>;
}

/** Votes that a candidate gathers. */
export interface Ballot {
  readonly isPreVote: boolean;
  readonly granted: Set<InstanceId>;
  /** Members that know of no leader and would vote if there is none. */
  readonly willing: Set<InstanceId>;
  /** Members that agreed as another than the voter that they were. */
  readonly successors: Set<InstanceId>;
}

/** A snapshot that is arriving in chunks. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly leaderId: InstanceId;
  readonly buffer: Uint8Array;
  receivedBytes: number;
}

/** Stamps that a member remembers having sent. */
const STAMPS_LIMIT = 64;

/** Mutable state that the modules of the core share. */
export class RaftState {
  readonly options: RaftCoreOptions;
  readonly log: RaftLog;
  readonly persists: PersistTracker;
  nowMs: number;

  incarnation: number;
  formationId: string | undefined;
  term: number;
  votedFor: InstanceId | undefined;

  role: MemberRole = "learner";
  leaderId: InstanceId | undefined;
  commitIndex: number;
  currentAtMs = 0;

  /** Till when this member gives no vote, as it promised its leader. */
  promiseEndMs: number;
  electionDueMs = Infinity;
  followDueMs = 0;
  ballot: Ballot | undefined;
  /** Elections since a leader was last known. */
  electionAttempts = 0;
  /** Voters whose state is gone, with the incarnation that is. */
  readonly forgotten = new Map<InstanceId, number>();
  /** Voters whose loss an operator took on. */
  readonly declaredLost = new Set<InstanceId>();
  /** The last answer to a leader's entries or heartbeat. */
  told: { term: number; index: number; atMs: number } | undefined;
  incoming: IncomingSnapshot | undefined;

  /** What the leader knows of each other member. */
  readonly progress = new Map<InstanceId, LeaderProgress>();
  /** The first entry of this leader's term. */
  termStartIndex = Infinity;
  leadsSinceMs = 0;
  /** About what this leader's entries take that await their commit. */
  pendingBytes = 0;
  /** When a durable voter last acknowledged something. */
  durableSeenMs = 0;

  /** Founders that pledged to the group which this one forms. */
  pledges = new Map<InstanceId, number>();
  pledgeFormationId: string | undefined;

  #effects: RaftEffect[] = [];
  #stamps: number[] = [];

  constructor(options: RaftCoreOptions) {
    this.options = options;
    this.nowMs = options.nowMs;
    this.incarnation = options.hardState.incarnation;
    this.formationId = options.hardState.formationId;
    this.term = options.hardState.term;
    this.votedFor = options.hardState.votedFor;
    this.log = new RaftLog(options.snapshot);
    for (const entry of options.entries) {
      this.log.append(entry);
    }
    this.commitIndex = options.snapshot.index;
    this.persists = new PersistTracker({
      hardState: options.hardState,
      lastIndex: this.log.lastIndex,
    });
    const keepsPromise = !this.hasMutation("promiseForgottenOnRestart");
    this.promiseEndMs = options.nowMs +
      (keepsPromise ? options.timing.leaderSilenceMs : 0);
  }

  get selfId(): InstanceId {
    return this.options.selfId;
  }

  get timing(): ReplicationTiming {
    return this.options.timing;
  }

  get configuration(): GroupConfiguration {
    return this.log.configuration;
  }

  get isFresh(): boolean {
    return this.formationId === undefined;
  }

  get isLeader(): boolean {
    return this.role === "leader";
  }

  /** This member as the settings name it. */
  get self(): GroupMember | undefined {
    return this.memberOf(this.selfId);
  }

  get hardState(): HardState {
    return {
      incarnation: this.incarnation,
      formationId: this.formationId,
      term: this.term,
      votedFor: this.votedFor,
    };
  }

  memberOf(id: InstanceId): GroupMember | undefined {
    return this.options.members.find((member) => member.id === id);
  }

  /** Whether this member, as it is now, has a vote by its own log. */
  isVoterNow(): boolean {
    const voter = findVoter(this.configuration, this.selfId);
    return voter?.incarnation === this.incarnation;
  }

  /**
   * Whether this member may be elected: it votes, or its removal isn't known
   * to be committed. In a group of two nobody else could then be elected, when
   * the other one lacks the entry that removes this one.
   */
  mayStand(): boolean {
    if (this.isVoterNow()) {
      return true;
    }
    const { configurationIndex } = this.log;
    const before = this.log.configurationAt(configurationIndex - 1);
    return configurationIndex > this.commitIndex &&
      findVoter(before, this.selfId)?.incarnation === this.incarnation;
  }

  isForgotten(id: InstanceId): boolean {
    const voter = findVoter(this.configuration, id);
    return voter !== undefined &&
      (this.forgotten.get(id) ?? -1) >= voter.incarnation;
  }

  /** Whether an operator vouches that the member is gone as it was. */
  isDeclaredLost(id: InstanceId): boolean {
    const isVoter = findVoter(this.configuration, id) !== undefined;
    return this.declaredLost.has(id) && (!isVoter || this.isForgotten(id));
  }

  /** Everyone who votes, or might by a change that isn't known here. */
  electorateIds(): InstanceId[] {
    const wanted = this.options.members
      .filter((member) => member.isVoter)
      .map((member) => member.id);
    const voting = this.configuration.voters.map((voter) => voter.id);
    return [...new Set([...wanted, ...voting])];
  }

  /** Evidence for quorums, given who agreed. */
  evidence(hasAgreed: (id: InstanceId) => boolean): VoterEvidence {
    return {
      hasAgreed,
      isForgotten: (id) => this.isForgotten(id),
      isDeclaredLost: (id) => this.declaredLost.has(id) && this.isForgotten(id),
    };
  }

  hasMutation(mutation: RaftMutation): boolean {
    return this.options.mutations?.has(mutation) === true;
  }

  /** A whole number of milliseconds between two bounds. */
  randomMs(minimumMs: number, maximumMs: number): number {
    return minimumMs + this.options.random.nextInt(maximumMs - minimumMs + 1);
  }

  /** A moment of this member's clock for its leader to send back. */
  makeStamp(): number {
    this.#stamps.push(this.nowMs);
    if (this.#stamps.length > STAMPS_LIMIT) {
      this.#stamps.shift();
    }
    return this.nowMs;
  }

  /** Whether the stamp was made by this very process, not long ago. */
  isOwnStamp(stampMs: number): boolean {
    return this.#stamps.includes(stampMs);
  }

  emit(effect: RaftEffect): void {
    this.#effects.push(effect);
  }

  event(
    name: RaftEventName,
    fields: Readonly<Record<string, string | number | boolean>> = {},
  ): void {
    this.emit({ kind: "event", name, fields });
  }

  /** Sends a message after all state changed so far has been persisted. */
  send(to: InstanceId, message: RaftMessage, toIncarnation: number): void {
    this.flush();
    const answersEarly = this.hasMutation("answersBeforeSync");
    this.emit({
      kind: "send",
      to,
      envelope: {
        ...(this.formationId === undefined
          ? {}
          : { formationId: this.formationId }),
        fromIncarnation: this.incarnation,
        toIncarnation,
        message,
      },
      afterSequence: answersEarly ? 0 : this.persists.sequenceFor(message),
    });
  }

  /** Issues what changed and isn't persisted yet. */
  flush(): void {
    const effect = this.persists.take(this.hardState);
    if (effect !== undefined) {
      this.emit(effect);
    }
  }

  /** The effects since the last call. */
  takeEffects(): RaftEffect[] {
    this.flush();
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  appendEntry(entry: LogEntry): void {
    this.log.append(entry);
    this.persists.addEntry(entry);
  }

  truncateFrom(index: number): void {
    this.log.truncateFrom(index);
    this.persists.truncateFrom(index);
  }

  /** Moves the commit index on and hands out what is committed. */
  commitTo(index: number): void {
    if (index <= this.commitIndex) {
      return;
    }
    const entries = this.log.range(this.commitIndex + 1, index);
    this.commitIndex = index;
    for (const entry of entries) {
      this.pendingBytes = Math.max(0, this.pendingBytes - entryBytes(entry));
    }
    this.emit({ kind: "commit", entries });
  }
}

/** The input of one kind. */
export type RaftInputOf<Kind extends RaftInput["kind"]> = Extract<
  RaftInput,
  { kind: Kind }
>;
