/**
 * One member of a replicated group: the Raft core connected to the network, the
 * disk and the clock.
 *
 * @module
 */

import { pack } from "msgpackr";
import type { Stream } from "most";
import { Right } from "purify-ts/Either";
import { Channel } from "../../base/channel.ts";
import type { Clock } from "../../base/clock.ts";
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
import { AppliedState } from "./applied_state.ts";
import { CoreDriver } from "./core_driver.ts";
import { openEnvelopeChannel } from "./envelope_codec.ts";
import { LeaderCalls } from "./leader_calls.ts";
import { LogStore } from "./log_store.ts";
import {
  type MemberReachability,
  memberReachability,
} from "./member_reachability.ts";
import { openStore } from "./member_opening.ts";
import { RaftCore } from "./raft_core.ts";
import type { GroupMember } from "./raft_effect.ts";
import type { RaftEnvelope } from "./raft_message.ts";
import type { RaftMutation } from "./raft_mutation.ts";
import type {
  MemberStatus,
  ReplicatedLog,
  StateMachine,
} from "./replicated_log.ts";
import {
  COMMAND_LIMIT_BYTES,
  REPLICATION_TIMING,
  type ReplicationTiming,
} from "./replication_timing.ts";
import type { StoredLog } from "./stored_log.ts";

/** The interval at which waiting calls check whether they can proceed. */
const RETRY_INTERVAL_MS = 25;

/** How long a leader that stops waits for the next one. */
const HAND_OVER_TIMEOUT_MS = 600;

/** Options of {@link ReplicationMember.open}. */
export interface ReplicationMemberOptions<Command, Outcome> {
  /** The group's name, the same on every member. */
  readonly groupId: string;
  /** Every known member, this one included; it may grow. */
  readonly members: readonly GroupMember[];
  /**
   * The members that form the group, the same everywhere; all voters if absent.
   */
  readonly founderIds?: readonly InstanceId[];
  /**
   * Members become voters automatically up to this number of voters; no limit
   * if absent.
   */
  readonly wantedVoters?: number;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly machine: StateMachine<Command, Outcome>;
  /** The data folder; absent for a member without a disk. */
  readonly storage?: Storage | undefined;
  readonly events?: EventLog;
  readonly timing?: Partial<ReplicationTiming>;
  /** Bytes per second that catching up a peer may take; unlimited if absent. */
  readonly catchUpBytesPerSecond?: (peer: InstanceId) => number;
  /** @internal */
  readonly mutations?: ReadonlySet<RaftMutation>;
}

/** A change of a group's voters. */
export type MemberChange =
  | { readonly kind: "add"; readonly id: InstanceId }
  | { readonly kind: "remove"; readonly id: InstanceId };

/** The catch-up rate if no limit is set. */
const UNLIMITED_BYTES_PER_SECOND = 1e12;

/** What {@link ReplicationMember.open} loads and creates. */
interface OpenedMember<Command, Outcome> {
  readonly log: StoredLog;
  readonly store: LogStore | undefined;
  readonly applied: AppliedState<Command, Outcome>;
  readonly timing: ReplicationTiming;
}

