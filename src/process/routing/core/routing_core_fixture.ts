/**
 * Servers and callers around a routing core, with the truth about them, for
 * tests of its promises.
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

/** Turns the core into a broken one, to see that the oracle notices. */
export interface Mutation {
  readonly event?: (event: RoutingEvent) => RoutingEvent;
  readonly decision?: (decision: RoutingDecision) => RoutingDecision;
}

interface TrueServer {
  leavingHeard: boolean;
  incarnation: number;
  heardAtMs: number;
}

interface TrueCall {
  readonly rank: number;
  readonly isIdempotent: boolean;
  readonly deadlineMs: number;
  /** Attempts that may have reached a server. */
  reached: number;
  tries: number;
  open: number;
  waits: boolean;
  ended: boolean;
  forwarded: boolean;
  abandoned: boolean;
}

interface TrueAttempt {
  readonly key: string;
  readonly serverId: string;
  result: AttemptResult | undefined;
}

/** Plays servers and callers around a core and checks every decision. */
export class World {
  readonly #core: RoutingCore;
  readonly #mutation: Mutation;
  readonly servers = new Map<string, TrueServer>();
  readonly calls = new Map<string, TrueCall>();
  readonly attempts = new Map<number, TrueAttempt>();
  #nowMs = 0;
  #slots: ReadonlyMap<string, number> | undefined;
  #drained: readonly string[] = [];
  readonly #ejected = new Set<string>();
  #firstTries = 0;
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
    this.#feed({
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
      { leavingHeard: false, incarnation: 1, heardAtMs: this.#nowMs };
    const silentMs = this.#nowMs - known.heardAtMs;
    const isForgotten = silentMs > DEFAULT_ROUTING_OPTIONS.forgetAfterMs;
    if (options.old && (isNew || isForgotten)) {
      return;
    }
    this.servers.set(serverId, known);
    if (isForgotten) {
      known.leavingHeard = false;
      this.#ejected.delete(serverId);
    }
    if (!options.old) {
      known.heardAtMs = this.#nowMs;
      known.leavingHeard ||= options.leaving;
    }
    this.#feed({
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
      known.leavingHeard = false;
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
      reached: 0,
      tries: 0,
      open: 0,
      waits: true,
      ended: false,
      forwarded: false,
      abandoned: false,
    });
    this.#feed({
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

  endAttempt(place: number, result: AttemptResult): void {
    const open = [...this.attempts].filter(([, { result }]) =>
      result === undefined
    );
    const [attemptId, attempt] = open[place % Math.max(1, open.length)] ?? [];
    if (attemptId === undefined || attempt === undefined) {
      return;
    }
    attempt.result = result;
    const call = this.#callOf(attempt.key);
    call.open -= 1;
    call.reached += result === "notSent" ? 0 : 1;
    call.waits = true;
    this.#feed({ kind: "attemptEnded", atMs: this.#nowMs, attemptId, result });
  }

  endForward(place: number, result: AttemptResult): void {
    const open = [...this.calls].filter(([, call]) =>
      call.forwarded && !call.ended
    );
    const [key] = open[place % Math.max(1, open.length)] ?? [];
    if (key !== undefined) {
      this.#callOf(key).forwarded = result !== "notSent";
      this.#feed({ kind: "forwardEnded", atMs: this.#nowMs, key, result });
    }
  }

  abandon(place: number): void {
    const open = [...this.calls].filter(([, call]) => !call.ended);
    const [key, call] = open[place % Math.max(1, open.length)] ?? [];
    if (key !== undefined && call !== undefined) {
      call.abandoned = true;
      call.waits = false;
      this.#feed({ kind: "callAbandoned", atMs: this.#nowMs, key });
    }
  }

  allot(slots: ReadonlyMap<string, number>): void {
    this.#slots = slots;
    const kind = "slotsAllotted";
    this.#feed({ kind, atMs: this.#nowMs, service: "svc", slots });
  }

  reportRemote(freeSlots: number): void {
    const load = {
      dataCentre: "other",
      service: "svc",
      freeSlots,
      roundTripMs: ROUND_TRIP_MS,
      isOtherRegion: true,
    };
    this.#feed({ kind: "remoteLoadReported", atMs: this.#nowMs, load });
  }

  advance(byMs: number): void {
    const endMs = this.#nowMs + byMs;
    while (this.#nowMs < endMs) {
      this.#nowMs = Math.min(endMs, this.#nowMs + 10);
      this.#feed({ kind: "tick", atMs: this.#nowMs });
    }
  }

  /** Every call must end, once its time is up. */
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

  #feed(event: RoutingEvent): void {
    const seen = this.#mutation.event?.(event) ?? event;
    for (const decision of this.#core.handle(seen)) {
      this.#judge(this.#mutation.decision?.(decision) ?? decision);
    }
  }

  #judge(decision: RoutingDecision): void {
    switch (decision.kind) {
      case "sendAttempt":
        this.#judgeSending(decision);
        break;
      case "forwardCall": {
        const call = this.#callOf(decision.key);
        check(call.open === 0, "on its way twice");
        check(
          call.isIdempotent || call.reached === 0,
          "sent to a second server",
        );
        this.#countForward(call);
        call.forwarded = true;
        call.waits = false;
        break;
      }
      case "endWithAnswer": {
        const call = this.#end(decision.key);
        const attempt = this.attempts.get(decision.attemptId ?? -1);
        const isOwn = decision.attemptId === undefined
          ? call.forwarded
          : attempt?.key === decision.key &&
            (attempt.result === "answered" || attempt.result === "serverError");
        check(isOwn, "an answer of another call");
        break;
      }
      case "endWithError": {
        const call = this.#end(decision.key);
        const { execution } = ERROR_ANSWERS[decision.error];
        const mayHaveRun = call.reached + call.open > 0 || call.forwarded;
        check(
          execution !== Execution.notRun || !mayHaveRun,
          `"not run" of a call that may have run`,
        );
        break;
      }
      case "ejectServer": {
        this.#ejected.add(decision.serverId);
        const most = this.servers.size * SERVICE.ejectionFractionLimit;
        check(this.#ejected.size <= most, "too many servers ejected");
        break;
      }
      case "readmitServer":
        this.#ejected.delete(decision.serverId);
        break;
    }
  }

  /** Only what can be in time goes over the region link, within its budget. */
  #countForward(call: TrueCall): void {
    check(this.#nowMs + ROUND_TRIP_MS < call.deadlineMs, "forwarded in vain");
    this.#forwardedBytes += BODY_BYTES;
    const seconds = 1 + this.#nowMs / 1_000;
    check(
      this.#forwardedBytes <= SERVICE.crossRegionBytesPerSecond * seconds,
      "more over the region link than the budget",
    );
  }

  #judgeSending(
    decision: Extract<RoutingDecision, { kind: "sendAttempt" }>,
  ): void {
    const { key, attemptId, serverId } = decision;
    const call = this.#callOf(key);
    const server = this.servers.get(serverId);
    const { announcementLifetimeMs } = DEFAULT_ROUTING_OPTIONS;
    check(!call.ended && !call.abandoned, "sent after its end");
    check(call.open === 0, "on its way twice");
    check(call.isIdempotent || call.reached === 0, "sent to a second server");
    check(server?.leavingHeard === false, "sent to a leaving server");
    check(
      this.#nowMs - (server?.heardAtMs ?? 0) < announcementLifetimeMs,
      "sent to a silent server",
    );
    check(!this.#drained.includes(serverId), "sent to a drained server");
    this.#judgeOrder(call, serverId);
    this.attempts.set(attemptId, { key, serverId, result: undefined });
    const inFlight =
      [...this.attempts.values()].filter((attempt) =>
        attempt.serverId === serverId && attempt.result === undefined
      ).length;
    const slots = this.#slots === undefined
      ? 2
      : Math.min(2, this.#slots.get(serverId) ?? 0);
    check(inFlight <= slots, "more at once than slots");
    call.open += 1;
    call.tries += 1;
    call.waits = false;
    this.#countTry(decision.tryNumber > 1);
  }

  /** A first try of a more urgent class goes first, but for probes. */
  #judgeOrder(call: TrueCall, serverId: string): void {
    const overtaken = [...this.calls.values()].some((other) =>
      other.waits && !other.ended && other.tries === 0 &&
      other.rank < call.rank && !other.forwarded &&
      other.deadlineMs > this.#nowMs
    );
    check(!overtaken || this.#ejected.has(serverId), "overtook an urgent call");
  }

  #countTry(isRetry: boolean): void {
    this.#firstTries += isRetry ? 0 : 1;
    this.#retries += isRetry ? 1 : 0;
    const arrived = this.calls.size;
    const budget = DEFAULT_ROUTING_OPTIONS.retryTokens +
      arrived * SERVICE.retryBudgetFraction;
    check(this.#retries <= budget, "more retries than the budget");
  }

  #callOf(key: string): TrueCall {
    const call = this.calls.get(key);
    if (call === undefined) {
      throw new Error(`unknown call ${key}`);
    }
    return call;
  }

  #end(key: string): TrueCall {
    const call = this.#callOf(key);
    check(!call.ended, "ended twice");
    call.ended = true;
    call.waits = false;
    return call;
  }
}

function check(holds: boolean, broken: string): void {
  if (!holds) {
    throw new Error(broken);
  }
}
