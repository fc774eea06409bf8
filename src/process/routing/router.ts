/**
 * Carries out the decisions of the routing core: sends requests to backend
 * servers and reports the results to the core.
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
import {
  CallTracker,
  type RoutedAnswer,
  type RouteResult,
} from "./routed_call.ts";
import type { RoutingMetrics } from "./routing_metrics.ts";

/** Options of a {@link Router}. */
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

/** Period of the check for deadlines and hung servers while calls are open. */
const BUSY_TICK_MS = 10;

/** Period of the core's tick while no call is open. */
const IDLE_TICK_MS = 100;

/** A decision to forward a call to another data centre. */
export type ForwardDecision = Extract<RoutingDecision, { kind: "forwardCall" }>;

/** Forwards a call to another data centre and resolves with its result. */
export type Forwarder = (
  decision: ForwardDecision,
  record: RequestRecord,
) => Promise<BackendAttemptEnd>;

/** Routes requests to the backend servers of this data centre. */
export class Router {
  readonly #options: RouterOptions;
  readonly #core: RoutingCore;
  readonly #calls = new Map<CallKey, CallTracker>();
  readonly #answers = new Map<number, RoutedAnswer>();
  #timer: Timer;
  #isTickBusy = false;
  #lastKey = 0;
  #forwarder: Forwarder | undefined;
  #drainWaiters: (() => void)[] = [];

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#core = new RoutingCore(options);
    this.#configure();
    options.configuration.versions.observe(() => this.#configure());
    this.#timer = options.clock.every(IDLE_TICK_MS, () => this.#tick());
  }

  /** The core, for inspection. */
  get core(): RoutingCore {
    return this.#core;
  }

  /** Number of calls whose final outcome isn't known yet. */
  get openCalls(): number {
    return this.#calls.size;
  }

  setForwarder(forwarder: Forwarder): void {
    this.#forwarder = forwarder;
  }

  /**
   * Routes one request. An abort of `signal` says that the caller disconnected:
   * the call ends, a queued request isn't sent, an attempt in flight runs on.
   */
  route(
    record: RequestRecord,
    options: { isForwarded?: boolean; signal?: AbortSignal } = {},
  ): Promise<RouteResult> {
    const key = `c${++this.#lastKey}`;
    const call = new CallTracker(record);
    if (options.signal?.aborted === true) {
      call.endWithError(callerDisconnected("unavailable"));
      return call.routeResult;
    }
    this.#calls.set(key, call);
    this.#updateTickPeriod();
    options.signal?.addEventListener("abort", () => this.#abandon(key, call));
    this.handle({
      kind: "callArrived",
      atMs: this.#nowMs(),
      call: toRoutedCall(record, {
        key,
        isForwarded: options.isForwarded ?? false,
      }),
    });
    return call.routeResult;
  }

  /** Whether the request would be refused as `unavailable` or `overloaded`. */
  wouldRefuse(record: RequestRecord): boolean {
    const call = toRoutedCall(record, { key: "", isForwarded: false });
    return this.#core.wouldRefuse(call, this.#nowMs());
  }

  announce(announcement: ServerAnnouncement): void {
    const kind = "serverAnnounced";
    this.handle({ kind, atMs: this.#nowMs(), announcement });
  }

  /** Passes an event to the core and carries out its decisions. */
  handle(event: RoutingEvent): void {
    for (const decision of this.#core.handle(event)) {
      this.#carryOut(decision);
    }
  }

  /** Resolves once the final outcome of every call is known. */
  async drain(): Promise<void> {
    while (this.#calls.size > 0) {
      await new Promise<void>((resolve) => this.#drainWaiters.push(resolve));
    }
  }

  async close(): Promise<void> {
    this.#timer.close();
    await this.#options.client.close();
  }

  #tick(): void {
    this.handle({ kind: "tick", atMs: this.#nowMs() });
    this.#updateTickPeriod();
  }

  /** Ticks less often while no call is open, to save wake-ups when idle. */
  #updateTickPeriod(): void {
    const isBusy = this.#calls.size > 0;
    if (isBusy === this.#isTickBusy) {
      return;
    }
    this.#isTickBusy = isBusy;
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
        this.#removeIfFinal(key);
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
    this.#removeIfFinal(key);
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
    this.#removeIfFinal(key);
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
    this.#removeIfFinal(key);
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

  #abandon(key: CallKey, call: CallTracker): void {
    if (call.hasEnded) {
      return;
    }
    const error = this.#core.isQueued(key) ? "unavailable" : "outcomeUnknown";
    this.handle({ kind: "callAbandoned", atMs: this.#nowMs(), key });
    call.endWithError(callerDisconnected(error));
    this.#removeIfFinal(key);
  }

  #removeIfFinal(key: CallKey): void {
    if (this.#calls.get(key)?.isFinal === true) {
      this.#calls.delete(key);
    }
    if (this.#calls.size === 0) {
      this.#drainWaiters.splice(0).forEach((resolve) => resolve());
    }
  }
}

function callerDisconnected(kind: ErrorKind): SesameError {
  return new SesameError(kind, { detail: "The caller disconnected." });
}

function toRoutedCall(
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
