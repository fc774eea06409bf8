/**
 * Request-response calls between instances, built on one-way messages.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock } from "../../../base/clock.ts";
import type { ErrorKind } from "../../../base/error_kind.ts";
import type { DataCentreId, InstanceId } from "../../../base/identity.ts";
import { failure, type Result } from "../../../base/sesame_error.ts";
import type {
  PeerChannel,
  PeerNetwork,
  Received,
} from "../../../connection/peer_network.ts";
import {
  decodeSchedulerMessage,
  type SchedulerAnswer,
  type SchedulerCall,
  type SchedulerMessage,
} from "./scheduler_message.ts";
import type { WorkerReport } from "./worker_report.ts";

/** The error when a call was sent and not answered in time. */
function unansweredErrorOf(call: SchedulerCall): ErrorKind {
  const changes = call.kind === "submit" || call.kind === "cancel";
  return changes ? "outcomeUnknown" : "unavailable";
}

/** Which data centre an instance belongs to. */
export interface InstanceLocation {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
}

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
  readonly clock: Clock;
  readonly network: PeerNetwork;
  /** Every instance of the system. */
  readonly instances: readonly InstanceLocation[];
  /** How long one instance may take to answer. */
  readonly timeoutMs: number;
  readonly onCall: (
    call: SchedulerCall,
    options: { isPassedOn: boolean },
  ) => Promise<SchedulerAnswer>;
  readonly onWorkerReport: (report: WorkerReport) => void;
}

/** The scheduler's channel between instances. */
export class PeerCalls {
  readonly #options: PeerCallsOptions;
  readonly #channel: PeerChannel<SchedulerMessage>;
  readonly #subscription: { unsubscribe(): void };
  readonly #pending = new Map<number, (answer: SchedulerAnswer) => void>();
  #lastCallId = 0;

  constructor(options: PeerCallsOptions) {
    this.#options = options;
    this.#channel = options.network.channel({
      name: "scheduler",
      decode: decodeSchedulerMessage,
    });
    this.#subscription = this.#channel.received.subscribe({
      next: (received) => this.#receive(received),
      error: () => undefined,
      complete: () => undefined,
    });
  }

  forwardReport(to: InstanceId, report: WorkerReport): void {
    this.#channel.send(to, { kind: "workerReport", report });
  }

  /**
   * Calls one instance. `unavailable` when the call certainly changed nothing;
   * `outcomeUnknown` when a change was sent and not answered.
   */
  call(
    to: InstanceId,
    call: SchedulerCall,
    options: { isPassedOn: boolean },
  ): Promise<Result<SchedulerAnswer>> {
    const { clock, timeoutMs } = this.#options;
    const callId = ++this.#lastCallId;
    const { isPassedOn } = options;
    return new Promise((resolve) => {
      const timer = clock.after(timeoutMs, () => {
        this.#pending.delete(callId);
        resolve(
          failure(unansweredErrorOf(call), { detail: `${to} did not answer` }),
        );
      });
      this.#pending.set(callId, (answer) => {
        timer.close();
        resolve(Right(answer));
      });
      const message = { kind: "call", callId, isPassedOn, call } as const;
      if (!this.#channel.send(to, message)) {
        timer.close();
        this.#pending.delete(callId);
        resolve(failure("unavailable", { detail: `no link to ${to}` }));
      }
    });
  }

  /** Calls the data centre's linked instances in turn until one answers. */
  async callDataCentre(
    dataCentre: DataCentreId,
    call: SchedulerCall,
  ): Promise<Result<SchedulerAnswer>> {
    const linked = new Set(this.#options.network.linkedPeerIds());
    const instances = this.#options.instances
      .filter((each) => each.dataCentre === dataCentre && linked.has(each.id));
    let error: ErrorKind = "unavailable";
    for (const { id } of instances) {
      const result = await this.call(id, call, { isPassedOn: false });
      if (result.isRight()) {
        return result;
      }
      result.ifLeft(({ kind }) => {
        error = kind === "outcomeUnknown" ? kind : error;
      });
    }
    return failure(error, {
      detail: `no instance of ${dataCentre} answered`,
    });
  }

  close(): void {
    this.#subscription.unsubscribe();
    this.#channel.close();
  }

  #receive(received: Received<SchedulerMessage>): void {
    const { from, message } = received;
    switch (message.kind) {
      case "workerReport":
        this.#options.onWorkerReport(message.report);
        return;
      case "call":
        void this.#answer(from, message);
        return;
      case "answer":
        this.#pending.get(message.callId)?.(message.answer);
        this.#pending.delete(message.callId);
        return;
    }
  }

  async #answer(
    from: InstanceId,
    message: Extract<SchedulerMessage, { kind: "call" }>,
  ): Promise<void> {
    const { call, callId, isPassedOn } = message;
    const answer = await this.#options.onCall(call, { isPassedOn });
    this.#channel.send(from, { kind: "answer", callId, answer });
  }
}
