/**
 * One member of a simulated group: its core, its drifting clock, its disk and a
 * state machine that is a list of commands.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import type { RandomSource } from "../../../base/random_source.ts";
import type { HardState, LogEntry, LogSnapshot } from "../log_entry.ts";
import { RaftCore } from "../raft_core.ts";
import type {
  GroupMember,
  PersistEffect,
  RaftEffect,
  RaftInput,
  SendEffect,
} from "../raft_effect.ts";
import { EMPTY_SNAPSHOT } from "../raft_log.ts";
import type { RaftMutation } from "../raft_mutation.ts";
import type { ReplicationTiming } from "../replication_timing.ts";

/** What survives a crash. */
interface SimulatedDisk {
  hardState: HardState | undefined;
  snapshot: LogSnapshot;
  entries: LogEntry[];
}

/** A clock that runs slightly fast or slow. */
export interface DriftingClock {
  readonly rate: number;
  readonly offsetMs: number;
}

/** Callbacks from a member to the simulation. */
export interface MemberListener {
  onSend(member: SimulatedMember, effect: SendEffect): void;
  onCommit(member: SimulatedMember, entry: LogEntry): void;
  onRestore(member: SimulatedMember, commands: readonly number[]): void;
  onAppended(
    member: SimulatedMember,
    appended: { token: number; index: number; term: number },
  ): void;
  /** Runs the action later, unless the member crashes first. */
  schedule(member: SimulatedMember, action: () => void): void;
}

/** Options of {@link SimulatedMember}. */
export interface SimulatedMemberOptions {
  readonly self: GroupMember;
  readonly members: readonly GroupMember[];
  readonly clock: DriftingClock;
  readonly random: RandomSource;
  readonly timing: ReplicationTiming;
  readonly mutations: ReadonlySet<RaftMutation>;
  readonly listener: MemberListener;
  readonly founderIds?: readonly string[] | undefined;
  readonly wantedVoters?: number | undefined;
}

/** A member that can crash, lose its state and restart. */
export class SimulatedMember {
  readonly options: SimulatedMemberOptions;
  core: RaftCore | undefined;
  /** Counts starts and crashes; actions of earlier generations are dropped. */
  generation = 0;
  commands: number[] = [];
  appliedIndex = 0;
  startedAtMs = 0;
  #snapshotIndex = 0;
  #disk: SimulatedDisk = emptyDisk();
  #lastIncarnation: number | undefined;
  #inputs: RaftInput[] = [];
  #heldMessages: SendEffect[] = [];
  #persistedSequence = 0;
  /** Writes that a disk fault may still complete, in order. */
  #pendingPersists: PersistEffect[] = [];
  #isSuspended = false;

  constructor(options: SimulatedMemberOptions) {
    this.options = options;
  }

  get id(): string {
    return this.options.self.id;
  }

  /** The last persist effect that is durable. */
  get persistedSequence(): number {
    return this.#persistedSequence;
  }

  /** The reading of this member's clock at a true time. */
  clockMs(trueMs: number): number {
    const { rate, offsetMs } = this.options.clock;
    return offsetMs + trueMs * rate;
  }

  /** The true time at which this member's clock has a reading. */
  trueMs(clockMs: number): number {
    const { rate, offsetMs } = this.options.clock;
    return (clockMs - offsetMs) / rate;
  }

  start(trueMs: number): void {
    this.#openCore(trueMs);
    this.#restore(this.#disk.snapshot);
  }

  /** Whether the disk has failed and not been repaired. */
  get isSuspended(): boolean {
    return this.#isSuspended;
  }

