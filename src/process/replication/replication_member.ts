/**
 * One member of a replicated group: the pure core bound to the network, the
 * disk and the clock.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import type { Stream } from "most";
import { Right } from "purify-ts/Either";
import { Channel } from "../../base/channel.ts";
import type { Clock, Timer } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { RandomSource } from "../../base/random_source.ts";
import {
  failure,
  type Result,
  type SesameError,
} from "../../base/sesame_error.ts";
import type { Storage } from "../../base/storage.ts";
import type {
  PeerChannel,
  PeerNetwork,
} from "../../connection/peer_network.ts";
import type { LogEntry, LogSnapshot } from "./log_entry.ts";
import { LogStore, type StoredLog } from "./log_store.ts";
import { openStore } from "./member_opening.ts";
import { PeerCalls, SeenCalls } from "./peer_calls.ts";
import { PersistPump } from "./persist_pump.ts";
import {
  type ProposalEnd,
  type ProposalListener,
  ProposalTable,
} from "./proposal_table.ts";
import { RaftCore } from "./raft_core.ts";
import type { GroupMember, RaftEffect, RaftInput } from "./raft_effect.ts";
import {
  decodeEnvelope,
  type RaftEnvelope,
  type RaftMessage,
  type RaftMessageOf,
} from "./raft_message.ts";
import type { RaftMutation } from "./raft_mutation.ts";
import type {
  MemberStatus,
  ReplicatedLog,
  StateMachine,
} from "./replicated_log.ts";
import {
  REPLICATION_TIMING,
  type ReplicationTiming,
} from "./replication_timing.ts";

/** Between two looks at whether a waiting command can go on. */
const RETRY_MS = 25;

/** What a member is made from. */
export interface ReplicationMemberOptions<Command, Outcome> {
  /** The group's name, the same on every member. */
  readonly groupId: string;
  /** Every member of the group, this one included; the same everywhere. */
  readonly members: readonly GroupMember[];
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly machine: StateMachine<Command, Outcome>;
  /** The data folder; absent for a member that keeps nothing. */
  readonly storage?: Storage | undefined;
  readonly events?: EventLog;
  readonly timing?: Partial<ReplicationTiming>;
  /** Bytes a second that catch-up of a peer may take; unlimited if absent. */
  readonly catchUpBytesPerSecond?: (peer: InstanceId) => number;
  /** @internal */
  readonly mutations?: ReadonlySet<RaftMutation>;
}

/** A change of who votes, by an operator. */
export type MemberChange =
  | { readonly kind: "add"; readonly id: InstanceId }
  | { readonly kind: "remove"; readonly id: InstanceId };

/** Bytes a second for catch-up where no budget is set. */
const UNLIMITED_BYTES_PER_SECOND = 1e12;

