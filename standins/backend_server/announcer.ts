/**
 * Announces a stand-in backend server to entry instances.
 *
 * @module
 */

import { request } from "undici";
import type { Clock, RandomSource, Timer } from "../../src/base/mod.ts";

/** How often a server announces itself. */
export const ANNOUNCE_PERIOD_MS = 900;

/** What a server says of itself. */
export interface AnnouncementBody {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly dataCentre: string;
  readonly incarnation: number;
}

/** What an announcer is built from. */
export interface AnnouncerOptions {
  readonly serverId: string;
  readonly body: AnnouncementBody;
  /** HTTP addresses of entry instances; each announcement goes to one. */
  readonly instances: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Announces a server about once a second until it is closed. */
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

  /** Tells every instance that the server leaves, and goes on doing so. */
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

  /** Tries the instances from a random one on, until one accepts. */
  async #announceToAny(leaving: boolean): Promise<void> {
    const { instances, random } = this.#options;
    if (instances.length === 0) {
      return;
    }
    const firstAt = random.nextInt(instances.length);
    for (let step = 0; step < instances.length; step += 1) {
      const address = instances[(firstAt + step) % instances.length];
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
