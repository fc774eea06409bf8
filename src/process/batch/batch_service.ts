/**
 * The batch scheduler on an instance that replicates its state: a member of the
 * group, and the leader's session while this instance leads.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { MemberRole, type ReplicationMember } from "../replication/mod.ts";
import {
  type BatchCommand,
  type BatchOutcome,
  isSameWorkerRecord,
  type WorkerRecord,
} from "./batch_command.ts";
import type { BatchState, ConfigurationInForce } from "./batch_state.ts";
import type { BatchTiming } from "./batch_timing.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";
import { CallHandler } from "./leader/call_handler.ts";
import type { DelayCostListener } from "./leader/delay_decision.ts";
import { LeaderSession } from "./leader/leader_session.ts";
import {
  findConfigurationFault,
  type PoolConfiguration,
} from "./pool_configuration.ts";
import type { WorkerCalls } from "./worker_calls.ts";

/** Options of {@link BatchService}. */
export interface BatchServiceOptions {
  readonly member: ReplicationMember<BatchCommand, BatchOutcome>;
  readonly state: BatchState;
  readonly selfId: string;
  readonly clock: Clock;
  readonly calls: WorkerCalls;
  readonly events: EventLog;
  readonly timing: BatchTiming;
  /** Called with the time that each batch took to commit. */
  readonly onCommit?: (durationMs: number) => void;
  /** Called with what decisions under load cost callers. */
  readonly onDelayCost?: DelayCostListener;
}

interface Leadership {
  readonly session: LeaderSession;
  readonly handler: CallHandler;
}

/** How often the member's role and epoch are checked. */
const LEADERSHIP_CHECK_MS = 20;

/** The batch scheduler of one instance. */
export class BatchService {
  readonly #options: BatchServiceOptions;
  readonly #checker: Timer;
  #leadership: Leadership | undefined;
  #isBecomingLeader = false;
  #isClosed = false;

