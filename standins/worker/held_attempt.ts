/**
 * The tasks of one attempt that lie on one worker, under one lease.
 *
 * @module
 */

import type { Clock, Timer } from "../../src/base/clock.ts";
import type { PretendTask } from "./pretend_task.ts";

/** Options of {@link HeldAttempt}. */
export interface HeldAttemptOptions {
  readonly clock: Clock;
  readonly jobId: string;
  readonly attempt: number;
  /** The term of the leader that reserved it. */
  readonly term: number;
  readonly tasks: readonly PretendTask[];
  /** Called when a reservation ends without a start. */
  readonly onReservationEnd: () => void;
}

/** A reservation, then a lease. */
export class HeldAttempt {
  readonly #options: HeldAttemptOptions;
  #endMs = 0;
  #timer: Timer | undefined;
  #stopTimer: Timer | undefined;

  constructor(options: HeldAttemptOptions) {
    this.#options = options;
  }

  get jobId(): string {
    return this.#options.jobId;
  }

  get attempt(): number {
    return this.#options.attempt;
  }

  get term(): number {
    return this.#options.term;
  }

  get tasks(): readonly PretendTask[] {
    return this.#options.tasks;
  }

  get isReserved(): boolean {
    return this.tasks.some((task) => task.state === "reserved");
  }

  get isRunning(): boolean {
    return this.tasks.some((task) => task.state === "running");
  }

  /** Lets the reservation or lease end no earlier than `endMs`. */
  extend(endMs: number): void {
    if (endMs <= this.#endMs) {
      return;
    }
    this.#endMs = endMs;
    this.#timer?.close();
    const { clock } = this.#options;
    this.#timer = clock.after(endMs - clock.nowMs(), () => this.#lapse());
  }

  /** Stops at `atMs`, after a checkpoint when there is time for one. */
  stopAt(atMs: number, options: { isCheckpointed: boolean }): void {
    const { clock } = this.#options;
    this.#stopTimer ??= clock.after(atMs - clock.nowMs(), () => {
      const outcome = options.isCheckpointed ? "checkpointed" : "stopped";
      this.endTasks(outcome);
    });
  }

  endTasks(outcome: "checkpointed" | "stopped" | "lost"): void {
    for (const task of this.tasks) {
      if (outcome === "checkpointed") {
        task.checkpoint();
      }
      task.end(outcome);
    }
  }

  close(): void {
    this.#timer?.close();
    this.#stopTimer?.close();
    this.tasks.forEach((task) => task.close());
  }

  #lapse(): void {
    if (this.isReserved) {
      this.#options.onReservationEnd();
      return;
    }
    this.endTasks("lost");
  }
}
