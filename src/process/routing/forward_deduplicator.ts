/**
 * Records which forwarded calls were accepted, so that a call whose messages
 * arrive twice is run once.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";

/** How far a call's ID may be below the newest ID of its sender. */
const WINDOW_CALLS = 4_096;

interface SenderWindow {
  readonly incarnation: number;
  readonly seen: Set<number>;
  newest: number;
}

/** The accepted calls of each sender, in a window of bounded size. */
export class ForwardDeduplicator {
  readonly #senders = new Map<InstanceId, SenderWindow>();

  /** True once for each call; false for a repeat or a call too old to check. */
  accept(
    from: InstanceId,
    call: { incarnation: number; forwardId: number },
  ): boolean {
    const window = this.#windowOf(from, call.incarnation);
    const { forwardId } = call;
    const isRejected = window === undefined ||
      forwardId <= window.newest - WINDOW_CALLS || window.seen.has(forwardId);
    if (isRejected) {
      return false;
    }
    window.seen.add(forwardId);
    window.newest = Math.max(window.newest, forwardId);
    if (window.seen.size > 2 * WINDOW_CALLS) {
      this.#trim(window);
    }
    return true;
  }

  #windowOf(from: InstanceId, incarnation: number): SenderWindow | undefined {
    const known = this.#senders.get(from);
    if (known !== undefined && incarnation <= known.incarnation) {
      return incarnation === known.incarnation ? known : undefined;
    }
    const window = { incarnation, seen: new Set<number>(), newest: 0 };
    this.#senders.set(from, window);
    return window;
  }

  #trim(window: SenderWindow): void {
    for (const forwardId of window.seen) {
      if (forwardId <= window.newest - WINDOW_CALLS) {
        window.seen.delete(forwardId);
      }
    }
  }
}