  constructor(options: BatchServiceOptions) {
    this.#options = options;
    this.#checker = options.clock.every(
      LEADERSHIP_CHECK_MS,
      () => this.#checkLeadership(),
    );
  }

  /** The leader's session, while this instance leads. */
  get session(): LeaderSession | undefined {
    return this.#leadership?.session;
  }

  get state(): BatchState {
    return this.#options.state;
  }

  /**
   * Whether this replica's record of the worker agrees with the given one, so
   * that nothing has to be stored.
   */
  hasCurrentRecord(worker: WorkerRecord): boolean {
    const known = this.#options.state.workers.get(worker.key);
    return known !== undefined && isSameWorkerRecord(known, worker);
  }

  /**
   * Answers a call if this instance leads; otherwise refers to the leader.
   * `caller` is aborted once nobody waits for the answer any more.
   */
  async answer(call: JobCall, caller?: AbortSignal): Promise<JobAnswer> {
    const leadership = this.#leadership;
    const { leaderId, voterIds } = this.#options.member.status();
    if (leadership === undefined || !leadership.session.isCurrent()) {
      return { kind: "notLeader", leaderId, memberIds: voterIds };
    }
    if (call.kind === "ping") {
      return { kind: "leading", memberIds: voterIds };
    }
    const answer = await leadership.handler.answer(call, caller);
    // A read's answer holds only if no other leader can have changed the state.
    const isRead = answer.kind === "state" || answer.kind === "unknownJob" ||
      answer.kind === "pending";
    if (isRead && !leadership.session.isCurrent()) {
      return { kind: "notLeader", leaderId: undefined, memberIds: [] };
    }
    return answer;
  }

  /** Stores a configuration; returns the version in force, maybe higher. */
  async configure(
    document: string,
    options: { configuration: PoolConfiguration; deadlineMs: number },
  ): Promise<Result<{ version: number }>> {
    const { configuration, deadlineMs } = options;
    const { member, events, clock } = this.#options;
    const fault = findConfigurationFault(configuration);
    if (fault !== undefined) {
      events.emit("batchConfigurationRefused", { detail: fault });
      return failure("invalid", { detail: fault });
    }
    const command = {
      kind: "configure",
      document,
      configuration,
      atMs: Math.floor(clock.nowMs()),
    } as const;
    const result = await member.propose(command, { deadlineMs });
    return result.chain((outcome) => {
      if (outcome.kind !== "configured") {
        return failure("internal", { detail: outcome.kind });
      }
      events.emit("batchConfigured", {
        version: configuration.version,
        versionInForce: outcome.version,
      });
      this.#leadership?.session.requestPlan();
      return Right({ version: outcome.version });
    });
  }

  /** The latest committed configuration, or an error if that can't be known. */
  async readConfiguration(
    options: { deadlineMs: number },
  ): Promise<Result<ConfigurationInForce>> {
    const barrier = await this.#options.member.readBarrier(options);
    const { inForce } = this.#options.state;
    return barrier.chain(() =>
      inForce === undefined
        ? failure<ConfigurationInForce>("unavailable", {
          detail: "no configuration was stored yet",
        })
        : Right(inForce)
    );
  }

  /**
   * Takes a data centre out of service, or back in. The order has no version: if
   * it waited in this process or on its way until its caller gave up, a newer one
   * may have been acknowledged by another instance. The barrier's round trip
   * lets the end of the caller's connection arrive first, and the revision that
   * it shows rules out an order that a link holds from then on.
   */
  async setDataCentreStatus(
    dataCentre: string,
    options: { isOut: boolean; deadlineMs: number; caller: AbortSignal },
  ): Promise<Result<void>> {
    const { isOut, deadlineMs, caller } = options;
    const { member, events, state } = this.#options;
    for (;;) {
      const barrier = await member.readBarrier({ deadlineMs });
      if (barrier.isLeft()) {
        return barrier;
      }
      if (caller.aborted) {
        events.emit("batchOrderAbandoned", { dataCentre, isOut });
        return failure("unavailable", { detail: "the caller has given up" });
      }
      const revision = state.dataCentreRevision;
      const command = {
        kind: "dataCentre",
        dataCentre,
        isOut,
        revision,
      } as const;
      const result = await member.propose(command, { deadlineMs });
      if (result.isLeft()) {
        return result as Result<never>;
      }
      // Another order came first: this one is made again, if it is still wanted.
      if (result.unsafeCoerce().kind !== "superseded") {
        events.emit("batchDataCentreSwitched", { dataCentre, isOut });
        this.#leadership?.session.requestPlan();
        return Right(undefined);
      }
    }
  }

  /** Hands leadership over to another member; this one doesn't lead again. */
  async handOver(): Promise<void> {
    this.#isClosed = true;
    this.#endLeadership();
    await this.#options.member.handOver();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#checker.close();
    this.#endLeadership();
    await this.#options.member.close();
  }

  #checkLeadership(): void {
    const { member, clock, state } = this.#options;
    const status = member.status();
    const isLeader = status.role === MemberRole.leader &&
      status.leaseEndMs > clock.nowMs();
    const leadership = this.#leadership;
    if (leadership !== undefined) {
      const isOver = status.role !== MemberRole.leader ||
        state.epoch !== leadership.session.epoch;
      if (isOver) {
        this.#endLeadership();
      }
    } else if (isLeader && !this.#isBecomingLeader && !this.#isClosed) {
      void this.#becomeLeader();
    }
  }

  async #becomeLeader(): Promise<void> {
    this.#isBecomingLeader = true;
    const { member, clock, selfId, timing, events } = this.#options;
    const deadlineMs = clock.nowMs() + timing.commitTimeoutMs;
    const command = { kind: "epoch", leaderId: selfId } as const;
    const result = await member.propose(command, { deadlineMs });
    this.#isBecomingLeader = false;
    result.caseOf({
      Left: (error) =>
        events.emit("batchLeaderFailed", { detail: error.message }),
      Right: (outcome) => {
        if (outcome.kind === "epoch" && !this.#isClosed) {
          this.#beginSession(outcome.epoch);
        }
      },
    });
  }

  #beginSession(epoch: number): void {
    const { member, state, clock, calls, events, timing, onCommit } =
      this.#options;
    const { onDelayCost } = this.#options;
    if (state.epoch !== epoch || member.status().role !== MemberRole.leader) {
      return;
    }
    const session = new LeaderSession({
      log: member,
      state,
      clock,
      calls,
      events,
      timing,
      epoch,
      ...(onCommit === undefined ? {} : { onCommit }),
      ...(onDelayCost === undefined ? {} : { onDelayCost }),
      onEnded: (detail) => {
        events.emit("batchLeaderFailed", { detail });
        this.#endLeadership();
      },
    });
    const handler = new CallHandler({
      session,
      state,
      clock,
      events,
      ...(onDelayCost === undefined ? {} : { onDelayCost }),
    });
    this.#leadership = { session, handler };
  }

  #endLeadership(): void {
    this.#leadership?.session.close();
    this.#leadership = undefined;
  }
}
