/**
 * The batch scheduler on an instance that keeps its state: a member of the
 * group, and while it leads, the leader's session.
 *
 * @module
 */

import { Left, Right } from "purify-ts/Either";
import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import { MemberRole, type ReplicationMember } from "../replication/mod.ts";
import {
  type BatchCommand,
  type BatchOutcome,
  isSameWorker,
  type WorkerRecord,
} from "./batch_command.ts";
import type { BatchState, ConfigurationInForce } from "./batch_state.ts";
import type { BatchTiming } from "./batch_timing.ts";
import type { JobAnswer, JobCall } from "./job_call.ts";
import { CallAnswerer } from "./leader/call_answerer.ts";
import { LeaderSession } from "./leader/leader_session.ts";
import {
  findConfigurationFault,
  type PoolConfiguration,
} from "./pool_configuration.ts";
import type { WorkerCalls } from "./worker_calls.ts";

/** What the service is made from. */
export interface BatchServiceOptions {
  readonly member: ReplicationMember<BatchCommand, BatchOutcome>;
  readonly state: BatchState;
  readonly selfId: string;
  readonly clock: Clock;
  readonly calls: WorkerCalls;
  readonly events: EventLog;
  readonly timing: BatchTiming;
  /** Takes note of how long each batch took to commit. */
  readonly onCommit?: (durationMs: number) => void;
}

interface Office {
  readonly session: LeaderSession;
  readonly answerer: CallAnswerer;
}

/** How often leadership is looked at. */
const OFFICE_CHECK_MS = 20;

/** The batch scheduler of one instance. */
export class BatchService {
  readonly #options: BatchServiceOptions;
  readonly #checker: Timer;
  #office: Office | undefined;
  #isTakingOffice = false;
  #isClosed = false;

  constructor(options: BatchServiceOptions) {
    this.#options = options;
    this.#checker = options.clock.every(
      OFFICE_CHECK_MS,
      () => this.#checkOffice(),
    );
  }

  /** The session while this instance leads, for metrics. */
  get session(): LeaderSession | undefined {
    return this.#office?.session;
  }

  get state(): BatchState {
    return this.#options.state;
  }

  /**
   * Whether this copy of the state holds the worker as it says it is, so that
   * nothing has to be stored.
   */
  knowsWorker(worker: WorkerRecord): boolean {
    const known = this.#options.state.workers.get(worker.key);
    return known !== undefined && isSameWorker(known, worker);
  }

  /** Answers a call if this instance leads, or says who may. */
  async answer(call: JobCall): Promise<JobAnswer> {
    const office = this.#office;
    if (office === undefined || !office.session.isCurrent()) {
      const { leaderId, voterIds } = this.#options.member.status();
      return { kind: "notLeader", leaderId, memberIds: voterIds };
    }
    const answer = await office.answerer.answer(call);
    const isRead = answer.kind === "state" || answer.kind === "unknownJob" ||
      answer.kind === "pending";
    if (isRead && !office.session.isCurrent()) {
      return { kind: "notLeader", leaderId: undefined, memberIds: [] };
    }
    return answer;
  }

  /** Puts a configuration in force unless a higher version is. */
  async configure(
    document: string,
    options: { configuration: PoolConfiguration; deadlineMs: number },
  ): Promise<Result<{ version: number }>> {
    const { configuration, deadlineMs } = options;
    const { member, events } = this.#options;
    const fault = findConfigurationFault(configuration);
    if (fault !== undefined) {
      events.emit("batchConfigurationRefused", { detail: fault });
      return failure("invalid", { detail: fault });
    }
    const command = { kind: "configure", document, configuration } as const;
    const result = await member.propose(command, { deadlineMs });
    return result.chain((outcome) => {
      if (outcome.kind !== "configured") {
        return failure("internal", { detail: outcome.kind });
      }
      events.emit("batchConfigured", {
        version: configuration.version,
        versionInForce: outcome.version,
      });
      this.#office?.session.touch();
      return Right({ version: outcome.version });
    });
  }

  /** The newest configuration, or an error while that can't be known. */
  async readConfiguration(
    options: { deadlineMs: number },
  ): Promise<Result<ConfigurationInForce>> {
    const barrier = await this.#options.member.readBarrier(options);
    const { inForce } = this.#options.state;
    return barrier.chain(() =>
      inForce === undefined
        ? failure<ConfigurationInForce>("unavailable", {
          detail: "There is no configuration yet.",
        })
        : Right(inForce)
    );
  }

  /** Takes a data centre out of service, or back in. */
  async switchDataCentre(
    dataCentre: string,
    options: { isOut: boolean; deadlineMs: number },
  ): Promise<Result<void>> {
    const { isOut, deadlineMs } = options;
    const { member, events } = this.#options;
    const command = { kind: "dataCentre", dataCentre, isOut } as const;
    const result = await member.propose(command, { deadlineMs });
    return result.caseOf<Result<void>>({
      Left: (error) => Left(error),
      Right: () => {
        events.emit("batchDataCentreSwitched", { dataCentre, isOut });
        this.#office?.session.touch();
        return Right(undefined);
      },
    });
  }

  /** Lets another member lead; this one decides nothing more. */
  async handOver(): Promise<void> {
    this.#isClosed = true;
    this.#leaveOffice();
    await this.#options.member.handOver();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#checker.close();
    this.#leaveOffice();
    await this.#options.member.close();
  }

  #checkOffice(): void {
    const { member, clock, state } = this.#options;
    const status = member.status();
    const leads = status.role === MemberRole.leader &&
      status.leaseEndMs > clock.nowMs();
    const office = this.#office;
    if (office !== undefined) {
      const isOver = status.role !== MemberRole.leader ||
        state.epoch !== office.session.epoch;
      if (isOver) {
        this.#leaveOffice();
      }
    } else if (leads && !this.#isTakingOffice && !this.#isClosed) {
      void this.#takeOffice();
    }
  }

  async #takeOffice(): Promise<void> {
    this.#isTakingOffice = true;
    const { member, clock, selfId, timing, events } = this.#options;
    const deadlineMs = clock.nowMs() + timing.commitTimeoutMs;
    const command = { kind: "epoch", leaderId: selfId } as const;
    const result = await member.propose(command, { deadlineMs });
    this.#isTakingOffice = false;
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
      onEnded: (detail) => {
        events.emit("batchLeaderFailed", { detail });
        this.#leaveOffice();
      },
    });
    const answerer = new CallAnswerer({
      session,
      state,
      clock,
      events,
    });
    this.#office = { session, answerer };
  }

  #leaveOffice(): void {
    this.#office?.session.close();
    this.#office = undefined;
  }
}
