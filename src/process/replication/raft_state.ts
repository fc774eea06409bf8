/**
 * The state of one member's core, and the effects collected during a step.
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

/** Options of the core. */
export interface RaftCoreOptions {
  readonly selfId: InstanceId;
  /** Every known member, this one included; it may grow. */
  readonly members: readonly GroupMember[];
  /** The members that form the group; all voters of `members` if absent. */
  readonly founderIds?: readonly InstanceId[] | undefined;
  /** Members become voters automatically up to this number of voters. */
  readonly wantedVoters?: number | undefined;
  readonly random: RandomSource;
  readonly timing: ReplicationTiming;
  /** The persisted state. */
  readonly hardState: HardState;
  readonly snapshot: LogSnapshot;
  readonly entries: readonly LogEntry[];
  readonly nowMs: number;
  /** Initially {@link RaftState.steadyMs}; `nowMs` by default. */
  readonly steadyMs?: number;
  /** Bytes per second that catching up a peer may take. */
  readonly catchUpBytesPerSecond: (peer: InstanceId) => number;
  /** @internal */
  readonly mutations?: ReadonlySet<RaftMutation>;
}

/** The votes that a candidate has received. */
export interface VoteTally {
  readonly isPreVote: boolean;
  readonly granted: Set<InstanceId>;
  /** Members that know of no leader and would vote if none exists. */
  readonly willing: Set<InstanceId>;
  /** Members that agreed, but aren't voters in their current incarnation. */
  readonly withoutVote: Set<InstanceId>;
}

/** A snapshot that is being received in chunks. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly leaderId: InstanceId;
  readonly buffer: Uint8Array;
  receivedBytes: number;
}

/** Older timestamps are no longer recognized as this member's own. */
const ISSUED_TIMESTAMPS_LIMIT = 64;

/** Mutable state that the modules of the core share. */
export class RaftState {
  readonly options: RaftCoreOptions;
  readonly log: RaftLog;
  readonly persistTracker: PersistTracker;
  /** Never falls behind the time that has passed; one's own lease ends by it. */
  nowMs: number;
  /** Never runs ahead; another member's lease is waited out by it. */
  steadyMs: number;

  incarnation: number;
  formationId: string | undefined;
  term: number;
  votedFor: InstanceId | undefined;
  /** The stored ones first: the settings name none after a restart. */
  readonly founderIds: readonly InstanceId[] | undefined;

  role: MemberRole = "learner";
  leaderId: InstanceId | undefined;
  commitIndex: number;
  currentAtMs = 0;

  /**
   * This member grants no vote until then, by {@link steadyMs}: its leader may
   * hold a lease.
   */
  withholdVotesUntilMs: number;
  electionDueMs = Infinity;
  /** When the next `follow` or `formRequest` messages are due. */
  followDueMs = 0;
  tally: VoteTally | undefined;
  /** Elections since a leader was last known, pre-votes not counted. */
  electionAttempts = 0;
  /** Voters that lost their state, each with the incarnation that is lost. */
  readonly lostIncarnations = new Map<InstanceId, number>();
  /** Members whose loss an operator has declared. */
  readonly declaredLost = new Set<InstanceId>();
  /** The last reply to a leader's entries or heartbeat. */
  lastAppendReply: { term: number; index: number; atMs: number } | undefined;
  incoming: IncomingSnapshot | undefined;

  /** The leader's view of each other member. */
  readonly progress = new Map<InstanceId, LeaderProgress>();
  /** The first entry of this leader's term. */
  termStartIndex = Infinity;
  leaderSinceMs = 0;
  /**
   * Time in which this member has processed its messages: of a longer pause only
   * a part counts. Others are judged silent by it.
   */
  attendedMs = 0;
  /** The approximate size of this leader's uncommitted entries, in bytes. */
  pendingBytes = 0;
  /** When a durable voter last replied. */
  lastDurableReplyMs = 0;

  /**
   * Founders, with incarnations, that confirmed the group that this one forms.
   */
  confirmedFounders = new Map<InstanceId, number>();
  proposedFormationId: string | undefined;

  /** The last configuration whose voters were reported. */
  #reportedConfiguration: GroupConfiguration | undefined;
  #effects: RaftEffect[] = [];
  #issuedTimestamps: number[] = [];

