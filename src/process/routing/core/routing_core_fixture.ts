/**
 * Simulated servers and callers around a routing core, with a model of their
 * state against which every decision is checked.
 *
 * @module
 */

import { ERROR_ANSWERS, Execution } from "../../../base/error_kind.ts";
import { SeededRandom } from "../../../base/random_source.ts";
import { serviceSchema } from "../../../version/document/document.ts";
import { RoutingCore } from "./routing_core.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import type { AttemptResult, RoutingEvent } from "./routing_event.ts";
import { DEFAULT_ROUTING_OPTIONS } from "./routing_options.ts";

const SERVICE = serviceSchema.parse({
  owner: "operations",
  slotsPerServer: 3,
  retryBudgetFraction: 0.5,
  crossRegionBytesPerSecond: 4_000,
  classes: [
    { name: "urgent", rank: 0, queueLimit: 4 },
    { name: "late", rank: 5, queueLimit: 8 },
  ],
});

const BODY_BYTES = 1_500;
const ROUND_TRIP_MS = 40;

/** Breaks the core on purpose, to test that the oracle notices. */
export interface Mutation {
  readonly event?: (event: RoutingEvent) => RoutingEvent;
  readonly decision?: (decision: RoutingDecision) => RoutingDecision;
}

interface ServerModel {
  leavingAnnounced: boolean;
  incarnation: number;
  announcedAtMs: number;
}

interface CallModel {
  readonly rank: number;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  /** Ended attempts that may have reached a server. */
  possibleRuns: number;
  attemptCount: number;
  openAttempts: number;
  isQueued: boolean;
  ended: boolean;
  forwarded: boolean;
  abandoned: boolean;
}

interface AttemptModel {
  readonly key: string;
  readonly serverId: string;
  result: AttemptResult | undefined;
}

/** Simulates servers and callers around a core and checks every decision. */
export class RoutingSimulation {
  readonly #core: RoutingCore;
  readonly #mutation: Mutation;
  readonly servers = new Map<string, ServerModel>();
  readonly calls = new Map<string, CallModel>();
  readonly attempts = new Map<number, AttemptModel>();
  #nowMs = 0;
  #slots: ReadonlyMap<string, number> | undefined;
  #drained: readonly string[] = [];
  readonly #ejected = new Set<string>();
  #firstAttempts = 0;
  #retries = 0;
  #forwardedBytes = 0;

