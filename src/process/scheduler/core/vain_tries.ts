/**
 * Remembers what was tried in vain, so that it isn't tried again before room
 * comes free.
 *
 * @module
 */

import type { BlockRequest } from "./placement.ts";

/** What was tried in vain since room last came free. */
export class VainTries {
  readonly #keys = new Set<string>();

  has(key: string): boolean {
    return this.#keys.has(key);
  }

  /** Notes a try, unless it left workers out. */
  note(key: string, request: BlockRequest): void {
    if (request.avoided.size === 0) {
      this.#keys.add(key);
    }
  }

  /** Forgets all, since room came free. */
  clear(): void {
    this.#keys.clear();
  }
}
