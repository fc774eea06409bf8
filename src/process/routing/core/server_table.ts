/**
 * The backend servers of one service in this data centre: who may get the
 * next call, who is ejected, and what each works on for this instance.
 *
 * @module
 */

import type { BackendServerId, ServiceId } from "../../../base/identity.ts";
import type { RandomSource } from "../../../base/random_source.ts";
import type { Service } from "../../../version/document/document.ts";
import type { RoutingDecision } from "./routing_decision.ts";
import { type AttemptId, AttemptResult } from "./routing_event.ts";
import type { RoutingOptions } from "./routing_options.ts";
import type { ServerAnnouncement } from "./server_announcement.ts";
import { chooseOfTwo } from "./server_choice.ts";
import { ServerEntry } from "./server_entry.ts";
import { HealthState } from "./server_health.ts";
import { ServiceTime } from "./service_time.ts";

/** Deviations above the mean at which an unanswered attempt looks hung. */
const HUNG_DEVIATIONS = 6;

/** What a table is built from. */
export interface ServerTableOptions {
  readonly serviceId: ServiceId;
  readonly service: Service;
  readonly random: RandomSource;
  readonly routing: RoutingOptions;
}

/** Where one attempt went and when. */
interface AttemptPlace {
  readonly server: ServerEntry;
  readonly startedAtMs: number;
  readonly isProbe: boolean;
}

/** The servers of one service. */
export class ServerTable {
  readonly #options: ServerTableOptions;
  #service: Service;
  readonly #servers = new Map<BackendServerId, ServerEntry>();
  readonly #attempts = new Map<AttemptId, AttemptPlace>();
  #allotted: ReadonlyMap<BackendServerId, number> | undefined;
  /** How long any server of the service takes. */
  readonly serviceTime = new ServiceTime();

  constructor(options: ServerTableOptions) {
    this.#options = options;
    this.#service = options.service;
  }

  get servers(): Iterable<ServerEntry> {
    return this.#servers.values();
  }

  find(serverId: BackendServerId): ServerEntry | undefined {
    return this.#servers.get(serverId);
  }

  configure(service: Service): void {
    this.#service = service;
  }

  /** Limits the slots to those allotted to this instance. */
  allot(slots: ReadonlyMap<BackendServerId, number>): void {
    this.#allotted = slots;
  }

  hear(announcement: ServerAnnouncement, atMs: number): void {
    const { serverId } = announcement;
    const known = this.#servers.get(serverId);
    if (known !== undefined) {
      known.hear(announcement, atMs);
      return;
    }
    const { routing } = this.#options;
    const entry = new ServerEntry(announcement, { atMs, routing });
    this.#servers.set(serverId, entry);
  }

