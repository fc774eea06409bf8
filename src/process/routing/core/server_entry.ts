/**
 * One backend server as this instance knows it.
 *
 * @module
 */

import type { BackendServerId } from "../../../base/identity.ts";
import type { Service } from "../../../version/document/document.ts";
import type { AttemptId } from "./routing_event.ts";
import type { RoutingOptions } from "./routing_options.ts";
import type { ServerAnnouncement } from "./server_announcement.ts";
import { HealthState, ServerHealth } from "./server_health.ts";

/** A server, its latest announcement and what it works on for us. */
export class ServerEntry {
  readonly serverId: BackendServerId;
  readonly #options: RoutingOptions;
  #announcement: ServerAnnouncement;
  #heardAtMs: number;
  health: ServerHealth;
  /** The attempts in flight, with the moment each began. */
  readonly attempts = new Map<AttemptId, number>();

  constructor(
    announcement: ServerAnnouncement,
    options: { atMs: number; routing: RoutingOptions },
  ) {
    this.serverId = announcement.serverId;
    this.#options = options.routing;
    this.#announcement = announcement;
    this.#heardAtMs = options.atMs;
    this.health = new ServerHealth(options.routing);
  }

  get announcement(): ServerAnnouncement {
    return this.#announcement;
  }

  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /**
   * Takes a newer announcement. An older incarnation is ignored, and leaving
   * holds until the next one, in whatever order announcements come.
   */
  hear(announcement: ServerAnnouncement, atMs: number): void {
    const known = this.#announcement;
    if (announcement.incarnation < known.incarnation) {
      return;
    }
    this.#heardAtMs = Math.max(this.#heardAtMs, atMs);
    if (announcement.incarnation > known.incarnation) {
      this.health = new ServerHealth(this.#options);
      this.#announcement = announcement;
      return;
    }
    const leaving = known.leaving || announcement.leaving;
    this.#announcement = { ...announcement, leaving };
  }

  /** Whether it may get new work at all. */
  isOpen(nowMs: number, service: Service): boolean {
    const ageMs = nowMs - this.#heardAtMs;
    return !this.#announcement.leaving &&
      ageMs < this.#options.announcementLifetimeMs &&
      !service.drainedServers.includes(this.serverId);
  }

  /** Slots that the service's rules and the server itself allow. */
  slots(service: Service): number {
    return Math.min(service.slotsPerServer, this.#announcement.slots);
  }

  /** Whether health lets it take one more. */
  isTrusted(nowMs: number): boolean {
    return this.health.state === HealthState.healthy ||
      (this.health.isProbeDue(nowMs) && this.attempts.size === 0);
  }

  /** How long its oldest attempt has been on its way. */
  oldestAgeMs(nowMs: number): number {
    const first = this.attempts.values().next();
    return first.done === true ? 0 : nowMs - first.value;
  }
}
