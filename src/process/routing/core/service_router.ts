/**
 * Routes one service's calls: admits, queues, sends, forwards, retries or
 * refuses them.
 *
 * @module
 */

import type {
  BackendServerId,
  DataCentreId,
  ServiceId,
} from "../../../base/identity.ts";
import type { RandomSource } from "../../../base/random_source.ts";
import type {
  RequestClass,
  Service,
} from "../../../version/document/document.ts";
import { CallQueue } from "./call_queue.ts";
import { type RemoteChoiceOptions, RemoteLoads } from "./remote_loads.ts";
import { createOpenCall, endWithError, type OpenCall } from "./open_call.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import {
  type AttemptId,
  AttemptResult,
  type CallKey,
  type RoutedCall,
} from "./routing_event.ts";
import type { RoutingOptions } from "./routing_options.ts";
import type { ServerEntry } from "./server_entry.ts";
import { ServerTable } from "./server_table.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Options of a {@link ServiceRouter}. */
export interface ServiceRouterOptions {
  readonly serviceId: ServiceId;
  readonly service: Service;
  readonly selfDataCentre: DataCentreId;
  readonly random: RandomSource;
  readonly routing: RoutingOptions;
  readonly nextAttemptId: () => AttemptId;
  readonly createdAtMs: number;
}

const NO_SERVERS: ReadonlySet<BackendServerId> = new Set();

