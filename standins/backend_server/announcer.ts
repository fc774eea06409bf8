/**
 * Announces a stand-in backend server to instances.
 *
 * @module
 */

import { request } from "undici";
import type { Clock, RandomSource, Timer } from "../../src/base/mod.ts";

/** How often a server announces itself. */
export const ANNOUNCE_PERIOD_MS = 900;

/** The body of an announcement, apart from `leaving`. */
export interface AnnouncementBody {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly dataCentre: string;
  readonly incarnation: number;
}

/** Options of {@link Announcer}. */
export interface AnnouncerOptions {
  readonly serverId: string;
  readonly body: AnnouncementBody;
  /** HTTP addresses of instances; one of them gets each announcement. */
  readonly instances: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Announces a server periodically until it is closed. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #timer: Timer | undefined;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    this.#timer = this.#options.clock.every(ANNOUNCE_PERIOD_MS, () => {
      void this.#announceToAny(false);
    });
    await this.#announceToAny(false);
  }

  /** Announces to all instances, periodically, that the server is leaving. */
  async leave(): Promise<void> {
    this.#timer?.close();
    this.#timer = this.#options.clock.every(ANNOUNCE_PERIOD_MS, () => {
      void this.#announceToAll();
    });
    await this.#announceToAll();
  }

  close(): void {
    this.#timer?.close();
  }

  async #announceToAll(): Promise<void> {
    const { instances } = this.#options;
    await Promise.all(instances.map((address) => this.#post(address, true)));
  }

  /** Tries the instances in turn, from a random one, until one accepts. */
  async #announceToAny(leaving: boolean): Promise<void> {
    const { instances, random } = this.#options;
    if (instances.length === 0) {
      return;
    }
    const firstIndex = random.nextInt(instances.length);
    for (let offset = 0; offset < instances.length; offset += 1) {
      const address = instances[(firstIndex + offset) % instances.length];
      if (address !== undefined && await this.#post(address, leaving)) {
        return;
      }
    }
  }

  async #post(address: string, leaving: boolean): Promise<boolean> {
    const { serverId, body } = this.#options;
    const url = `http://${address}/v1/backends/${serverId}/announce`;
    try {
      const response = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ ...body, leaving }),
        headersTimeout: ANNOUNCE_PERIOD_MS,
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
