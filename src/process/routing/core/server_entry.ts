/**
 * One backend server as known to this instance.
 *
 * @module
 */

import type { BackendServerId } from "../../../base/identity.ts";
import type { Service } from "../../../version/document/document.ts";
import type { AttemptId } from "./routing_event.ts";
import type { RoutingOptions } from "./routing_options.ts";
import type { ServerAnnouncement } from "./server_announcement.ts";
import { HealthState, ServerHealth } from "./server_health.ts";

/** A server's latest announcement, health and attempts of this instance. */
export class ServerEntry {
  readonly serverId: BackendServerId;
  readonly #options: RoutingOptions;
  #announcement: ServerAnnouncement;
  #announcedAtMs: number;
  health: ServerHealth;
  /** Start times of the attempts in flight, oldest first. */
  readonly attempts = new Map<AttemptId, number>();

  constructor(
    announcement: ServerAnnouncement,
    options: { atMs: number; routing: RoutingOptions },
  ) {
    this.serverId = announcement.serverId;
    this.#options = options.routing;
    this.#announcement = announcement;
    this.#announcedAtMs = options.atMs;
    this.health = new ServerHealth(options.routing);
  }

  get announcement(): ServerAnnouncement {
    return this.#announcement;
  }

  get announcedAtMs(): number {
    return this.#announcedAtMs;
  }

  /**
   * Applies an announcement. An older incarnation is ignored. `leaving` stays
   * set until the next incarnation, since announcements may arrive out of
   * order.
   */
  update(announcement: ServerAnnouncement, atMs: number): void {
    const known = this.#announcement;
    if (announcement.incarnation < known.incarnation) {
      return;
    }
    this.#announcedAtMs = Math.max(this.#announcedAtMs, atMs);
    if (announcement.incarnation > known.incarnation) {
      this.health = new ServerHealth(this.#options);
      this.#announcement = announcement;
      return;
    }
    const leaving = known.leaving || announcement.leaving;
    this.#announcement = { ...announcement, leaving };
  }

  /** Whether it announced itself recently and is neither leaving nor drained. */
  acceptsNewWork(nowMs: number, service: Service): boolean {
    const ageMs = nowMs - this.#announcedAtMs;
    return !this.#announcement.leaving &&
      ageMs < this.#options.announcementLifetimeMs &&
      !service.drainedServers.includes(this.serverId);
  }

  /** The lower of the service's limit and the server's own. */
  slots(service: Service): number {
    return Math.min(service.slotsPerServer, this.#announcement.slots);
  }

  /** Whether its health allows an attempt: healthy, or idle and due a probe. */
  allowsAttempt(nowMs: number): boolean {
    return this.health.state === HealthState.healthy ||
      (this.health.isProbeDue(nowMs) && this.attempts.size === 0);
  }

  /** Age of its oldest attempt in flight; 0 without one. */
  oldestAttemptAgeMs(nowMs: number): number {
    const oldest = this.attempts.values().next();
    return oldest.done === true ? 0 : nowMs - oldest.value;
  }
}
