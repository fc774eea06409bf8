/**
 * Remembers searches for a block that failed, so that they aren't repeated
 * before capacity is freed.
 *
 * @module
 */

import type { BlockRequest } from "./placement.ts";

/** Keys of the searches that failed since capacity was last freed. */
export class FailedSearchCache {
  readonly #keys = new Set<string>();

  has(key: string): boolean {
    return this.#keys.has(key);
  }

  /**
   * Records a failed search, unless it excluded workers: the key is the same
   * as without exclusions.
   */
  record(key: string, request: BlockRequest): void {
    if (request.avoided.size === 0) {
      this.#keys.add(key);
    }
  }

  /** Forgets all failed searches; to be called when capacity is freed. */
  clear(): void {
    this.#keys.clear();
  }
}