  /**
   * Fails the disk. Of the writes in progress the first few may have reached
   * it, without having been acknowledged.
   */
  failDisk(trueMs: number): void {
    this.step({ kind: "diskFailed" }, trueMs);
    const { random } = this.options;
    const completed = random.nextInt(this.#pendingPersists.length + 1);
    for (const effect of this.#pendingPersists.slice(0, completed)) {
      applyPersist(this.#disk, effect);
    }
    this.core = undefined;
    this.generation += 1;
    this.#isSuspended = true;
  }

  /** Loads the log again; what was applied stays applied. */
  repairDisk(trueMs: number): void {
    this.#openCore(trueMs);
    this.#restoreIfNewer(this.#disk.snapshot);
  }

  #openCore(trueMs: number): void {
    const { options } = this;
    const disk = this.#disk;
    this.generation += 1;
    this.startedAtMs = trueMs;
    this.#isSuspended = false;
    this.#heldMessages = [];
    this.#pendingPersists = [];
    this.#persistedSequence = 0;
    const nowMs = this.clockMs(trueMs);
    disk.hardState ??= this.#newHardState(nowMs);
    this.#lastIncarnation = disk.hardState.incarnation;
    const forgetsVote = options.mutations.has("forgetsVoteAtDiskFault");
    this.core = new RaftCore({
      selfId: this.id,
      members: options.members,
      founderIds: options.founderIds,
      wantedVoters: options.wantedVoters,
      random: options.random,
      timing: options.timing,
      hardState: forgetsVote
        ? { ...disk.hardState, votedFor: undefined }
        : disk.hardState,
      snapshot: disk.snapshot,
      entries: disk.entries,
      nowMs,
      catchUpBytesPerSecond: () => 1e9,
      mutations: options.mutations,
    });
  }

  /** Stops the process; a member without a disk loses its state. */
  crash(): void {
    this.core = undefined;
    this.#isSuspended = false;
    this.generation += 1;
    if (!this.options.self.isDurable) {
      this.eraseDisk();
    }
  }

  eraseDisk(): void {
    this.#disk = emptyDisk();
  }

  step(input: RaftInput, trueMs: number): void {
    this.#inputs.push(input);
    if (this.#inputs.length > 1) {
      return;
    }
    for (let next = input; next !== undefined; next = this.#inputs[0]!) {
      const effects = this.core?.step([next], this.clockMs(trueMs)) ?? [];
      for (const effect of effects) {
        this.#execute(effect, trueMs);
      }
      this.#inputs.shift();
    }
  }

  #newHardState(nowMs: number): HardState {
    const mutated = this.options.mutations.has("lostMemberKeepsIncarnation");
    const incarnation = mutated && this.#lastIncarnation !== undefined
      ? this.#lastIncarnation
      : Math.floor(nowMs) * 1_024 + this.options.random.nextInt(1_024);
    return {
      incarnation,
      formationId: undefined,
      term: 0,
      votedFor: undefined,
    };
  }

  #execute(effect: RaftEffect, trueMs: number): void {
    const { listener } = this.options;
    switch (effect.kind) {
      case "send":
        if (effect.afterSequence <= this.#persistedSequence) {
          return listener.onSend(this, effect);
        }
        return void this.#heldMessages.push(effect);
      case "persist":
        this.#pendingPersists.push(effect);
        return listener.schedule(this, () => this.#completePersist(effect));
      case "commit":
        for (const entry of effect.entries) {
          this.#apply(entry);
        }
        return this.#snapshotIfDue(trueMs);
      case "restore":
        if (this.#restoreIfNewer(effect.snapshot)) {
          listener.onRestore(this, this.commands);
        }
        return;
      case "proposalAppended":
        return listener.onAppended(this, effect);
      case "proposalRejected":
      case "memberDiscovered":
      case "event":
        return;
    }
  }

  #completePersist(effect: PersistEffect): void {
    applyPersist(this.#disk, effect);
    this.#pendingPersists.shift();
    this.#persistedSequence = effect.sequence;
    const ready = this.#heldMessages.filter((send) =>
      send.afterSequence <= effect.sequence
    );
    this.#heldMessages = this.#heldMessages.filter((send) =>
      send.afterSequence > effect.sequence
    );
    for (const send of ready) {
      this.options.listener.onSend(this, send);
    }
  }

  #apply(entry: LogEntry): void {
    if (entry.index <= this.appliedIndex) {
      return;
    }
    this.appliedIndex = entry.index;
    if (entry.kind === "command") {
      this.commands.push(unpack(entry.data) as number);
    }
    this.options.listener.onCommit(this, entry);
  }

  #restoreIfNewer(snapshot: LogSnapshot): boolean {
    const isNewer = snapshot.index > this.appliedIndex;
    if (isNewer) {
      this.#restore(snapshot);
    }
    this.#snapshotIndex = snapshot.index;
    return isNewer;
  }

  #restore(snapshot: LogSnapshot): void {
    this.appliedIndex = snapshot.index;
    this.#snapshotIndex = snapshot.index;
    this.commands = snapshot.data.byteLength === 0
      ? []
      : unpack(snapshot.data) as number[];
  }

  #snapshotIfDue(trueMs: number): void {
    const { snapshotEntries } = this.options.timing;
    if (this.appliedIndex - this.#snapshotIndex < snapshotEntries) {
      return;
    }
    this.#snapshotIndex = this.appliedIndex;
    const data = pack(this.commands);
    this.step({ kind: "snapshotMade", index: this.appliedIndex, data }, trueMs);
  }
}

function emptyDisk(): SimulatedDisk {
  return { hardState: undefined, snapshot: EMPTY_SNAPSHOT, entries: [] };
}

function applyPersist(disk: SimulatedDisk, effect: PersistEffect): void {
  if (effect.snapshot !== undefined) {
    const { index } = effect.snapshot;
    disk.snapshot = effect.snapshot;
    disk.entries = effect.replacesEntries
      ? []
      : disk.entries.filter((entry) => entry.index > index);
  }
  if (effect.hardState !== undefined) {
    disk.hardState = effect.hardState;
  }
  for (const entry of effect.entries) {
    if (entry.index > disk.snapshot.index) {
      disk.entries = disk.entries.filter((stored) =>
        stored.index < entry.index
      );
      disk.entries.push(entry);
    }
  }
}
