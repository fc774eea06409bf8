/**
 * Remembers which forwarded calls were taken on, so that a call whose
 * messages come twice is run once.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";

/** How far behind its sender's newest call a call may come. */
const WINDOW = 4_096;

interface SenderMemory {
  readonly incarnation: number;
  readonly seen: Set<number>;
  newest: number;
}

/** Calls taken on, by sender; bounded for each. */
export class ForwardMemory {
  readonly #senders = new Map<InstanceId, SenderMemory>();

  /** True once for every call; false for one that is too old to tell. */
  take(
    from: InstanceId,
    call: { incarnation: number; forwardId: number },
  ): boolean {
    const memory = this.#memoryOf(from, call.incarnation);
    const { forwardId } = call;
    const isOld = memory === undefined ||
      forwardId <= memory.newest - WINDOW || memory.seen.has(forwardId);
    if (isOld) {
      return false;
    }
    memory.seen.add(forwardId);
    memory.newest = Math.max(memory.newest, forwardId);
    if (memory.seen.size > 2 * WINDOW) {
      this.#trim(memory);
    }
    return true;
  }

  #memoryOf(from: InstanceId, incarnation: number): SenderMemory | undefined {
    const known = this.#senders.get(from);
    if (known !== undefined && incarnation <= known.incarnation) {
      return incarnation === known.incarnation ? known : undefined;
    }
    const memory = { incarnation, seen: new Set<number>(), newest: 0 };
    this.#senders.set(from, memory);
    return memory;
  }

  #trim(memory: SenderMemory): void {
    for (const forwardId of memory.seen) {
      if (forwardId <= memory.newest - WINDOW) {
        memory.seen.delete(forwardId);
      }
    }
  }
}
