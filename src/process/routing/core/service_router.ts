/**
 * Routing of one service's calls: admits, queues, sends, retries and refuses.
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
import { ClassQueues } from "./class_queues.ts";
import { RemoteLoads, type RemoteOptions } from "./remote_loads.ts";
import { endWithError, type OpenCall, openCall } from "./open_call.ts";
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

/** What a service's router is built from. */
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

/** The calls and servers of one service. */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #routing: RoutingOptions;
  #service: Service;
  readonly servers: ServerTable;
  readonly remoteLoads: RemoteLoads;
  readonly #queues = new ClassQueues<OpenCall>();
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

  /** Calls that wait for a slot. */
  get queued(): number {
    return this.#queues.size;
  }

  /** Calls that haven't ended. */
  get open(): number {
    return this.#calls.size;
  }

  configure(service: Service): void {
    this.#service = service;
    this.servers.configure(service);
  }

  arrive(call: RoutedCall, nowMs: number): RoutingDecision[] {
    const known = this.#classOf(call);
    if (known === undefined) {
      const detail = `The service has no class ${call.requestClass}.`;
      return [endWithError(call.key, "invalid", detail)];
    }
    if (call.deadlineMs <= nowMs) {
      return [endWithError(call.key, "deadlineExceeded", "It came too late.")];
    }
    const open = openCall(call, known.rank);
    const refusal = this.#refusal(open, known.queueLimit, nowMs);
    const forwarding = refusal === undefined
      ? undefined
      : this.#forward(open, nowMs);
    if (forwarding !== undefined) {
      return [forwarding];
    }
    if (refusal !== undefined && !this.#mayYetDiscover(nowMs)) {
      return [refusal];
    }
    this.#retryBudget.add(this.#service.retryBudgetFraction);
    this.#calls.set(open.key, open);
    this.#queues.add(open);
    return this.dispatch(nowMs);
  }

  /** Whether the call waits, so that no server can have run it. */
  isQueued(key: CallKey): boolean {
    const call = this.#calls.get(key);
    return call !== undefined && this.#queues.calls.includes(call) &&
      !call.mayHaveRun;
  }

  /** Whether the call would be refused at once. */
  wouldRefuse(call: RoutedCall, nowMs: number): boolean {
    const known = this.#classOf(call);
    if (known === undefined) {
      return false;
    }
    const open = openCall(call, known.rank);
    return this.#refusal(open, known.queueLimit, nowMs) !== undefined &&
      !this.#mayYetDiscover(nowMs) &&
      !this.remoteLoads.canTake(call, this.#remoteOptions(nowMs));
  }

  /** The caller has gone: nothing more is sent; what is on its way goes on. */
  abandon(key: CallKey): void {
    const call = this.#calls.get(key);
    if (call !== undefined) {
      this.#queues.remove(call);
      this.#calls.delete(key);
    }
  }

  endAttempt(
    attemptId: AttemptId,
    { result, atMs }: { result: AttemptResult; atMs: number },
  ): RoutingDecision[] {
    const judged = this.servers.endAttempt(attemptId, { result, atMs });
    const call = this.#callByAttempt.get(attemptId);
    this.#callByAttempt.delete(attemptId);
    const isOpen = call !== undefined && this.#calls.get(call.key) === call;
    const ended = isOpen ? this.#settle(call, { result, atMs, attemptId }) : [];
    return [...judged, ...ended, ...this.dispatch(atMs)];
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
        return [this.#giveUp(call)];
      case AttemptResult.ambiguous:
        return [endWithError(
          key,
          "outcomeUnknown",
          "The other data centre gave no answer.",
        )];
    }
  }

  tick(nowMs: number): RoutingDecision[] {
    const judged = this.servers.tick(nowMs);
    const ended = [...this.#calls.values()]
      .filter((call) => call.deadlineMs <= nowMs)
      .map((call) => this.#expire(call));
    const forwarded = this.#forwardStranded(nowMs);
    return [...judged, ...ended, ...forwarded, ...this.dispatch(nowMs)];
  }

  /** Sends waiting calls, in order, as far as slots are free. */
  dispatch(nowMs: number): RoutingDecision[] {
    const decisions: RoutingDecision[] = [];
    if (this.#queues.size === 0) {
      return decisions;
    }
    let free = this.servers.freeSlots(nowMs);
    for (const call of [...this.#queues.calls]) {
      if (free <= 0) {
        break;
      }
      if (this.#isHopeless(call, nowMs)) {
        decisions.push(this.#expire(call));
        continue;
      }
      const server = this.#chooseFor(call, nowMs);
      if (server !== undefined) {
        decisions.push(this.#send(call, { server, nowMs }));
        free -= 1;
      }
    }
    return decisions;
  }

  #classOf(call: RoutedCall): RequestClass | undefined {
    return this.#service.classes.find(({ name }) => name === call.requestClass);
  }

  /** Why a new call can't be taken on; undefined when it can. */
  #refusal(
    call: OpenCall,
    queueLimit: number,
    nowMs: number,
  ): RoutingDecision | undefined {
    if (!this.#hasServers(nowMs)) {
      const detail = "No backend server of the service takes new work.";
      return endWithError(call.key, "unavailable", detail);
    }
    const mustWait = this.#queues.size > 0 ||
      this.servers.freeSlots(nowMs) === 0;
    if (!mustWait) {
      return undefined;
    }
    if (this.#queues.countOf(call.requestClass) >= queueLimit) {
      return endWithError(call.key, "overloaded", "The class's queue is full.");
    }
    const waitMs = this.#expectedWaitMs(call, nowMs);
    if (nowMs + waitMs + this.#serviceBoundMs() > call.deadlineMs) {
      const detail = "It would miss its deadline.";
      return endWithError(call.key, "overloaded", detail);
    }
    return undefined;
  }

  #hasServers(nowMs: number): boolean {
    const weight =
      this.#service.dataCentreWeights[this.#options.selfDataCentre] ?? 1;
    return weight > 0 && this.servers.hasOther(nowMs, NO_SERVERS);
  }

  /** Whether servers may be there that haven't announced themselves yet. */
  #mayYetDiscover(nowMs: number): boolean {
    const ageMs = nowMs - this.#options.createdAtMs;
    return ageMs <= this.#routing.discoveryMs && !this.#hasServers(nowMs);
  }

  /** How long the calls that go first will keep the slots busy. */
  #expectedWaitMs(call: OpenCall, nowMs: number): number {
    const before = this.#queues.countBefore(call) + 1;
    const slots = Math.max(1, this.servers.openSlots(nowMs));
    return before * this.servers.serviceTime.meanMs / slots;
  }

  #serviceBoundMs(): number {
    const deviations = this.#routing.serviceTimeDeviations;
    return this.servers.serviceTime.boundMs(deviations);
  }

  #forward(call: OpenCall, nowMs: number): RoutingDecision | undefined {
    const options = this.#remoteOptions(nowMs);
    const dataCentre = this.remoteLoads.claim(call, options);
    if (dataCentre === undefined) {
      return undefined;
    }
    call.isForwardedOn = true;
    this.#calls.set(call.key, call);
    return { kind: "forwardCall", key: call.key, dataCentre };
  }

  /** Forwards what waits here though no server is left. */
  #forwardStranded(nowMs: number): RoutingDecision[] {
    if (this.#queues.size === 0 || this.#hasServers(nowMs)) {
      return [];
    }
    const decisions: RoutingDecision[] = [];
    for (const call of [...this.#queues.calls]) {
      const decision = this.#forward(call, nowMs);
      if (decision !== undefined) {
        this.#queues.remove(call);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  #remoteOptions(nowMs: number): RemoteOptions {
    const serviceTimeMs = this.#serviceBoundMs();
    return { service: this.#service, nowMs, serviceTimeMs };
  }

  /** Whether a slot is better spent on one of the others that wait. */
  #isHopeless(call: OpenCall, nowMs: number): boolean {
    if (call.deadlineMs <= nowMs) {
      return true;
    }
    return this.#queues.size > 1 &&
      nowMs + this.#serviceBoundMs() > call.deadlineMs;
  }

  #chooseFor(call: OpenCall, nowMs: number): ServerEntry | undefined {
    const exclude = this.servers.hasOther(nowMs, call.triedServers)
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
    this.#queues.remove(call);
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
  #settle(
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
        if (this.#retry(call, atMs)) {
          return [];
        }
        this.#calls.delete(key);
        return [{ kind: "endWithAnswer", key, attemptId }];
      case AttemptResult.ambiguous:
        call.mayHaveRun = true;
        return this.#retry(call, atMs) ? [] : [this.#giveUp(call)];
      case AttemptResult.notSent:
        return this.#retry(call, atMs) ? [] : [this.#giveUp(call)];
    }
  }

  /** Queues the call again, if the rules and the budget allow it. */
  #retry(call: OpenCall, nowMs: number): boolean {
    const mayRepeat = call.isIdempotent || !call.mayHaveRun;
    const isAllowed = mayRepeat &&
      call.triedServers.size <= this.#service.retryLimit &&
      nowMs + this.servers.serviceTime.meanMs < call.deadlineMs &&
      this.servers.hasOther(nowMs, call.triedServers) &&
      this.#retryBudget.take(1);
    if (isAllowed) {
      this.#queues.add(call);
    }
    return isAllowed;
  }

  #giveUp(call: OpenCall): RoutingDecision {
    this.#calls.delete(call.key);
    if (call.mayHaveRun) {
      const detail = "The backend server gave no whole answer of its own.";
      return endWithError(call.key, "outcomeUnknown", detail);
    }
    const detail = "No backend server could take it.";
    return endWithError(call.key, "unavailable", detail);
  }

  #expire(call: OpenCall): RoutingDecision {
    this.#calls.delete(call.key);
    this.#queues.remove(call);
    const mayRun = call.mayHaveRun || call.isForwardedOn ||
      call.attemptId !== undefined;
    if (mayRun) {
      const detail = "No answer came before the deadline.";
      return endWithError(call.key, "outcomeUnknown", detail);
    }
    const detail = "Its turn did not come before the deadline.";
    return endWithError(call.key, "deadlineExceeded", detail);
  }
}
