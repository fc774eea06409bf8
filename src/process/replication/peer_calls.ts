/**
 * Questions to other members that await an answer.
 *
 * @module
 */

import type { RaftMessageOf } from "./raft_message.ts";

/** An answer to a question. */
export type PeerAnswer = RaftMessageOf<"proposeReply" | "readReply">;

/** Calls that a member remembers having taken, so as to take none twice. */
const SEEN_LIMIT = 8_192;

/** The open questions of one member. */
export class PeerCalls {
  #nextId: number;
  #waiting = new Map<number, (answer: PeerAnswer | undefined) => void>();

  /** Identities go on from the clock, so that a restart repeats none. */
  constructor(options: { nowMs: number }) {
    this.#nextId = Math.floor(Math.max(1, options.nowMs)) * 1_024;
  }

  /** Opens a question; the listener gets undefined when none will come. */
  open(listener: (answer: PeerAnswer | undefined) => void): number {
    const id = this.#nextId;
    this.#nextId += 1;
    this.#waiting.set(id, listener);
    return id;
  }

  answer(answer: PeerAnswer): void {
    const listener = this.#waiting.get(answer.id);
    this.#waiting.delete(answer.id);
    listener?.(answer);
  }

  abandon(id: number): void {
    this.#waiting.delete(id);
  }

  endAll(): void {
    const listeners = [...this.#waiting.values()];
    this.#waiting.clear();
    for (const listener of listeners) {
      listener(undefined);
    }
  }
}

/** Notices a call that came twice. */
export class SeenCalls {
  #seen = new Set<string>();

  /** True the first time that it is given this call. */
  isNew(from: string, id: number): boolean {
    const key = `${from} ${id}`;
    if (this.#seen.has(key)) {
      return false;
    }
    this.#seen.add(key);
    if (this.#seen.size > SEEN_LIMIT) {
      const [oldest] = this.#seen;
      this.#seen.delete(oldest!);
    }
    return true;
  }
}
