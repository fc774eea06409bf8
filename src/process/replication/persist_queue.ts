/**
 * Executes persist effects, with one sync for all that are queued, and holds
 * back the messages that must wait for them.
 *
 * @module
 */

import {
  failure,
  type Result,
  type SesameError,
} from "../../base/sesame_error.ts";
import type { LogStore } from "./log_store.ts";
import type { PersistEffect, SendEffect } from "./raft_effect.ts";

/** Options of {@link PersistQueue}. */
export interface PersistQueueOptions {
  /** Where to persist; absent for a member without a disk. */
  readonly store: LogStore | undefined;
  readonly send: (effect: SendEffect) => void;
  /** Everything up to this sequence is durable. */
  readonly onPersisted: (sequence: number) => void;
  /** The disk failed; the owner must stop this queue. */
  readonly onFailure: (error: SesameError) => void;
}

/** Sends messages after the syncs that they depend on. */
export class PersistQueue {
  #options: PersistQueueOptions;
  #queue: PersistEffect[] = [];
  #heldMessages: SendEffect[] = [];
  #persistedSequence = 0;
  #isRunning = false;
  #isStopped = false;

  constructor(options: PersistQueueOptions) {
    this.#options = options;
  }

  persist(effect: PersistEffect): void {
    if (this.#isStopped) {
      return;
    }
    if (this.#options.store === undefined) {
      this.#release(effect.sequence);
      return;
    }
    this.#queue.push(effect);
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run();
    }
  }

  send(effect: SendEffect): void {
    if (this.#isStopped) {
      return;
    }
    if (effect.afterSequence <= this.#persistedSequence) {
      this.#options.send(effect);
    } else {
      this.#heldMessages.push(effect);
    }
  }

  /** Drops all queued effects and messages. */
  stop(): void {
    this.#isStopped = true;
    this.#queue = [];
    this.#heldMessages = [];
  }

  async #run(): Promise<void> {
    while (this.#queue.length > 0 && !this.#isStopped) {
      const batch = this.#queue;
      this.#queue = [];
      const result = await this.#write(batch);
      if (this.#isStopped) {
        break;
      }
      result.caseOf({
        Left: (error) => this.#options.onFailure(error),
        Right: () => this.#release(batch.at(-1)!.sequence),
      });
    }
    this.#isRunning = false;
  }

  async #write(batch: readonly PersistEffect[]): Promise<Result<void>> {
    try {
      return await this.#options.store!.persist(batch);
    } catch (error) {
      return failure("storageFailed", { detail: String(error) });
    }
  }

  #release(sequence: number): void {
    this.#persistedSequence = sequence;
    const ready = this.#heldMessages.filter((message) =>
      message.afterSequence <= sequence
    );
    this.#heldMessages = this.#heldMessages.filter((message) =>
      message.afterSequence > sequence
    );
    for (const effect of ready) {
      this.#options.send(effect);
    }
    this.#options.onPersisted(sequence);
  }
}
