/**
 * Calls to other members that await a reply.
 *
 * @module
 */

import type { RaftMessageOf } from "./raft_message.ts";

/** A reply to a call. */
export type PeerReply = RaftMessageOf<"proposeReply" | "readReply">;

/** How many received calls a member records to detect duplicates. */
const SEEN_CALLS_LIMIT = 8_192;

/** The pending calls of one member. */
export class PeerCalls {
  #nextId: number;
  #pending = new Map<number, (reply: PeerReply | undefined) => void>();

  /** IDs start from the clock, so that none repeats after a restart. */
  constructor(options: { nowMs: number }) {
    this.#nextId = Math.floor(Math.max(1, options.nowMs)) * 1_024;
  }

  /** Registers a call; the listener gets undefined if no reply will come. */
  open(listener: (reply: PeerReply | undefined) => void): number {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#pending.set(id, listener);
    return id;
  }

  handleReply(reply: PeerReply): void {
    const listener = this.#pending.get(reply.id);
    this.#pending.delete(reply.id);
    listener?.(reply);
  }

  cancel(id: number): void {
    this.#pending.delete(id);
  }

  endAll(): void {
    const listeners = [...this.#pending.values()];
    this.#pending.clear();
    for (const listener of listeners) {
      listener(undefined);
    }
  }
}

/** Detects calls that arrive twice. */
export class CallDeduplicator {
  #seen = new Set<string>();

  /** Whether this call has not been received before. */
  isNew(from: string, id: number): boolean {
    const key = `${from} ${id}`;
    if (this.#seen.has(key)) {
      return false;
    }
    this.#seen.add(key);
    if (this.#seen.size > SEEN_CALLS_LIMIT) {
      const [oldest] = this.#seen;
      this.#seen.delete(oldest!);
    }
    return true;
  }
}
