/**
 * A simulated outgoing link: like a real one, it takes a moment to open and waits
 * between attempts.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { RandomSource } from "../../base/random_source.ts";

/** Those of the links between real instances. */
const RECONNECT_DELAY_MS = 100;
const RECONNECT_DELAY_LIMIT_MS = 2_000;

/** When TCP repeats what nobody answers. */
const REPEAT_MS = 1_000;

/** Options of {@link FakePeerLink}. */
export interface FakePeerLinkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly openMs: () => number;
  /** Whether the peer accepts, isn't there, or doesn't answer. */
  readonly reachPeer: () => "open" | "refused" | "silent";
  readonly onOpened: () => void;
}

/** The link from one instance to another. */
export class FakePeerLink {
  readonly #options: FakePeerLinkOptions;
  #timer: Timer | undefined;
  #failures = 0;
  #dialAtMs = 0;
  #isOpen = false;
  #isClosed = false;

  constructor(options: FakePeerLinkOptions) {
    this.#options = options;
    this.#dialAfter(0);
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Dials again, unless a link is open; for a peer that has just connected. */
  dialNow(): void {
    const { clock, openMs } = this.#options;
    this.#failures = 0;
    const isUnderWay = this.#dialAtMs <= clock.nowMs() &&
      clock.nowMs() < this.#dialAtMs + openMs();
    if (!this.#isOpen && !this.#isClosed && !isUnderWay) {
      this.#timer?.close();
      this.#dialAfter(0);
    }
  }

  /** The peer's process has ended. */
  handleLoss(): void {
    if (this.#isOpen && !this.#isClosed) {
      this.#isOpen = false;
      this.#retry();
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#isOpen = false;
    this.#timer?.close();
  }

  #dialAfter(delayMs: number): void {
    const { clock, openMs } = this.#options;
    this.#dialAtMs = clock.nowMs() + delayMs;
    this.#timer = clock.after(delayMs + openMs(), () => this.#finishDial());
  }

  #finishDial(): void {
    switch (this.#options.reachPeer()) {
      case "open":
        this.#isOpen = true;
        this.#failures = 0;
        return this.#options.onOpened();
      case "refused":
        return this.#retry();
      case "silent":
        return this.#dialAfter(REPEAT_MS);
    }
  }

  #retry(): void {
    const backoffMs = Math.min(
      RECONNECT_DELAY_LIMIT_MS,
      RECONNECT_DELAY_MS * 2 ** this.#failures,
    );
    this.#failures = Math.min(this.#failures + 1, 10);
    this.#dialAfter(backoffMs * (0.5 + this.#options.random.nextUnit() / 2));
  }
}
