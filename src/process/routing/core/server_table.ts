/**
 * The backend servers of one service in this data centre: which may get the
 * next call, which are ejected, and this instance's attempts on each.
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

/**
 * An attempt is hung after `slowFactor` times the sum of the mean service time
 * and this many deviations.
 */
const HUNG_DEVIATIONS = 6;

/** Options of a {@link ServerTable}. */
export interface ServerTableOptions {
  readonly serviceId: ServiceId;
  readonly service: Service;
  readonly random: RandomSource;
  readonly routing: RoutingOptions;
}

/** An attempt in flight. */
interface OpenAttempt {
  readonly server: ServerEntry;
  readonly startedAtMs: number;
  readonly isProbe: boolean;
}

/** The servers of one service. */
export class ServerTable {
  readonly #options: ServerTableOptions;
  #service: Service;
  readonly #servers = new Map<BackendServerId, ServerEntry>();
  readonly #attempts = new Map<AttemptId, OpenAttempt>();
  #allotted: ReadonlyMap<BackendServerId, number> | undefined;
  /** Service time over all servers. */
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

  applyAnnouncement(announcement: ServerAnnouncement, atMs: number): void {
    const { serverId } = announcement;
    const known = this.#servers.get(serverId);
    if (known !== undefined) {
      known.update(announcement, atMs);
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

  /** Slots of each server that accepts new work, over all instances. */
  capacity(nowMs: number): Map<BackendServerId, number> {
    const capacity = new Map<BackendServerId, number>();
    for (const server of this.#servers.values()) {
      if (server.acceptsNewWork(nowMs, this.#service)) {
        capacity.set(server.serverId, server.slots(this.#service));
      }
    }
    return capacity;
  }

  /** Slots in use by this instance, by server. */
  inUse(): Map<BackendServerId, number> {
    const inUse = new Map<BackendServerId, number>();
    for (const server of this.#servers.values()) {
      if (server.attempts.size > 0) {
        inUse.set(server.serverId, server.attempts.size);
      }
    }
    return inUse;
  }

  /**
   * Slots, free or in use, that this instance may use on healthy servers that
   * accept new work.
   */
  usableSlots(nowMs: number): number {
    let slots = 0;
    for (const server of this.#servers.values()) {
      const isUsable = server.acceptsNewWork(nowMs, this.#service) &&
        server.health.state === HealthState.healthy;
      slots += isUsable ? this.slotsOf(server) : 0;
    }
    return slots;
  }

  /** Free slots of servers that may get an attempt now. */
  freeSlots(nowMs: number): number {
    return this.#candidates(nowMs).reduce(
      (sum, candidate) => sum + candidate.slots - candidate.inFlight,
      0,
    );
  }

  /** A server with a free slot that isn't excluded; one due a probe first. */
  choose(
    nowMs: number,
    options: { exclude: ReadonlySet<BackendServerId>; isIdempotent: boolean },
  ): ServerEntry | undefined {
    const all = this.#candidates(nowMs);
    const others = all.filter(({ server }) =>
      !options.exclude.has(server.serverId)
    );
    const probeDelayMs = options.isIdempotent
      ? 0
      : this.#options.routing.nonIdempotentProbeDelayMs;
    const probe = others.find(({ server }) =>
      server.health.isProbeDue(nowMs - probeDelayMs)
    );
    const healthy = others.filter(({ server }) =>
      server.health.state === HealthState.healthy
    );
    return (probe ?? chooseOfTwo(healthy, this.#options.random))?.server;
  }

  /** Whether any server that isn't excluded accepts new work. */
  hasServerExcept(
    nowMs: number,
    exclude: ReadonlySet<BackendServerId>,
  ): boolean {
    return [...this.#servers.values()].some((server) =>
      server.acceptsNewWork(nowMs, this.#service) &&
      !exclude.has(server.serverId)
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

  /** Frees the slot and updates the server's health by the result. */
  endAttempt(
    attemptId: AttemptId,
    { result, atMs }: { result: AttemptResult; atMs: number },
  ): RoutingDecision[] {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) {
      return [];
    }
    this.#attempts.delete(attemptId);
    attempt.server.attempts.delete(attemptId);
    const durationMs = atMs - attempt.startedAtMs;
    const isSuccess = result === AttemptResult.answered;
    if (isSuccess) {
      attempt.server.health.recordSuccess(durationMs);
      this.serviceTime.record(durationMs);
    } else {
      attempt.server.health.recordFailure(atMs);
    }
    return attempt.isProbe
      ? this.#applyProbeResult(attempt.server, { isSuccess, durationMs, atMs })
      : this.#ejectIfUnhealthy(attempt.server, atMs);
  }

  /** Ejects servers with hung attempts; removes idle, long silent servers. */
  tick(nowMs: number): RoutingDecision[] {
    const decisions: RoutingDecision[] = [];
    for (const server of this.#servers.values()) {
      if (this.#isHung(server, nowMs)) {
        decisions.push(
          ...this.#ejectWithinLimit(server, { reason: "slow", nowMs }),
        );
      }
      const silentMs = nowMs - server.announcedAtMs;
      const isExpired = silentMs > this.#options.routing.removeAfterMs;
      if (isExpired && server.attempts.size === 0) {
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
        server.acceptsNewWork(nowMs, this.#service) &&
        server.allowsAttempt(nowMs);
      if (isFree) {
        const { latency } = server.health;
        const expectedMs = latency.meanMs || this.serviceTime.meanMs;
        const latencyMs = expectedMs * server.health.latencyFactor(nowMs);
        candidates.push({ server, slots, inFlight, latencyMs });
      }
    }
    return candidates;
  }

  #applyProbeResult(
    server: ServerEntry,
    probe: { isSuccess: boolean; durationMs: number; atMs: number },
  ): RoutingDecision[] {
    const { slowFactor, slowFloorMs } = this.#options.routing;
    const medianMs = this.#medianMs(server);
    const isFast = medianMs === 0 ||
      probe.durationMs <= Math.max(slowFloorMs, slowFactor * medianMs);
    if (!probe.isSuccess || !isFast) {
      const reason = probe.isSuccess ? "slow" : "failing";
      return [this.#ejectNow(server, { reason, nowMs: probe.atMs })];
    }
    server.health.readmit();
    const { serviceId } = this.#options;
    const { serverId } = server;
    return [{ kind: "readmitServer", serverId, service: serviceId }];
  }

  #ejectIfUnhealthy(server: ServerEntry, nowMs: number): RoutingDecision[] {
    const { health } = server;
    if (health.state !== HealthState.healthy) {
      return [];
    }
    if (health.isFailing) {
      return this.#ejectWithinLimit(server, { reason: "failing", nowMs });
    }
    const medianMs = this.#medianMs(server);
    return medianMs > 0 && health.isSlow(medianMs)
      ? this.#ejectWithinLimit(server, { reason: "slow", nowMs })
      : [];
  }

  #isHung(server: ServerEntry, nowMs: number): boolean {
    const { slowFactor, slowFloorMs, minLatencySamples } =
      this.#options.routing;
    if (
      server.health.state !== HealthState.healthy ||
      this.serviceTime.samples < minLatencySamples
    ) {
      return false;
    }
    const boundMs = this.serviceTime.upperBoundMs(HUNG_DEVIATIONS);
    return server.oldestAttemptAgeMs(nowMs) >
      Math.max(slowFloorMs, slowFactor * boundMs);
  }

  /**
   * Ejects the server unless too large a fraction would be ejected. Silent
   * ejected servers count too, since they may come back.
   */
  #ejectWithinLimit(
    server: ServerEntry,
    options: { reason: "failing" | "slow"; nowMs: number },
  ): RoutingDecision[] {
    const accepting = [...this.#servers.values()].filter((other) =>
      other.acceptsNewWork(options.nowMs, this.#service)
    );
    const ejected = [...this.#servers.values()].filter((other) =>
      other.health.state !== HealthState.healthy
    );
    const limit = Math.floor(
      accepting.length * this.#service.ejectionFractionLimit,
    );
    return ejected.length < limit ? [this.#ejectNow(server, options)] : [];
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

  /** Median latency of the other servers; 0 when none is known. */
  #medianMs(excluded: ServerEntry): number {
    const latencies = [...this.#servers.values()]
      .filter((server) => server !== excluded)
      .map((server) => server.health.latency.meanMs)
      .filter((latencyMs) => latencyMs > 0)
      .sort((left, right) => left - right);
    return latencies[latencies.length >> 1] ?? 0;
  }
}