/** A hold on the group's log; open one with {@link ReplicationMember.open}. */
export class ReplicationMember<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  #options: ReplicationMemberOptions<Command, Outcome>;
  #core: RaftCore;
  #pump: PersistPump;
  #channel: PeerChannel<RaftEnvelope>;
  #statuses = new Channel<MemberStatus>();
  #proposals = new ProposalTable<Outcome>();
  #calls: PeerCalls;
  #seen = new SeenCalls();
  #timers: Timer[] = [];
  #subscription: { unsubscribe(): void };
  #inputs: RaftInput[] = [];
  #isStepping = false;
  #isClosed = false;
  #failure: SesameError | undefined;
  #appliedIndex: number;
  #snapshotIndex: number;
  #bytesSinceSnapshot = 0;
  #lastStatusKey = "";

  /** Reads what the disk holds and takes part in the group. */
  static async open<Command, Outcome>(
    options: ReplicationMemberOptions<Command, Outcome>,
  ): Promise<Result<ReplicationMember<Command, Outcome>>> {
    const store = options.storage === undefined ? undefined : new LogStore({
      storage: options.storage,
      groupId: options.groupId,
    });
    const opened = await openStore({ ...options, store });
    return opened.chain((log) => {
      const { index, data } = log.snapshot;
      const restored: Result<void> = index === 0
        ? Right(undefined)
        : options.machine.restore(data);
      return restored.map(() => new ReplicationMember(options, { log, store }));
    });
  }

  private constructor(
    options: ReplicationMemberOptions<Command, Outcome>,
    opened: { log: StoredLog; store: LogStore | undefined },
  ) {
    this.#options = options;
    const { clock, network } = options;
    const timing = { ...REPLICATION_TIMING, ...options.timing };
    this.#calls = new PeerCalls({ nowMs: clock.nowMs() });
    this.#appliedIndex = opened.log.snapshot.index;
    this.#snapshotIndex = opened.log.snapshot.index;
    this.#core = new RaftCore({
      selfId: network.selfId,
      members: options.members,
      random: options.random,
      timing,
      ...opened.log,
      nowMs: clock.nowMs(),
      catchUpBytesPerSecond: options.catchUpBytesPerSecond ??
        (() => UNLIMITED_BYTES_PER_SECOND),
      ...(options.mutations === undefined
        ? {}
        : { mutations: options.mutations }),
    });
    this.#channel = network.channel({
      name: `replication.${options.groupId}`,
      decode: decodeEnvelope,
    });
    this.#pump = new PersistPump({
      store: opened.store,
      send: (effect) => void this.#channel.send(effect.to, effect.envelope),
      onPersisted: (sequence) => this.#step({ kind: "persisted", sequence }),
      onFailure: (error) => this.#fail(error),
    });
    this.#subscription = this.#channel.received.subscribe({
      next: ({ from, message }) => this.#receive(from, message),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#timers.push(
      clock.every(timing.tickMs, () => this.#step({ kind: "tick" })),
    );
    this.#step({ kind: "tick" });
  }

  get statuses(): Stream<MemberStatus> {
    return this.#statuses.stream;
  }

  status(): MemberStatus {
    const nowMs = this.#options.clock.nowMs();
    const { view } = this.#core;
    const voterIds = view.configuration.voters.map((voter) => voter.id);
    const isStopped = this.#isClosed || this.#failure !== undefined;
    return {
      groupId: this.#options.groupId,
      role: isStopped ? "learner" : view.role,
      term: view.term,
      leaderId: view.leaderId,
      commitIndex: view.commitIndex,
      appliedIndex: this.#appliedIndex,
      leaseEndMs: isStopped ? 0 : this.#core.leaseEndMs(nowMs),
      currentAtMs: this.#core.currentAtMs(nowMs),
      voterIds,
      learnerIds: this.#options.members
        .map((member) => member.id)
        .filter((id) => !voterIds.includes(id)),
    };
  }

  async propose(
    command: Command,
    options: { deadlineMs: number },
  ): Promise<Result<Outcome>> {
    const data = pack(command);
    for (;;) {
      const refusal = this.#refusal(options.deadlineMs);
      if (refusal !== undefined) {
        return refusal;
      }
      const end = await this.#tryPropose(data, options.deadlineMs);
      switch (end.kind) {
        case "applied":
          return Right(end.outcome);
        case "unknown":
          return failure("outcomeUnknown");
        case "notAppended":
        case "discarded":
          await this.#pause(RETRY_MS);
      }
    }
  }

  async readBarrier(options: { deadlineMs: number }): Promise<Result<void>> {
    let index: number | undefined;
    for (;;) {
      const refusal = this.#refusal(options.deadlineMs);
      if (refusal !== undefined) {
        return refusal;
      }
      index ??= await this.#readIndex(options.deadlineMs);
      if (index !== undefined && this.#appliedIndex >= index) {
        return Right(undefined);
      }
      await this.#pause(RETRY_MS);
    }
  }

  /** Changes who votes; done once it is committed. */
  async changeMembers(
    change: MemberChange,
    options: { deadlineMs: number },
  ): Promise<Result<void>> {
    for (;;) {
      const refusal = this.#refusal(options.deadlineMs);
      if (refusal !== undefined) {
        return refusal;
      }
      const { view } = this.#core;
      const isVoter = view.configuration.voters.some((voter) =>
        voter.id === change.id
      );
      const isRemoved = view.configuration.removedIds.includes(change.id);
      const isDone = change.kind === "add" ? isVoter : !isVoter && isRemoved;
      if (isDone && view.log.configurationIndex <= view.commitIndex) {
        return Right(undefined);
      }
      if (!isDone && this.#core.isLeaseHeld(this.#options.clock.nowMs())) {
        const kind = change.kind === "add" ? "addMember" : "removeMember";
        this.#step({ kind, id: change.id });
      }
      await this.#pause(RETRY_MS);
    }
  }

  /**
   * An operator vouches that a voter's state is gone and that it will not
   * come back with it; see docs/operator/recovery.md.
   */
  declareLost(id: InstanceId): void {
    this.#step({ kind: "declareLost", id });
  }

  async handOver(): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.nowMs() + REPLICATION_TIMING.resendMs;
    while (this.#core.view.role === "leader" && clock.nowMs() < endMs) {
      this.#step({ kind: "handOver" });
      if (this.#core.view.role === "leader") {
        await this.#pause(RETRY_MS);
      }
    }
  }

  close(): Promise<void> {
    this.#stop();
    this.#isClosed = true;
    return Promise.resolve();
  }

  #stop(): void {
    for (const timer of this.#timers) {
      timer.close();
    }
    this.#pump.stop();
    this.#subscription.unsubscribe();
    this.#channel.close();
    this.#proposals.endAll();
    this.#calls.endAll();
    this.#statuses.close();
  }

  /** The disk failed: from now on this member says nothing. */
  #fail(error: SesameError): void {
    this.#failure = error;
    this.#event("replicationStopped", { detail: error.message });
    this.#stop();
  }

  #refusal(deadlineMs: number): Result<never> | undefined {
    if (this.#isClosed) {
      return failure("shuttingDown");
    }
    if (this.#failure !== undefined) {
      return failure("unavailable", { detail: this.#failure.message });
    }
    if (this.#options.clock.nowMs() >= deadlineMs) {
      return failure("unavailable");
    }
    return undefined;
  }

  #pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(delayMs, resolve);
    });
  }

  /** Whether a command may go into this member's log now. */
  #mayServe(): boolean {
    return this.#core.isLeaseHeld(this.#options.clock.nowMs()) &&
      this.#core.isRedundant();
  }

  #tryPropose(
    data: Uint8Array,
    deadlineMs: number,
  ): Promise<ProposalEnd<Outcome>> {
    const { leaderId, role, term } = this.#core.view;
    if (role === "leader") {
      return this.#withDeadline(deadlineMs, (listener) => {
        this.#proposeHere(data, listener);
        return () => undefined;
      });
    }
    if (leaderId === undefined) {
      return Promise.resolve({ kind: "notAppended" });
    }
    return this.#withDeadline(deadlineMs, (listener) => {
      const id = this.#calls.open((answer) => listener(readEnd(answer)));
      if (!this.#tell(leaderId, { kind: "propose", id, term, data })) {
        listener({ kind: "notAppended" });
      }
      return () => this.#calls.abandon(id);
    });
  }

  async #withDeadline(
    deadlineMs: number,
    begin: (listener: ProposalListener<Outcome>) => () => void,
  ): Promise<ProposalEnd<Outcome>> {
    const { clock } = this.#options;
    let forget = () => undefined as void;
    const end = await new Promise<ProposalEnd<Outcome>>((resolve) => {
      const timer = clock.after(
        deadlineMs - clock.nowMs(),
        () => resolve({ kind: "unknown" }),
      );
      forget = begin((found) => {
        timer.close();
        resolve(found);
      });
    });
    forget();
    return end;
  }

  #proposeHere(data: Uint8Array, listener: ProposalListener<Outcome>): void {
    if (!this.#mayServe()) {
      listener({ kind: "notAppended" });
      return;
    }
    const token = this.#proposals.add(listener);
    this.#step({ kind: "propose", token, data });
  }

  async #readIndex(deadlineMs: number): Promise<number | undefined> {
    const { leaderId, role, commitIndex } = this.#core.view;
    const { clock } = this.#options;
    if (role === "leader") {
      return this.#core.isLeaseHeld(clock.nowMs()) ? commitIndex : undefined;
    }
    if (leaderId === undefined) {
      return undefined;
    }
    return await new Promise((resolve) => {
      const id = this.#calls.open((answer) => {
        timer.close();
        resolve(answer?.kind === "readReply" ? answer.index : undefined);
      });
      const waitMs = Math.min(
        deadlineMs - clock.nowMs(),
        REPLICATION_TIMING.resendMs,
      );
      const timer = clock.after(waitMs, () => {
        this.#calls.abandon(id);
        resolve(undefined);
      });
      this.#tell(leaderId, { kind: "read", id });
    });
  }

  /** Sends a message that needs nothing persisted. */
  #tell(to: InstanceId, message: RaftMessage): boolean {
    const { formationId, incarnation } = this.#core.view;
    return this.#channel.send(to, {
      ...(formationId === undefined ? {} : { formationId }),
      fromIncarnation: incarnation,
      toIncarnation: 0,
      message,
    });
  }

  #receive(from: InstanceId, envelope: RaftEnvelope): void {
    const { message } = envelope;
    switch (message.kind) {
      case "propose":
        return this.#serveProposal(from, envelope, message);
      case "read":
        return this.#serveRead(from, envelope, message);
      case "proposeReply":
      case "readReply":
        return this.#calls.answer(message);
      default:
        this.#step({ kind: "message", from, envelope });
    }
  }

  #isOwnGroup(envelope: RaftEnvelope): boolean {
    const { formationId } = this.#core.view;
    return formationId !== undefined && envelope.formationId === formationId;
  }

  #serveProposal(
    from: InstanceId,
    envelope: RaftEnvelope,
    message: RaftMessageOf<"propose">,
  ): void {
    const isNew = this.#seen.isNew(from, message.id);
    if (!isNew || !this.#isOwnGroup(envelope)) {
      return;
    }
    const { id } = message;
    const listener = (end: ProposalEnd<Outcome>) => {
      const outcome = end.kind === "applied" ? pack(end.outcome) : NO_BYTES;
      this.#tell(from, {
        kind: "proposeReply",
        id,
        status: end.kind,
        data: outcome,
      });
    };
    if (message.term === this.#core.view.term) {
      this.#proposeHere(message.data, listener);
    } else {
      listener({ kind: "notAppended" });
    }
  }

  #serveRead(
    from: InstanceId,
    envelope: RaftEnvelope,
    message: RaftMessageOf<"read">,
  ): void {
    if (!this.#isOwnGroup(envelope)) {
      return;
    }
    const isHeld = this.#core.isLeaseHeld(this.#options.clock.nowMs());
    this.#tell(from, {
      kind: "readReply",
      id: message.id,
      ...(isHeld ? { index: this.#core.view.commitIndex } : {}),
    });
  }

  #step(input: RaftInput): void {
    if (this.#isClosed || this.#failure !== undefined) {
      return;
    }
    this.#inputs.push(input);
    if (this.#isStepping) {
      return;
    }
    this.#isStepping = true;
    while (this.#inputs.length > 0) {
      const inputs = this.#inputs;
      this.#inputs = [];
      const effects = this.#core.step(inputs, this.#options.clock.nowMs());
      for (const effect of effects) {
        this.#carryOut(effect);
      }
    }
    this.#isStepping = false;
    this.#publishStatus();
  }

  #carryOut(effect: RaftEffect): void {
    switch (effect.kind) {
      case "send":
        return this.#pump.send(effect);
      case "persist":
        return this.#pump.persist(effect);
      case "commit":
        for (const entry of effect.entries) {
          this.#apply(entry);
        }
        return this.#snapshotIfDue();
      case "restore":
        return this.#restore(effect.snapshot);
      case "proposalTaken":
        return this.#proposals.markLogged(effect.token, effect);
      case "proposalRefused":
        return this.#proposals.markRefused(effect.token);
      case "event":
        return this.#event(effect.name, effect.fields);
    }
  }

  #apply(entry: LogEntry): void {
    this.#appliedIndex = entry.index;
    this.#bytesSinceSnapshot += entry.data.byteLength;
    const { index, term } = entry;
    const command = entry.kind === "command"
      ? { outcome: this.#applyCommand(entry) }
      : undefined;
    this.#proposals.markApplied(index, { term, command });
  }

  #applyCommand(entry: LogEntry): Outcome {
    const command = unpack(entry.data) as Command;
    return this.#options.machine.apply(command, entry.index);
  }

  #restore(snapshot: LogSnapshot): void {
    const restored = this.#options.machine.restore(snapshot.data);
    restored.ifLeft((error) => this.#fail(error));
    this.#appliedIndex = snapshot.index;
    this.#snapshotIndex = snapshot.index;
    this.#bytesSinceSnapshot = 0;
    this.#proposals.markSkipped(snapshot.index);
  }

  #snapshotIfDue(): void {
    const timing = { ...REPLICATION_TIMING, ...this.#options.timing };
    const entries = this.#appliedIndex - this.#snapshotIndex;
    const isDue = entries >= timing.snapshotEntries ||
      this.#bytesSinceSnapshot >= timing.snapshotBytes;
    if (!isDue) {
      return;
    }
    this.#snapshotIndex = this.#appliedIndex;
    this.#bytesSinceSnapshot = 0;
    this.#step({
      kind: "snapshotMade",
      index: this.#appliedIndex,
      data: this.#options.machine.snapshot(),
    });
  }

  #publishStatus(): void {
    const { view } = this.#core;
    const key = [
      view.role,
      view.term,
      view.leaderId,
      view.log.configurationIndex,
    ].join();
    if (key !== this.#lastStatusKey) {
      this.#lastStatusKey = key;
      this.#statuses.push(this.status());
    }
  }

  #event(
    name: Parameters<EventLog["emit"]>[0],
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    const events = this.#options.events ?? SILENT_EVENT_LOG;
    events.emit(name, { group: this.#options.groupId, ...fields });
  }
}

const NO_BYTES = new Uint8Array();

function readEnd<Outcome>(
  answer: RaftMessageOf<"proposeReply" | "readReply"> | undefined,
): ProposalEnd<Outcome> {
  if (answer?.kind !== "proposeReply") {
    return { kind: "unknown" };
  }
  if (answer.status === "applied") {
    return { kind: "applied", outcome: unpack(answer.data) as Outcome };
  }
  return { kind: answer.status };
}
