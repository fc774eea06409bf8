/**
 * Divides the time of the event loop among the connections of one server.
 *
 * Load condition: hundreds of connections have complete requests waiting. If
 * each began some of them in every turn of the event loop, a turn would take
 * seconds, and a caller that sends a single request waits for several turns.
 *
 * @module
 */

/** Work that a connection has waiting. */
export interface TurnClient {
  /** Called in its turn; asks {@link TurnQueue.take} before each part. */
  onTurn(): void;
}

/** Options of {@link TurnQueue}. */
export interface TurnQueueOptions {
  /**
   * The work of one turn of the event loop, in estimated bytes of heap; about 8
   * ordinary requests by default.
   */
  readonly turnBytes?: number;
  /** What a connection may do in one turn while others wait. */
  readonly shareBytes?: number;
  /** Runs a callback in the next turn of the event loop. */
  readonly defer?: (callback: () => void) => void;
}

/** The defaults of {@link TurnQueueOptions}. */
export const TURN_QUEUE_DEFAULTS = {
  turnBytes: 98_304,
  shareBytes: 24_576,
  defer: (callback: () => void) => void setImmediate(callback),
} as const satisfies TurnQueueOptions;

/** What a connection has done in one turn. */
interface TurnUse {
  readonly turn: number;
  readonly bytes: number;
}

/**
 * Connections with more work than their share wait in a queue, and are served in
 * the order in which they began to wait. A connection that doesn't wait may do
 * its share at once: a caller with a single request doesn't wait behind others
 * that have sent many ahead.
 */
export class TurnQueue {
  readonly #options: Required<TurnQueueOptions>;
  readonly #uses = new WeakMap<TurnClient, TurnUse>();
  readonly #waiting = new Set<TurnClient>();
  #turn = 0;
  #turnBytes = 0;
  #isDeferred = false;

  constructor(options: TurnQueueOptions = {}) {
    this.#options = { ...TURN_QUEUE_DEFAULTS, ...options };
  }

  /** How many clients wait for their turn. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /**
   * Whether the client may do work of this size now. Otherwise `onTurn` is called
   * in one of the next turns. Work of any size is done in some turn.
   */
  take(client: TurnClient, bytes: number): boolean {
    const { turnBytes, shareBytes } = this.#options;
    const usedBytes = this.#usedBytes(client);
    const isWithinShare = usedBytes + bytes <= shareBytes;
    const isTurnFull = this.#turnBytes >= turnBytes;
    const mayTake = this.#waiting.has(client)
      ? false
      : isWithinShare || (!isTurnFull && !this.#mustLeaveTurn(usedBytes));
    if (!mayTake) {
      this.#waiting.add(client);
      this.#defer();
      return false;
    }
    this.#turnBytes += bytes;
    this.#uses.set(client, { turn: this.#turn, bytes: usedBytes + bytes });
    if (this.#turnBytes >= turnBytes) {
      this.#defer();
    }
    return true;
  }

  /** Forgets a client that has no more work. */
  leave(client: TurnClient): void {
    this.#waiting.delete(client);
  }

  /** While others wait, more than the first part of a turn needs a share. */
  #mustLeaveTurn(usedBytes: number): boolean {
    return usedBytes > 0 && this.#waiting.size > 0;
  }

  #usedBytes(client: TurnClient): number {
    const use = this.#uses.get(client);
    return use?.turn === this.#turn ? use.bytes : 0;
  }

  #defer(): void {
    if (!this.#isDeferred) {
      this.#isDeferred = true;
      this.#options.defer(() => this.#beginTurn());
    }
  }

  #beginTurn(): void {
    this.#isDeferred = false;
    this.#turn += 1;
    this.#turnBytes = 0;
    for (const client of [...this.#waiting]) {
      if (this.#turnBytes >= this.#options.turnBytes) {
        break;
      }
      this.#waiting.delete(client);
      client.onTurn();
    }
    if (this.#waiting.size > 0) {
      this.#defer();
    }
  }
}