  constructor(mutation: Mutation) {
    this.#mutation = mutation;
    this.#core = new RoutingCore({
      dataCentre: "dc",
      random: new SeededRandom({ seed: 5 }),
    });
    this.configure([]);
  }

  configure(drained: readonly string[]): void {
    this.#drained = drained;
    const service = { ...SERVICE, drainedServers: [...drained] };
    this.#handle({
      kind: "configurationChanged",
      atMs: this.#nowMs,
      services: { svc: service },
    });
  }

  announce(
    serverId: string,
    options: { leaving: boolean; old: boolean },
  ): void {
    const isNew = !this.servers.has(serverId);
    const known = this.servers.get(serverId) ??
      { leavingAnnounced: false, incarnation: 1, announcedAtMs: this.#nowMs };
    const silentMs = this.#nowMs - known.announcedAtMs;
    const isRemoved = silentMs > DEFAULT_ROUTING_OPTIONS.removeAfterMs;
    if (options.old && (isNew || isRemoved)) {
      return;
    }
    this.servers.set(serverId, known);
    if (isRemoved) {
      known.leavingAnnounced = false;
      this.#ejected.delete(serverId);
    }
    if (!options.old) {
      known.announcedAtMs = this.#nowMs;
      known.leavingAnnounced ||= options.leaving;
    }
    this.#handle({
      kind: "serverAnnounced",
      atMs: this.#nowMs,
      announcement: {
        serverId,
        service: "svc",
        address: "127.0.0.1:1",
        slots: 2,
        dataCentre: "dc",
        incarnation: known.incarnation - (options.old ? 1 : 0),
        leaving: options.leaving && !options.old,
      },
    });
  }

  restart(serverId: string): void {
    const known = this.servers.get(serverId);
    if (known !== undefined) {
      known.incarnation += 1;
      known.leavingAnnounced = false;
      this.#ejected.delete(serverId);
      this.announce(serverId, { leaving: false, old: false });
    }
  }

  arrive(
    options: { rank: number; isIdempotent: boolean; timeoutMs: number },
  ): void {
    const key = `c${this.calls.size}`;
    const deadlineMs = this.#nowMs + options.timeoutMs;
    this.calls.set(key, {
      ...options,
      deadlineMs,
      possibleRuns: 0,
      attemptCount: 0,
      openAttempts: 0,
      isQueued: true,
      ended: false,
      forwarded: false,
      abandoned: false,
    });
    this.#handle({
      kind: "callArrived",
      atMs: this.#nowMs,
      call: {
        key,
        service: "svc",
        requestClass: options.rank === 0 ? "urgent" : "late",
        isIdempotent: options.isIdempotent,
        deadlineMs,
        bodyBytes: BODY_BYTES,
        isForwarded: false,
      },
    });
  }

  endAttempt(index: number, result: AttemptResult): void {
    const open = [...this.attempts].filter(([, { result }]) =>
      result === undefined
    );
    const [attemptId, attempt] = open[index % Math.max(1, open.length)] ?? [];
    if (attemptId === undefined || attempt === undefined) {
      return;
    }
    attempt.result = result;
    const call = this.#findCall(attempt.key);
    call.openAttempts -= 1;
    call.possibleRuns += result === "notSent" ? 0 : 1;
    call.isQueued = true;
    this.#handle({
      kind: "attemptEnded",
      atMs: this.#nowMs,
      attemptId,
      result,
    });
  }

  endForward(index: number, result: AttemptResult): void {
    const open = [...this.calls].filter(([, call]) =>
      call.forwarded && !call.ended
    );
    const [key] = open[index % Math.max(1, open.length)] ?? [];
    if (key !== undefined) {
      this.#findCall(key).forwarded = result !== "notSent";
      this.#handle({ kind: "forwardEnded", atMs: this.#nowMs, key, result });
    }
  }

  abandon(index: number): void {
    const open = [...this.calls].filter(([, call]) => !call.ended);
    const [key, call] = open[index % Math.max(1, open.length)] ?? [];
    if (key !== undefined && call !== undefined) {
      call.abandoned = true;
      call.isQueued = false;
      this.#handle({ kind: "callAbandoned", atMs: this.#nowMs, key });
    }
  }

  allot(slots: ReadonlyMap<string, number>): void {
    this.#slots = slots;
    const kind = "slotsAllotted";
    this.#handle({ kind, atMs: this.#nowMs, service: "svc", slots });
  }

  reportRemote(freeSlots: number): void {
    const load = {
      dataCentre: "other",
      service: "svc",
      freeSlots,
      roundTripMs: ROUND_TRIP_MS,
      isOtherRegion: true,
    };
    this.#handle({ kind: "remoteLoadReported", atMs: this.#nowMs, load });
  }

  advance(byMs: number): void {
    const endMs = this.#nowMs + byMs;
    while (this.#nowMs < endMs) {
      this.#nowMs = Math.min(endMs, this.#nowMs + 10);
      this.#handle({ kind: "tick", atMs: this.#nowMs });
    }
  }

  /** Advances past all deadlines and checks that every call has ended. */
  finish(): void {
    const lastMs = Math.max(
      0,
      ...[...this.calls.values()].map(({ deadlineMs }) => deadlineMs),
    );
    this.advance(Math.max(0, lastMs - this.#nowMs) + 20);
    for (const [key, call] of this.calls) {
      check(call.ended || call.abandoned, `${key} never ended`);
    }
  }

  #handle(event: RoutingEvent): void {
    const mutated = this.#mutation.event?.(event) ?? event;
    for (const decision of this.#core.handle(mutated)) {
      this.#checkDecision(this.#mutation.decision?.(decision) ?? decision);
    }
  }

  #checkDecision(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "sendAttempt":
        this.#checkAttempt(decision);
        break;
      case "forwardCall": {
        const call = this.#findCall(decision.key);
        check(call.openAttempts === 0, "two attempts at once");
        check(
          call.isIdempotent || call.possibleRuns === 0,
          "sent to a second server",
        );
        this.#checkForward(call);
        call.forwarded = true;
        call.isQueued = false;
        break;
      }
      case "endWithAnswer": {
        const call = this.#endCall(decision.key);
        const attempt = this.attempts.get(decision.attemptId ?? -1);
        const isOwn = decision.attemptId === undefined
          ? call.forwarded
          : attempt?.key === decision.key &&
            (attempt.result === "answered" || attempt.result === "serverError");
        check(isOwn, "ended with the answer of another call");
        break;
      }
      case "endWithError": {
        const call = this.#endCall(decision.key);
        const { execution } = ERROR_ANSWERS[decision.error];
        const mayHaveRun = call.possibleRuns + call.openAttempts > 0 ||
          call.forwarded;
        check(
          execution !== Execution.notRun || !mayHaveRun,
          `reported "not run" for a call that may have run`,
        );
        break;
      }
      case "ejectServer": {
        this.#ejected.add(decision.serverId);
        const limit = this.servers.size * SERVICE.ejectionFractionLimit;
        check(this.#ejected.size <= limit, "too many servers ejected");
        break;
      }
      case "readmitServer":
        this.#ejected.delete(decision.serverId);
        break;
    }
  }

  /** Checks that the call can be in time and fits the byte budget. */
  #checkForward(call: CallModel): void {
    check(
      this.#nowMs + ROUND_TRIP_MS < call.deadlineMs,
      "forwarded in vain, too late for its deadline",
    );
    this.#forwardedBytes += BODY_BYTES;
    const seconds = 1 + this.#nowMs / 1_000;
    check(
      this.#forwardedBytes <= SERVICE.crossRegionBytesPerSecond * seconds,
      "more bytes over the region link than its budget",
    );
  }

  #checkAttempt(
    decision: Extract<RoutingDecision, { kind: "sendAttempt" }>,
  ): void {
    const { key, attemptId, serverId } = decision;
    const call = this.#findCall(key);
    const server = this.servers.get(serverId);
    const { announcementLifetimeMs } = DEFAULT_ROUTING_OPTIONS;
    check(!call.ended && !call.abandoned, "sent after the call ended");
    check(call.openAttempts === 0, "two attempts at once");
    check(
      call.isIdempotent || call.possibleRuns === 0,
      "sent to a second server",
    );
    check(server?.leavingAnnounced === false, "sent to a leaving server");
    check(
      this.#nowMs - (server?.announcedAtMs ?? 0) < announcementLifetimeMs,
      "sent to a silent server",
    );
    check(!this.#drained.includes(serverId), "sent to a drained server");
    this.#checkOrder(call, serverId);
    this.attempts.set(attemptId, { key, serverId, result: undefined });
    const inFlight =
      [...this.attempts.values()].filter((attempt) =>
        attempt.serverId === serverId && attempt.result === undefined
      ).length;
    const slots = this.#slots === undefined
      ? 2
      : Math.min(2, this.#slots.get(serverId) ?? 0);
    check(inFlight <= slots, "more attempts in flight than slots");
    call.openAttempts += 1;
    call.attemptCount += 1;
    call.isQueued = false;
    this.#checkRetryBudget(decision.tryNumber > 1);
  }

  /** Checks that only probes overtake a first attempt of a more urgent class. */
  #checkOrder(call: CallModel, serverId: string): void {
    const overtaken = [...this.calls.values()].some((other) =>
      other.isQueued && !other.ended && other.attemptCount === 0 &&
      other.rank < call.rank && !other.forwarded &&
      other.deadlineMs > this.#nowMs
    );
    check(!overtaken || this.#ejected.has(serverId), "overtook an urgent call");
  }

  #checkRetryBudget(isRetry: boolean): void {
    this.#firstAttempts += isRetry ? 0 : 1;
    this.#retries += isRetry ? 1 : 0;
    const arrived = this.calls.size;
    const budget = DEFAULT_ROUTING_OPTIONS.retryTokens +
      arrived * SERVICE.retryBudgetFraction;
    check(this.#retries <= budget, "more retries than the retry budget");
  }

  #findCall(key: string): CallModel {
    const call = this.calls.get(key);
    if (call === undefined) {
      throw new Error(`unknown call ${key}`);
    }
    return call;
  }

  #endCall(key: string): CallModel {
    const call = this.#findCall(key);
    check(!call.ended, "ended twice");
    call.ended = true;
    call.isQueued = false;
    return call;
  }
}

function check(condition: boolean, violation: string): void {
  if (!condition) {
    throw new Error(violation);
  }
}