/** Routes the calls of one service. */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #routing: RoutingOptions;
  #service: Service;
  readonly servers: ServerTable;
  readonly remoteLoads: RemoteLoads;
  readonly #queue = new CallQueue<OpenCall>();
  readonly #calls = new Map<CallKey, OpenCall>();
  readonly #callByAttempt = new Map<AttemptId, OpenCall>();
  readonly #retryBudget: TokenBucket;

  constructor(options: ServiceRouterOptions) {
    this.#options = options;
    this.#routing = options.routing;
    this.#service = options.service;
    this.servers = new ServerTable(options);
    this.remoteLoads = new RemoteLoads(options.routing);
    const limit = options.routing.retryTokens;
    this.#retryBudget = new TokenBucket({ limit });
  }

  /** Number of calls that wait for a slot. */
  get queuedCalls(): number {
    return this.#queue.size;
  }

  /** Number of calls that haven't ended. */
  get openCalls(): number {
    return this.#calls.size;
  }

  configure(service: Service): void {
    this.#service = service;
    this.servers.configure(service);
  }

  arrive(call: RoutedCall, nowMs: number): RoutingDecision[] {
    const requestClass = this.#classOf(call);
    if (requestClass === undefined) {
      const detail = `The service has no class ${call.requestClass}.`;
      return [endWithError(call.key, "invalid", detail)];
    }
    if (call.deadlineMs <= nowMs) {
      return [endWithError(call.key, "deadlineExceeded", "Deadline passed.")];
    }
    const openCall = createOpenCall(call, requestClass.rank);
    const refusal = this.#refusal(openCall, requestClass.queueLimit, nowMs);
    const forwarding = refusal === undefined
      ? undefined
      : this.#forward(openCall, nowMs);
    if (forwarding !== undefined) {
      return [forwarding];
    }
    if (refusal !== undefined && !this.#isDiscovering(nowMs)) {
      return [refusal];
    }
    this.#retryBudget.add(this.#service.retryBudgetFraction);
    this.#calls.set(openCall.key, openCall);
    this.#queue.add(openCall);
    return this.dispatch(nowMs);
  }

  /** Whether the call is queued and no server can have run it. */
  isQueued(key: CallKey): boolean {
    const call = this.#calls.get(key);
    return call !== undefined && this.#queue.calls.includes(call) &&
      !call.mayHaveRun;
  }

  /** Whether the call would be refused as `unavailable` or `overloaded`. */
  wouldRefuse(call: RoutedCall, nowMs: number): boolean {
    const requestClass = this.#classOf(call);
    if (requestClass === undefined) {
      return false;
    }
    const openCall = createOpenCall(call, requestClass.rank);
    return this.#refusal(openCall, requestClass.queueLimit, nowMs) !==
        undefined &&
      !this.#isDiscovering(nowMs) &&
      !this.remoteLoads.canReserve(call, this.#remoteOptions(nowMs));
  }

  /** Drops a call whose caller disconnected; an attempt in flight runs on. */
  abandon(key: CallKey): void {
    const call = this.#calls.get(key);
    if (call !== undefined) {
      this.#queue.remove(call);
      this.#calls.delete(key);
    }
  }

  endAttempt(
    attemptId: AttemptId,
    { result, atMs }: { result: AttemptResult; atMs: number },
  ): RoutingDecision[] {
    const healthDecisions = this.servers.endAttempt(attemptId, {
      result,
      atMs,
    });
    const call = this.#callByAttempt.get(attemptId);
    this.#callByAttempt.delete(attemptId);
    const isOpen = call !== undefined && this.#calls.get(call.key) === call;
    const ended = isOpen
      ? this.#endOrRetry(call, { result, atMs, attemptId })
      : [];
    return [...healthDecisions, ...ended, ...this.dispatch(atMs)];
  }

  endForward(key: CallKey, result: AttemptResult): RoutingDecision[] {
    const call = this.#calls.get(key);
    if (call === undefined) {
      return [];
    }
    this.#calls.delete(key);
    switch (result) {
      case AttemptResult.answered:
      case AttemptResult.serverError:
        return [{ kind: "endWithAnswer", key, attemptId: undefined }];
      case AttemptResult.notSent:
        return [this.#endUnanswered(call)];
      case AttemptResult.ambiguous:
        return [endWithError(
          key,
          "outcomeUnknown",
          "No answer came from the other data centre.",
        )];
    }
  }

  tick(nowMs: number): RoutingDecision[] {
    const ejections = this.servers.tick(nowMs);
    const ended = [...this.#calls.values()]
      .filter((call) => call.deadlineMs <= nowMs)
      .map((call) => this.#expire(call));
    const forwarded = this.#forwardIfNoServers(nowMs);
    return [...ejections, ...ended, ...forwarded, ...this.dispatch(nowMs)];
  }

  /** Sends queued calls, in order, while slots are free. */
  dispatch(nowMs: number): RoutingDecision[] {
    const decisions: RoutingDecision[] = [];
    if (this.#queue.size === 0) {
      return decisions;
    }
    let freeSlots = this.servers.freeSlots(nowMs);
    for (const call of [...this.#queue.calls]) {
      if (freeSlots <= 0) {
        break;
      }
      if (this.#shouldExpire(call, nowMs)) {
        decisions.push(this.#expire(call));
        continue;
      }
      const server = this.#chooseFor(call, nowMs);
      if (server !== undefined) {
        decisions.push(this.#send(call, { server, nowMs }));
        freeSlots -= 1;
      }
    }
    return decisions;
  }

  #classOf(call: RoutedCall): RequestClass | undefined {
    return this.#service.classes.find(({ name }) => name === call.requestClass);
  }

  /** The refusal of a new call; undefined when it can be admitted. */
  #refusal(
    call: OpenCall,
    queueLimit: number,
    nowMs: number,
  ): RoutingDecision | undefined {
    if (!this.#hasServers(nowMs)) {
      const detail = "No backend server of the service accepts new work.";
      return endWithError(call.key, "unavailable", detail);
    }
    const mustWait = this.#queue.size > 0 ||
      this.servers.freeSlots(nowMs) === 0;
    if (!mustWait) {
      return undefined;
    }
    if (this.#queue.countOf(call.requestClass) >= queueLimit) {
      return endWithError(call.key, "overloaded", "The class's queue is full.");
    }
    const waitMs = this.#expectedWaitMs(call, nowMs);
    if (nowMs + waitMs + this.#serviceTimeBoundMs() > call.deadlineMs) {
      const detail = "The request would miss its deadline.";
      return endWithError(call.key, "overloaded", detail);
    }
    return undefined;
  }

  #hasServers(nowMs: number): boolean {
    const weight =
      this.#service.dataCentreWeights[this.#options.selfDataCentre] ?? 1;
    return weight > 0 && this.servers.hasServerExcept(nowMs, NO_SERVERS);
  }

  /** Whether servers may exist that haven't announced themselves yet. */
  #isDiscovering(nowMs: number): boolean {
    const ageMs = nowMs - this.#options.createdAtMs;
    return ageMs <= this.#routing.discoveryMs && !this.#hasServers(nowMs);
  }

  /** Expected wait for a slot behind the queued calls that come first. */
  #expectedWaitMs(call: OpenCall, nowMs: number): number {
    const position = this.#queue.countBefore(call) + 1;
    const slots = Math.max(1, this.servers.usableSlots(nowMs));
    return position * this.servers.serviceTime.meanMs / slots;
  }

  #serviceTimeBoundMs(): number {
    const deviations = this.#routing.serviceTimeDeviations;
    return this.servers.serviceTime.upperBoundMs(deviations);
  }

  #forward(call: OpenCall, nowMs: number): RoutingDecision | undefined {
    const options = this.#remoteOptions(nowMs);
    const dataCentre = this.remoteLoads.reserve(call, options);
    if (dataCentre === undefined) {
      return undefined;
    }
    call.hasBeenForwarded = true;
    this.#calls.set(call.key, call);
    return { kind: "forwardCall", key: call.key, dataCentre };
  }

  /** Forwards queued calls when no server is left here. */
  #forwardIfNoServers(nowMs: number): RoutingDecision[] {
    if (this.#queue.size === 0 || this.#hasServers(nowMs)) {
      return [];
    }
    const decisions: RoutingDecision[] = [];
    for (const call of [...this.#queue.calls]) {
      const decision = this.#forward(call, nowMs);
      if (decision !== undefined) {
        this.#queue.remove(call);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  #remoteOptions(nowMs: number): RemoteChoiceOptions {
    const serviceTimeMs = this.#serviceTimeBoundMs();
    return { service: this.#service, nowMs, serviceTimeMs };
  }

  /**
   * Whether the call is past its deadline, or would miss it and other queued
   * calls could use the slot.
   */
  #shouldExpire(call: OpenCall, nowMs: number): boolean {
    if (call.deadlineMs <= nowMs) {
      return true;
    }
    return this.#queue.size > 1 &&
      nowMs + this.#serviceTimeBoundMs() > call.deadlineMs;
  }

  #chooseFor(call: OpenCall, nowMs: number): ServerEntry | undefined {
    const exclude = this.servers.hasServerExcept(nowMs, call.triedServers)
      ? call.triedServers
      : NO_SERVERS;
    const { isIdempotent } = call;
    return this.servers.choose(nowMs, { exclude, isIdempotent });
  }

  #send(
    call: OpenCall,
    { server, nowMs }: { server: ServerEntry; nowMs: number },
  ): RoutingDecision {
    const attemptId = this.#options.nextAttemptId();
    this.#queue.remove(call);
    call.attemptId = attemptId;
    call.triedServers.add(server.serverId);
    this.#callByAttempt.set(attemptId, call);
    this.servers.startAttempt(attemptId, { server, atMs: nowMs });
    return {
      kind: "sendAttempt",
      key: call.key,
      attemptId,
      serverId: server.serverId,
      address: server.announcement.address,
      tryNumber: call.triedServers.size,
      giveUpAtMs: call.deadlineMs + this.#routing.attemptGraceMs,
    };
  }

  /** Ends or retries a call whose attempt has ended. */
  #endOrRetry(
    call: OpenCall,
    end: { result: AttemptResult; atMs: number; attemptId: AttemptId },
  ): RoutingDecision[] {
    const { key } = call;
    const { attemptId, result, atMs } = end;
    call.attemptId = undefined;
    switch (result) {
      case AttemptResult.answered:
        this.#calls.delete(key);
        return [{ kind: "endWithAnswer", key, attemptId }];
      case AttemptResult.serverError:
        call.mayHaveRun = true;
        if (this.#tryRetry(call, atMs)) {
          return [];
        }
        this.#calls.delete(key);
        return [{ kind: "endWithAnswer", key, attemptId }];
      case AttemptResult.ambiguous:
        call.mayHaveRun = true;
        return this.#tryRetry(call, atMs) ? [] : [this.#endUnanswered(call)];
      case AttemptResult.notSent:
        return this.#tryRetry(call, atMs) ? [] : [this.#endUnanswered(call)];
    }
  }

  /** Queues the call again if the retry rules and the retry budget allow it. */
  #tryRetry(call: OpenCall, nowMs: number): boolean {
    const mayRepeat = call.isIdempotent || !call.mayHaveRun;
    const isAllowed = mayRepeat &&
      call.triedServers.size <= this.#service.retryLimit &&
      nowMs + this.servers.serviceTime.meanMs < call.deadlineMs &&
      this.servers.hasServerExcept(nowMs, call.triedServers) &&
      this.#retryBudget.tryTake(1);
    if (isAllowed) {
      this.#queue.add(call);
    }
    return isAllowed;
  }

  #endUnanswered(call: OpenCall): RoutingDecision {
    this.#calls.delete(call.key);
    if (call.mayHaveRun) {
      const detail = "No complete answer came from the backend server.";
      return endWithError(call.key, "outcomeUnknown", detail);
    }
    const detail = "No backend server could take the request.";
    return endWithError(call.key, "unavailable", detail);
  }

  #expire(call: OpenCall): RoutingDecision {
    this.#calls.delete(call.key);
    this.#queue.remove(call);
    const mayRun = call.mayHaveRun || call.hasBeenForwarded ||
      call.attemptId !== undefined;
    if (mayRun) {
      const detail = "No answer came before the deadline.";
      return endWithError(call.key, "outcomeUnknown", detail);
    }
    const detail = "The request got no slot in time for its deadline.";
    return endWithError(call.key, "deadlineExceeded", detail);
  }
}
