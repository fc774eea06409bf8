/**
 * Sends a leader's commands to workers, each with a fence that lets the worker
 * refuse it once it is outdated.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock } from "../../../base/clock.ts";
import type { WorkerId } from "../../../base/identity.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import { type LeaseOptions, toWorkerClockMs } from "./lease_rule.ts";
import type { WorkerClient } from "./worker_client.ts";
import type { WorkerAnswer, WorkerCommand } from "./worker_command.ts";
import { WORKER_PROTOCOL_VERSION } from "./worker_report.ts";
import type { WorkerTable } from "./worker_table.ts";

/** Options of {@link WorkerCaller}. */
export interface WorkerCallerOptions {
  readonly clock: Clock;
  readonly client: WorkerClient;
  readonly workers: WorkerTable;
  readonly lease: LeaseOptions;
  readonly term: number;
  /** Until when this instance may act as the leader; 0 when it may not. */
  readonly leadershipEndMs: () => number;
}

/** A command without its fence. */
export type CommandBody = WorkerCommand extends infer Command
  ? Command extends WorkerCommand ? Omit<Command, "fence"> : never
  : never;

/** A worker's answer, and when the command was sent. */
export interface TimedAnswer {
  readonly sentAtMs: number;
  readonly answer: WorkerAnswer;
}

/** Options of {@link WorkerCaller.call}. */
export interface WorkerCallOptions {
  /** When the command expires, if earlier than by default. */
  readonly validUntilMs?: number;
  /** Builds the command; `toWorkerMs` converts times to the worker's clock. */
  readonly buildCommand: (toWorkerMs: (atMs: number) => number) => CommandBody;
}

/** Calls workers on behalf of one leader session. */
export class WorkerCaller {
  readonly #options: WorkerCallerOptions;

  constructor(options: WorkerCallerOptions) {
    this.#options = options;
  }

  /** Sends a command, which may have arrived even if the call fails. */
  async call(
    workerId: WorkerId,
    options: WorkerCallOptions,
  ): Promise<Result<TimedAnswer>> {
    const { clock, client, workers, lease } = this.#options;
    const entry = workers.get(workerId);
    const sentAtMs = clock.nowMs();
    const validUntilMs = Math.min(
      sentAtMs + lease.callTimeoutMs,
      this.#options.leadershipEndMs() - lease.leadershipMarginMs,
      options.validUntilMs ?? Number.POSITIVE_INFINITY,
    );
    if (entry === undefined || validUntilMs <= sentAtMs) {
      return failure("unavailable", {
        detail: "not sent: unknown worker or expired command",
      });
    }
    const { anchor, incarnation } = entry;
    const { clockDriftFraction } = lease;
    const toWorkerMs = (atMs: number) =>
      toWorkerClockMs(atMs, { anchor, clockDriftFraction });
    const command = {
      ...options.buildCommand(toWorkerMs),
      fence: {
        protocolVersion: WORKER_PROTOCOL_VERSION,
        term: this.#options.term,
        incarnation,
        validUntilMs: toWorkerMs(validUntilMs),
      },
    } as WorkerCommand;
    const result = await client.call(entry.address, command, {
      timeoutMs: lease.callTimeoutMs,
    });
    return result.chain((answer) =>
      this.#recordAnswer(workerId, { sentAtMs, answer })
    );
  }

  #recordAnswer(
    workerId: WorkerId,
    answered: TimedAnswer,
  ): Result<TimedAnswer> {
    const { holdings } = answered.answer;
    if (holdings.workerId !== workerId) {
      return failure("unavailable", { detail: "a different worker answered" });
    }
    this.#options.workers.acceptHoldings(holdings, this.#options.clock.nowMs());
    return Right(answered);
  }
}
