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
import type { InstanceId } from "../../base/identity.ts";
import { failure, type Result, SesameError } from "../../base/sesame_error.ts";
import { AppliedState } from "./applied_state.ts";
import type { CoreDriver } from "./core_driver.ts";
import { openEnvelopeChannel } from "./envelope_codec.ts";
import { MemberDisk } from "./member_disk.ts";
import type {
  MemberChange,
  ReplicationMemberOptions,
} from "./member_options.ts";
import { MemberSession, type SessionContext } from "./member_session.ts";
import type { MemberStatus, ReplicatedLog } from "./replicated_log.ts";
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

/** What {@link ReplicationMember.open} loads and creates. */
interface OpenedMember<Command, Outcome> {
  readonly log: StoredLog;
  readonly disk: MemberDisk;
  readonly applied: AppliedState<Command, Outcome>;
  readonly timing: ReplicationTiming;
}

/** Access to a group's log; opened with {@link ReplicationMember.open}. */
export class ReplicationMember<Command, Outcome>
  implements ReplicatedLog<Command, Outcome> {
  #context: SessionContext<Command, Outcome>;
  #session: MemberSession<Command, Outcome>;
  #statuses = new Channel<MemberStatus>();
  #subscription: { unsubscribe(): void };
  #isClosed = false;
  /** Why this member serves nobody, for good or until its disk works. */
  #failure: SesameError | undefined;
  #formationId: string | undefined;
  /** When this copy was known to be current in earlier sessions. */
  #earlierCurrentAtMs = 0;
  #lastStatusKey = "";

  /**
   * Loads the stored state and joins the group. Waits for a disk that can't be
   * read or written. Fails if the state machine doesn't take its snapshot.
   */
  static async open<Command, Outcome>(
    options: ReplicationMemberOptions<Command, Outcome>,
  ): Promise<Result<ReplicationMember<Command, Outcome>>> {
    const timing = { ...REPLICATION_TIMING, ...options.timing };
    const applied = new AppliedState({ machine: options.machine, timing });
    const disk = new MemberDisk(options);
    const log = await disk.open();
    if (log === undefined) {
      return failure("shuttingDown");
    }
    return applied.restore(log.snapshot).map(() =>
      new ReplicationMember(options, { log, disk, applied, timing })
    );
  }

  private constructor(
    options: ReplicationMemberOptions<Command, Outcome>,
    opened: OpenedMember<Command, Outcome>,
  ) {
    const { network, groupId } = options;
    const { log, ...parts } = opened;
    const channel = openEnvelopeChannel(network, groupId);
    this.#context = {
      ...parts,
      options,
      channel,
      onStep: () => this.#publishStatus(),
      onFailure: (error) => this.#handleFailure(error),
    };
    this.#session = new MemberSession(this.#context, log);
    this.#subscription = channel.received.subscribe({
      next: ({ from, message }) => this.#session.receive(from, message),
      error: () => undefined,
      complete: () => undefined,
    });
    this.#driver.step({ kind: "tick" });
  }

  get #options(): ReplicationMemberOptions<Command, Outcome> {
    return this.#context.options;
  }

  get #driver(): CoreDriver<Command, Outcome> {
    return this.#session.driver;
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
      leaderId: driver.isStopped ? undefined : view.leaderId,
      commitIndex: view.commitIndex,
      appliedIndex: driver.appliedIndex,
      leaseEndMs: driver.leaseEndMs,
      currentAtMs: Math.max(this.#earlierCurrentAtMs, driver.currentAtMs),
      voterIds,
      learnerIds: this.#options.members
        .map((member) => member.id)
        .filter((id) => !voterIds.includes(id)),
      disk: this.#context.disk.status,
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
      const result = await this.#session.calls.propose(
        data,
        options.deadlineMs,
      );
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
      index ??= await this.#session.calls.readIndex(
        options.deadlineMs,
      );
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
    this.#stop();
    await this.#context.disk.close();
  }

  #stop(): void {
    this.#session.close();
    this.#subscription.unsubscribe();
    this.#context.channel.close();
    this.#statuses.close();
  }

  #handleFailure(error: SesameError): void {
    this.#failure = error;
    this.#session.close();
    this.#statuses.push(this.status());
    const { disk } = this.#context;
    if (error.kind === "storageFailed" && disk.store !== undefined) {
      disk.suspend(error);
      void this.#resumeWhenPossible();
    } else {
      this.#fail(error);
    }
  }

  /** Stops this member for good; it sends nothing from now on. */
  #fail(error: SesameError): void {
    this.#failure = error;
    this.#options.events?.emit("replicationStopped", {
      group: this.#options.groupId,
      detail: error.message,
    });
    this.#stop();
  }

  /**
   * Loads the log again once the disk works, as after a restart. The state
   * machine keeps what was applied: all of it is committed, and a copy that
   * serves reads must not go back.
   */
  async #resumeWhenPossible(): Promise<void> {
    const { disk, applied } = this.#context;
    this.#earlierCurrentAtMs = this.status().currentAtMs;
    const log = await disk.open();
    if (log === undefined) {
      return;
    }
    applied.resume(log.snapshot).caseOf({
      Left: (error) => this.#fail(error),
      Right: () => {
        this.#failure = undefined;
        this.#session = new MemberSession(this.#context, log);
        this.#driver.step({ kind: "tick" });
      },
    });
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

  #publishStatus(): void {
    const { view } = this.#driver;
    this.#checkFormation(view.formationId);
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

  /**
   * A member whose files were lost while it ran keeps its state machine, which
   * belongs to the group that it was a member of.
   */
  #checkFormation(formationId: string | undefined): void {
    const isForeign = this.#formationId !== undefined &&
      formationId !== undefined && formationId !== this.#formationId;
    this.#formationId ??= formationId;
    if (isForeign && this.#failure === undefined) {
      this.#fail(
        new SesameError("internal", {
          detail: `a new group ${formationId} was formed meanwhile`,
        }),
      );
    }
  }
}
