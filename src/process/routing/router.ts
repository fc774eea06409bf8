/**
 * Carries out what the routing core decides: sends requests to backend
 * servers and tells the core how that ended.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { ErrorKind } from "../../base/error_kind.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { DataCentreId, InstanceId } from "../../base/identity.ts";
import type { RandomSource } from "../../base/random_source.ts";
import { SesameError } from "../../base/sesame_error.ts";
import type { RequestRecord } from "../../request/request_record.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";
import type { BackendAttemptEnd, BackendClient } from "./backend_client.ts";
import {
  type CallKey,
  type RoutedCall,
  RoutingCore,
  type RoutingDecision,
  type RoutingEvent,
  type RoutingOptions,
  type SendAttempt,
  type ServerAnnouncement,
} from "./core/mod.ts";
import { OpenCall, type RoutedAnswer, type RoutedEnd } from "./routed_call.ts";
import type { RoutingMetrics } from "./routing_metrics.ts";

/** What a router is built from. */
export interface RouterOptions {
  readonly instanceId: InstanceId;
  /** Greater than at any earlier start of this instance. */
  readonly incarnation: number;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly eventLog: EventLog;
  readonly metrics: RoutingMetrics;
  readonly client: Pick<BackendClient, "send" | "close">;
  readonly configuration: ConfigurationSource;
  readonly routing?: Partial<RoutingOptions>;
}

/** How often deadlines and hung servers are looked for while calls are open. */
const BUSY_TICK_MS = 10;

/** How often due probes are looked for while none is. */
const IDLE_TICK_MS = 100;

/** A decision to have another data centre answer a call. */
export type ForwardDecision = Extract<RoutingDecision, { kind: "forwardCall" }>;

/** Has a call answered in another data centre. */
export type Forwarder = (
  decision: ForwardDecision,
  record: RequestRecord,
) => Promise<BackendAttemptEnd>;

/** Routes requests to the backend servers of this data centre. */
export class Router {
  readonly #options: RouterOptions;
  readonly #core: RoutingCore;
  readonly #calls = new Map<CallKey, OpenCall>();
  readonly #answers = new Map<number, RoutedAnswer>();
  #timer: Timer;
  #isTickingBusily = false;
  #lastKey = 0;
  #forwarder: Forwarder | undefined;
  #waiters: (() => void)[] = [];

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#core = new RoutingCore(options);
    this.#configure();
    options.configuration.versions.observe(() => this.#configure());
    this.#timer = options.clock.every(IDLE_TICK_MS, () => this.#tick());
  }

  /** The core, to be looked at. */
  get core(): RoutingCore {
    return this.#core;
  }

  /** Calls of which more may become known. */
  get open(): number {
    return this.#calls.size;
  }

  setForwarder(forwarder: Forwarder): void {
    this.#forwarder = forwarder;
  }

  /** Routes one request; the caller's going away drops it while it waits. */
  route(
    record: RequestRecord,
    options: { isForwarded?: boolean; signal?: AbortSignal } = {},
  ): Promise<RoutedEnd> {
    const key = `c${++this.#lastKey}`;
    const call = new OpenCall(record);
    if (options.signal?.aborted === true) {
      call.endWithError(callerLeft("unavailable"));
      return call.end;
    }
    this.#calls.set(key, call);
    this.#setPace();
    options.signal?.addEventListener("abort", () => this.#abandon(key, call));
    this.handle({
      kind: "callArrived",
      atMs: this.#nowMs(),
      call: callOf(record, { key, isForwarded: options.isForwarded ?? false }),
    });
    return call.end;
  }

  /** Whether the request would be refused at once. */
  wouldRefuse(record: RequestRecord): boolean {
    const call = callOf(record, { key: "", isForwarded: false });
    return this.#core.wouldRefuse(call, this.#nowMs());
  }

  announce(announcement: ServerAnnouncement): void {
    const kind = "serverAnnounced";
    this.handle({ kind, atMs: this.#nowMs(), announcement });
  }

  /** Gives the core an event and carries out what it decides. */
  handle(event: RoutingEvent): void {
    for (const decision of this.#core.handle(event)) {
      this.#carryOut(decision);
    }
  }

  /** Returns once nothing more can become known of any call. */
  async drain(): Promise<void> {
    while (this.#calls.size > 0) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }

  async close(): Promise<void> {
    this.#timer.close();
    await this.#options.client.close();
  }

  #tick(): void {
    this.handle({ kind: "tick", atMs: this.#nowMs() });
    this.#setPace();
  }

  /** An idle instance wakes up ten times a second, not a hundred times. */
  #setPace(): void {
    const isBusy = this.#calls.size > 0;
    if (isBusy === this.#isTickingBusily) {
      return;
    }
    this.#isTickingBusily = isBusy;
    this.#timer.close();
    const periodMs = isBusy ? BUSY_TICK_MS : IDLE_TICK_MS;
    this.#timer = this.#options.clock.every(periodMs, () => this.#tick());
  }

  #nowMs(): number {
    return this.#options.clock.nowMs();
  }

  #configure(): void {
    const { document } = this.#options.configuration.current();
    this.handle({
      kind: "configurationChanged",
      atMs: this.#nowMs(),
      services: document.services,
    });
  }

  #carryOut(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "sendAttempt":
        void this.#send(decision);
        break;
      case "forwardCall":
        void this.#forward(decision);
        break;
      case "endWithAnswer":
        this.#endWithAnswer(decision);
        break;
      case "endWithError": {
        const { key, error, detail } = decision;
        this.#calls.get(key)?.endWithError(new SesameError(error, { detail }));
        this.#forgetIfSettled(key);
        break;
      }
      case "ejectServer": {
        const { serverId, service, reason } = decision;
        const fields = { server: serverId, service, reason };
        this.#options.eventLog.emit("serverEjected", fields);
        break;
      }
      case "readmitServer": {
        const { serverId, service } = decision;
        const fields = { server: serverId, service };
        this.#options.eventLog.emit("serverReadmitted", fields);
        break;
      }
    }
  }

  async #send(decision: SendAttempt): Promise<void> {
    const { key, attemptId, serverId, address, giveUpAtMs } = decision;
    const call = this.#calls.get(key);
    if (call === undefined) {
      return;
    }
    const { record } = call;
    const { instanceId, incarnation, client, metrics } = this.#options;
    call.attemptStarted();
    metrics.countAttempt(decision.tryNumber);
    const end = await client.send({
      record,
      address,
      giveUpAtMs,
      correlationId: `${instanceId}/${incarnation}/${attemptId}`,
      answerLimitBytes: this.#answerLimitBytes(record),
    });
    this.#reportFault(end, { serverId, record });
    const routed = end.answer === undefined
      ? undefined
      : { answer: end.answer, serverId };
    if (routed !== undefined && call.hasEnded) {
      metrics.countFault("late");
    }
    if (routed !== undefined) {
      this.#answers.set(attemptId, routed);
    }
    call.attemptEnded(end.result, routed);
    const { result } = end;
    const atMs = this.#nowMs();
    this.handle({ kind: "attemptEnded", atMs, attemptId, result });
    this.#answers.delete(attemptId);
    this.#forgetIfSettled(key);
  }