  constructor(options: RaftCoreOptions) {
    this.options = options;
    this.nowMs = options.nowMs;
    this.steadyMs = options.steadyMs ?? options.nowMs;
    this.incarnation = options.hardState.incarnation;
    this.formationId = options.hardState.formationId;
    this.term = options.hardState.term;
    this.votedFor = options.hardState.votedFor;
    this.founderIds = options.hardState.founderIds ?? options.founderIds;
    this.log = new RaftLog(options.snapshot);
    for (const entry of options.entries) {
      this.log.append(entry);
    }
    this.commitIndex = options.snapshot.index;
    this.persistTracker = new PersistTracker({
      hardState: options.hardState,
      lastIndex: this.log.lastIndex,
    });
    const withholdsVotes = !this.hasMutation("votesRightAfterRestart");
    this.withholdVotesUntilMs = this.steadyMs +
      (withholdsVotes ? options.timing.leaderSilenceMs : 0);
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

  /** Whether this member has no group state. */
  get isFresh(): boolean {
    return this.formationId === undefined;
  }

  get isLeader(): boolean {
    return this.role === "leader";
  }

  /** This member's own configuration. */
  get self(): GroupMember | undefined {
    return this.findMember(this.selfId);
  }

  get hardState(): HardState {
    return {
      incarnation: this.incarnation,
      formationId: this.formationId,
      term: this.term,
      votedFor: this.votedFor,
      founderIds: this.isFresh ? this.founderIds : undefined,
    };
  }

  findMember(id: InstanceId): GroupMember | undefined {
    return this.options.members.find((member) => member.id === id);
  }

  /** Reports a member that was named, so that its owner can connect to it. */
  reportMember(id: InstanceId): void {
    if (id !== this.selfId) {
      this.emit({ kind: "memberDiscovered", id });
    }
  }

  /** Whether this member's log lists its current incarnation as a voter. */
  isVoterNow(): boolean {
    const voter = findVoter(this.configuration, this.selfId);
    return voter?.incarnation === this.incarnation;
  }

  /**
   * Whether this member may be elected: it is a voter, or its removal isn't
   * known to be committed. If only voters were electable, a group of two might
   * get no leader: the other member can't be elected if its log lacks the entry
   * that removes this one, as an older log gets no votes.
   */
  isElectable(): boolean {
    if (this.isVoterNow()) {
      return true;
    }
    const { configurationIndex } = this.log;
    const before = this.log.configurationAt(configurationIndex - 1);
    return configurationIndex > this.commitIndex &&
      findVoter(before, this.selfId)?.incarnation === this.incarnation;
  }

  hasLostState(id: InstanceId): boolean {
    const voter = findVoter(this.configuration, id);
    return voter !== undefined &&
      (this.lostIncarnations.get(id) ?? -1) >= voter.incarnation;
  }

  /**
   * Whether an operator declared the member lost; for a voter, whether that
   * applies to the incarnation in the configuration.
   */
  isDeclaredLost(id: InstanceId): boolean {
    const isVoter = findVoter(this.configuration, id) !== undefined;
    return this.declaredLost.has(id) && (!isVoter || this.hasLostState(id));
  }

  /**
   * All voters, and members that a change unknown here may have made voters.
   */
  electorateIds(): InstanceId[] {
    const configuredIds = this.options.members
      .filter((member) => member.isVoter)
      .map((member) => member.id);
    const voterIds = this.configuration.voters.map((voter) => voter.id);
    return [...new Set([...configuredIds, ...voterIds])];
  }

  /** Evidence for quorum checks, given which voters agreed. */
  evidence(hasAgreed: (id: InstanceId) => boolean): VoterEvidence {
    return {
      hasAgreed,
      hasLostState: (id) => this.hasLostState(id),
      isDeclaredLost: (id) =>
        this.declaredLost.has(id) && this.hasLostState(id),
    };
  }

  hasMutation(mutation: RaftMutation): boolean {
    return this.options.mutations?.has(mutation) === true;
  }

  /** A random whole number of milliseconds between two bounds. */
  randomMs(minimumMs: number, maximumMs: number): number {
    return minimumMs + this.options.random.nextInt(maximumMs - minimumMs + 1);
  }

  /** A timestamp of this member's clock for its leader to echo. */
  issueTimestamp(): number {
    this.#issuedTimestamps.push(this.nowMs);
    if (this.#issuedTimestamps.length > ISSUED_TIMESTAMPS_LIMIT) {
      this.#issuedTimestamps.shift();
    }
    return this.nowMs;
  }

  /** Whether this process issued the timestamp, not long ago. */
  isOwnTimestamp(stampMs: number): boolean {
    return this.#issuedTimestamps.includes(stampMs);
  }

  emit(effect: RaftEffect): void {
    this.#effects.push(effect);
  }

  emitEvent(
    name: RaftEventName,
    fields: Readonly<Record<string, string | number | boolean>> = {},
  ): void {
    this.emit({ kind: "event", name, fields });
  }

  /** Sends a message once the state that it depends on has been persisted. */
  send(to: InstanceId, message: RaftMessage, toIncarnation: number): void {
    this.flush();
    const sendsEarly = this.hasMutation("answersBeforeSync");
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
      afterSequence: sendsEarly ? 0 : this.persistTracker.sequenceFor(message),
    });
  }

  /** Emits a persist effect for changes that have none yet. */
  flush(): void {
    const effect = this.persistTracker.take(this.hardState, this.nowMs);
    if (effect !== undefined) {
      this.emit(effect);
    }
  }

  /** Returns and clears the effects since the last call. */
  takeEffects(): RaftEffect[] {
    this.#reportVoters();
    this.flush();
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #reportVoters(): void {
    const { configuration } = this;
    if (configuration !== this.#reportedConfiguration) {
      this.#reportedConfiguration = configuration;
      configuration.voters.forEach(({ id }) => this.reportMember(id));
    }
  }

  appendEntry(entry: LogEntry): void {
    this.log.append(entry);
    this.persistTracker.addEntry(entry);
  }

  truncateFrom(index: number): void {
    this.log.truncateFrom(index);
    this.persistTracker.truncateFrom(index);
  }

  /** Advances the commit index and emits the newly committed entries. */
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