/** Access to a group's log; opened with {@link ReplicationMember.open}. */
export class ReplicationMember<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  #options: ReplicationMemberOptions<Command, Outcome>;
  #driver: CoreDriver<Command, Outcome>;
  #calls: LeaderCalls<Command, Outcome>;
  #channel: PeerChannel<RaftEnvelope>;
  #store: LogStore | undefined;
  #statuses = new Channel<MemberStatus>();
  #subscription: { unsubscribe(): void };
  #isClosed = false;
  #failure: SesameError | undefined;
  #lastStatusKey = "";

  /**
   * Loads the stored state and joins the group. Fails with `storageFailed` if
   * the disk can't be read or written.
   */
  static async open<Command, Outcome>(
    options: ReplicationMemberOptions<Command, Outcome>,
  ): Promise<Result<ReplicationMember<Command, Outcome>>> {
    const { storage, groupId, machine } = options;
    const store = storage && new LogStore({ storage, groupId });
    const timing = { ...REPLICATION_TIMING, ...options.timing };
    const applied = new AppliedState({ machine, timing });
    const opened = await openStore({ ...options, store });
    return opened.chain((log) =>
      applied.restore(log.snapshot).map(() =>
        new ReplicationMember(options, { log, store, applied, timing })
      )
    );
  }

  private constructor(
    options: ReplicationMemberOptions<Command, Outcome>,
    opened: OpenedMember<Command, Outcome>,
  ) {
    this.#options = options;
    const { clock, network, groupId, mutations } = options;
    const { log, store, applied, timing } = opened;
    const core = new RaftCore({
      selfId: network.selfId,
      members: options.members,
      founderIds: options.founderIds,
      wantedVoters: options.wantedVoters,
      random: options.random,
      timing,
      ...log,
      nowMs: clock.nowMs(),
      catchUpBytesPerSecond: options.catchUpBytesPerSecond ??
        (() => UNLIMITED_BYTES_PER_SECOND),
      ...(mutations === undefined ? {} : { mutations }),
    });
    const channel = openEnvelopeChannel(network, groupId);
    this.#channel = channel;
    this.#store = store;
    this.#driver = new CoreDriver({
      groupId,
      core,
      applied,
      channel,
      store,
      clock,
      events: options.events ?? SILENT_EVENT_LOG,
      tickMs: timing.tickMs,
      onStep: () => this.#publishStatus(),
      onFailure: (error) => this.#fail(error),
    });
    this.#calls = new LeaderCalls({ driver: this.#driver, channel, clock });
    this.#subscription = channel.received.subscribe({
      next: ({ from, message }) => this.#receive(from, message),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#driver.step({ kind: "tick" });
  }

  get statuses(): Stream<MemberStatus> {
    return this.#statuses.stream;
  }

  status(): MemberStatus {
    const driver = this.#driver;
    const { view } = driver;
    const voterIds = view.configuration.voters.map((voter) => voter.id);
    return {
      groupId: this.#options.groupId,
      role: driver.isStopped ? "learner" : view.role,
      term: view.term,
      leaderId: view.leaderId,
      commitIndex: view.commitIndex,
      appliedIndex: driver.appliedIndex,
      leaseEndMs: driver.leaseEndMs,
      currentAtMs: driver.currentAtMs,
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
    if (data.byteLength > COMMAND_LIMIT_BYTES) {
      return failure("tooLarge", { detail: `${data.byteLength} bytes` });
    }
    for (;;) {
      const rejection = this.#rejection(options.deadlineMs);
      if (rejection !== undefined) {
        return rejection;
      }
      const result = await this.#calls.propose(data, options.deadlineMs);
      switch (result.kind) {
        case "applied":
          return Right(result.outcome);
        case "unknown":
          return failure("outcomeUnknown");
        case "notAppended":
        case "discarded":
          await this.#pause();
      }
    }
  }

  async readBarrier(options: { deadlineMs: number }): Promise<Result<void>> {
    let index: number | undefined;
    for (;;) {
      const rejection = this.#rejection(options.deadlineMs);
      if (rejection !== undefined) {
        return rejection;
      }
      index ??= await this.#calls.readIndex();
      if (index !== undefined && this.#driver.appliedIndex >= index) {
        return Right(undefined);
      }
      await this.#pause();
    }
  }

  /**
   * Changes the voters, on the leader; resolves once the change is committed.
   * Fails with `unavailable` if it isn't committed by the deadline.
   */
  async changeMembers(
    change: MemberChange,
    options: { deadlineMs: number },
  ): Promise<Result<void>> {
    for (;;) {
      const rejection = this.#rejection(options.deadlineMs);
      if (rejection !== undefined) {
        return rejection;
      }
      if (this.#isInEffect(change)) {
        return Right(undefined);
      }
      if (this.#driver.isLeaseHeld()) {
        const kind = change.kind === "add" ? "addMember" : "removeMember";
        this.#driver.step({ kind, id: change.id });
      }
      await this.#pause();
    }
  }

  /**
   * The voters that this leader has not heard from for `silenceMs`, and other
   * members that have caught up; empty on members that don't lead.
   */
  reachability(silenceMs: number): MemberReachability {
    const { view } = this.#driver;
    if (view.role !== "leader") {
      return { silentVoterIds: [], readyIds: [] };
    }
    return memberReachability(view, {
      selfId: this.#options.network.selfId,
      heardAfterMs: this.#options.clock.nowMs() - silenceMs,
    });
  }

  /**
   * Records an operator's declaration that a voter's state is lost and will not
   * come back; see docs/operator/recovery.md.
   */
  declareLost(id: InstanceId): void {
    this.#driver.step({ kind: "declareLost", id });
  }

  /**
   * Transfers leadership if this member leads. Resolves once the next leader
   * and the results of all commands in this member's log are known here, or
   * after a time limit: a member that closed earlier might not have sent the
   * messages that still wait for its disk.
   */
  async handOver(): Promise<void> {
    if (!this.#mayHandOver()) {
      return;
    }
    const { clock } = this.#options;
    const endMs = clock.nowMs() + HAND_OVER_TIMEOUT_MS;
    while (!this.#hasSuccessor() && clock.nowMs() < endMs) {
      if (this.#mayHandOver()) {
        this.#driver.step({ kind: "handOver" });
      }
      await this.#pause();
    }
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#driver.stop();
    this.#stop();
    await this.#store?.close();
  }

  #stop(): void {
    this.#subscription.unsubscribe();
    this.#channel.close();
    this.#calls.stop();
    this.#statuses.close();
  }

  /** Stops this member; it sends nothing from now on. */
  #fail(error: SesameError): void {
    this.#failure = error;
    this.#options.events?.emit("replicationStopped", {
      group: this.#options.groupId,
      detail: error.message,
    });
    this.#statuses.push(this.status());
    this.#stop();
  }

  #rejection(deadlineMs: number): Result<never> | undefined {
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

  #pause(): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(RETRY_INTERVAL_MS, resolve);
    });
  }

  #mayHandOver(): boolean {
    return !this.#driver.isStopped && this.#driver.view.role === "leader" &&
      this.#driver.view.configuration.voters.length > 1;
  }

  #hasSuccessor(): boolean {
    const { role, leaderId } = this.#driver.view;
    const isFollowing = role !== "leader" && leaderId !== undefined;
    return this.#driver.isStopped ||
      (isFollowing && this.#driver.hasFinishedProposals);
  }

  #isInEffect(change: MemberChange): boolean {
    const { configuration, log, commitIndex } = this.#driver.view;
    const isVoter = configuration.voters.some((voter) =>
      voter.id === change.id
    );
    const isRemoved = configuration.removedIds.includes(change.id);
    const isDone = change.kind === "add" ? isVoter : !isVoter && isRemoved;
    return isDone && log.configurationIndex <= commitIndex;
  }

  #receive(from: InstanceId, envelope: RaftEnvelope): void {
    if (!this.#calls.receive(from, envelope)) {
      this.#driver.step({ kind: "message", from, envelope });
    }
  }

  #publishStatus(): void {
    const { view } = this.#driver;
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
}