  async #forward(decision: ForwardDecision): Promise<void> {
    const { key } = decision;
    const call = this.#calls.get(key);
    if (call === undefined || this.#forwarder === undefined) {
      const result = "notSent";
      this.handle({ kind: "forwardEnded", atMs: this.#nowMs(), key, result });
      return;
    }
    call.attemptStarted();
    const end = await this.#forwarder(decision, call.record);
    this.#options.metrics.countForward(end.result);
    const routed = end.answer === undefined
      ? undefined
      : { answer: end.answer, serverId: decision.dataCentre };
    call.attemptEnded(end.result, routed);
    const atMs = this.#nowMs();
    if (routed !== undefined) {
      call.endWithAnswer(routed);
    }
    this.handle({ kind: "forwardEnded", atMs, key, result: end.result });
    this.#forgetIfSettled(key);
  }

  #endWithAnswer(
    decision: Extract<RoutingDecision, { kind: "endWithAnswer" }>,
  ): void {
    const { key, attemptId } = decision;
    const routed = attemptId === undefined
      ? undefined
      : this.#answers.get(attemptId);
    if (routed !== undefined) {
      this.#calls.get(key)?.endWithAnswer(routed);
    }
    this.#forgetIfSettled(key);
  }

  #reportFault(
    { fault }: BackendAttemptEnd,
    options: { serverId: string; record: RequestRecord },
  ): void {
    if (fault === undefined) {
      return;
    }
    this.#options.metrics.countFault(fault);
    this.#options.eventLog.emit("answerRejected", {
      server: options.serverId,
      requestId: options.record.requestId,
      fault,
    });
  }

  #answerLimitBytes(record: RequestRecord): number {
    const { document } = this.#options.configuration.current();
    return document.services[record.service]?.answerLimitBytes ?? 0;
  }

  #abandon(key: CallKey, call: OpenCall): void {
    if (call.hasEnded) {
      return;
    }
    const error = this.#core.isQueued(key) ? "unavailable" : "outcomeUnknown";
    this.handle({ kind: "callAbandoned", atMs: this.#nowMs(), key });
    call.endWithError(callerLeft(error));
    this.#forgetIfSettled(key);
  }

  #forgetIfSettled(key: CallKey): void {
    if (this.#calls.get(key)?.isSettled === true) {
      this.#calls.delete(key);
    }
    if (this.#calls.size === 0) {
      this.#waiters.splice(0).forEach((wake) => wake());
    }
  }
}

function callerLeft(kind: ErrorKind): SesameError {
  return new SesameError(kind, { detail: "The caller went away." });
}

function callOf(
  record: RequestRecord,
  options: { key: CallKey; isForwarded: boolean },
): RoutedCall {
  return {
    key: options.key,
    isForwarded: options.isForwarded,
    service: record.service,
    requestClass: record.requestClass,
    isIdempotent: record.isIdempotent,
    deadlineMs: record.deadlineMs,
    bodyBytes: record.body.length,
  };
}