  /** Slots of the server that this instance may use. */
  slotsOf(server: ServerEntry): number {
    const slots = server.slots(this.#service);
    const allotted = this.#allotted?.get(server.serverId);
    return this.#allotted === undefined
      ? slots
      : Math.min(slots, allotted ?? 0);
  }

  /** All slots, whoever may use them, of each server that takes new work. */
  capacity(nowMs: number): Map<BackendServerId, number> {
    const capacity = new Map<BackendServerId, number>();
    for (const server of this.#servers.values()) {
      if (server.isOpen(nowMs, this.#service)) {
        capacity.set(server.serverId, server.slots(this.#service));
      }
    }
    return capacity;
  }

  /** Slots of each server that this instance uses now. */
  inUse(): Map<BackendServerId, number> {
    const inUse = new Map<BackendServerId, number>();
    for (const server of this.#servers.values()) {
      if (server.attempts.size > 0) {
        inUse.set(server.serverId, server.attempts.size);
      }
    }
    return inUse;
  }

  /** Slots over all servers that take new work. */
  openSlots(nowMs: number): number {
    let slots = 0;
    for (const server of this.#servers.values()) {
      const isUsed = server.isOpen(nowMs, this.#service) &&
        server.health.state === HealthState.healthy;
      slots += isUsed ? this.slotsOf(server) : 0;
    }
    return slots;
  }

  /** Slots that are free now. */
  freeSlots(nowMs: number): number {
    return this.#candidates(nowMs).reduce(
      (sum, candidate) => sum + candidate.slots - candidate.inFlight,
      0,
    );
  }

  /** A server with a free slot, but for the excluded ones. */
  choose(
    nowMs: number,
    options: { exclude: ReadonlySet<BackendServerId>; isIdempotent: boolean },
  ): ServerEntry | undefined {
    const all = this.#candidates(nowMs);
    const others = all.filter(({ server }) =>
      !options.exclude.has(server.serverId)
    );
    const patienceMs = options.isIdempotent
      ? 0
      : this.#options.routing.probePatienceMs;
    const probe = others.find(({ server }) =>
      server.health.isProbeDue(nowMs - patienceMs)
    );
    const trusted = others.filter(({ server }) =>
      server.health.state === HealthState.healthy
    );
    return (probe ?? chooseOfTwo(trusted, this.#options.random))?.server;
  }

  /** Whether some open server is not among the excluded ones. */
  hasOther(nowMs: number, exclude: ReadonlySet<BackendServerId>): boolean {
    return [...this.#servers.values()].some((server) =>
      server.isOpen(nowMs, this.#service) && !exclude.has(server.serverId)
    );
  }

  startAttempt(
    attemptId: AttemptId,
    { server, atMs }: { server: ServerEntry; atMs: number },
  ): void {
    const isProbe = server.health.isProbeDue(atMs);
    if (isProbe) {
      server.health.startProbe();
    }
    server.attempts.set(attemptId, atMs);
    this.#attempts.set(attemptId, { server, startedAtMs: atMs, isProbe });
  }

  /** Frees the slot and judges the server by the result. */
  endAttempt(
    attemptId: AttemptId,
    { result, atMs }: { result: AttemptResult; atMs: number },
  ): RoutingDecision[] {
    const place = this.#attempts.get(attemptId);
    if (place === undefined) {
      return [];
    }
    this.#attempts.delete(attemptId);
    place.server.attempts.delete(attemptId);
    const durationMs = atMs - place.startedAtMs;
    const isGood = result === AttemptResult.answered;
    if (isGood) {
      place.server.health.recordSuccess(durationMs);
      this.serviceTime.record(durationMs);
    } else {
      place.server.health.recordFailure(atMs);
    }
    return place.isProbe
      ? this.#judgeProbe(place.server, { isGood, durationMs, atMs })
      : this.#judge(place.server, atMs);
  }

  /** Ejects servers whose attempts look hung; forgets those long gone. */
  tick(nowMs: number): RoutingDecision[] {
    const decisions: RoutingDecision[] = [];
    for (const server of this.#servers.values()) {
      if (this.#isHung(server, nowMs)) {
        decisions.push(...this.#eject(server, { reason: "slow", nowMs }));
      }
      const silentMs = nowMs - server.heardAtMs;
      const isGone = silentMs > this.#options.routing.forgetAfterMs;
      if (isGone && server.attempts.size === 0) {
        this.#servers.delete(server.serverId);
      }
    }
    return decisions;
  }

  #candidates(nowMs: number) {
    const candidates = [];
    for (const server of this.#servers.values()) {
      const slots = this.slotsOf(server);
      const inFlight = server.attempts.size;
      const isFree = inFlight < slots &&
        server.isOpen(nowMs, this.#service) && server.isTrusted(nowMs);
      if (isFree) {
        const { latency } = server.health;
        const usualMs = latency.meanMs || this.serviceTime.meanMs;
        const latencyMs = usualMs * server.health.penalty(nowMs);
        candidates.push({ server, slots, inFlight, latencyMs });
      }
    }
    return candidates;
  }

  #judgeProbe(
    server: ServerEntry,
    probe: { isGood: boolean; durationMs: number; atMs: number },
  ): RoutingDecision[] {
    const { slowFactor, slowFloorMs } = this.#options.routing;
    const medianMs = this.#medianMs(server);
    const isFast = medianMs === 0 ||
      probe.durationMs <= Math.max(slowFloorMs, slowFactor * medianMs);
    if (!probe.isGood || !isFast) {
      const reason = probe.isGood ? "slow" : "failing";
      return [this.#ejectNow(server, { reason, nowMs: probe.atMs })];
    }
    server.health.readmit();
    const { serviceId } = this.#options;
    const { serverId } = server;
    return [{ kind: "readmitServer", serverId, service: serviceId }];
  }

  #judge(server: ServerEntry, nowMs: number): RoutingDecision[] {
    const { health } = server;
    if (health.state !== HealthState.healthy) {
      return [];
    }
    if (health.isFailing) {
      return this.#eject(server, { reason: "failing", nowMs });
    }
    const medianMs = this.#medianMs(server);
    return medianMs > 0 && health.isSlow(medianMs)
      ? this.#eject(server, { reason: "slow", nowMs })
      : [];
  }

  #isHung(server: ServerEntry, nowMs: number): boolean {
    const { slowFactor, slowFloorMs, slowSamples } = this.#options.routing;
    if (
      server.health.state !== HealthState.healthy ||
      this.serviceTime.samples < slowSamples
    ) {
      return false;
    }
    const usualMs = this.serviceTime.boundMs(HUNG_DEVIATIONS);
    return server.oldestAgeMs(nowMs) >
      Math.max(slowFloorMs, slowFactor * usualMs);
  }

  /**
   * Ejects, unless too large a fraction would be out. An ejected server that
   * is silent counts too, since it may come back.
   */
  #eject(
    server: ServerEntry,
    options: { reason: "failing" | "slow"; nowMs: number },
  ): RoutingDecision[] {
    const open = [...this.#servers.values()].filter((other) =>
      other.isOpen(options.nowMs, this.#service)
    );
    const out = [...this.#servers.values()].filter((other) =>
      other.health.state !== HealthState.healthy
    );
    const most = Math.floor(open.length * this.#service.ejectionFractionLimit);
    return out.length < most ? [this.#ejectNow(server, options)] : [];
  }

  #ejectNow(
    server: ServerEntry,
    { reason, nowMs }: { reason: "failing" | "slow"; nowMs: number },
  ): RoutingDecision {
    server.health.eject(nowMs);
    return {
      kind: "ejectServer",
      serverId: server.serverId,
      service: this.#options.serviceId,
      reason,
      probeAtMs: server.health.probeAtMs,
    };
  }

  /** The middle latency of the other servers; 0 when none is known. */
  #medianMs(except: ServerEntry): number {
    const latencies = [...this.#servers.values()]
      .filter((server) => server !== except)
      .map((server) => server.health.latency.meanMs)
      .filter((latencyMs) => latencyMs > 0)
      .sort((left, right) => left - right);
    return latencies[latencies.length >> 1] ?? 0;
  }
}
