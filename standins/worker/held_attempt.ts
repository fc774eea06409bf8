/**
 * The tasks of one attempt on one worker, under one lease.
 *
 * @module
 */

import type { Clock, Timer } from "../../src/base/clock.ts";
import type { SimulatedTask } from "./simulated_task.ts";

/** Options of {@link HeldAttempt}. */
export interface HeldAttemptOptions {
  readonly clock: Clock;
  readonly jobId: string;
  readonly attempt: number;
  /** The term of the leader that made the reservation. */
  readonly term: number;
  readonly tasks: readonly SimulatedTask[];
  /** Called when a reservation expires without a start. */
  readonly onReservationEnd: () => void;
}

/** An attempt that is reserved, and runs under a lease once started. */
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

  get tasks(): readonly SimulatedTask[] {
    return this.#options.tasks;
  }

  get isReserved(): boolean {
    return this.tasks.some((task) => task.state === "reserved");
  }

  get isRunning(): boolean {
    return this.tasks.some((task) => task.state === "running");
  }

  /** Extends the reservation or lease to `endMs`; never shortens it. */
  extend(endMs: number): void {
    if (endMs <= this.#endMs) {
      return;
    }
    this.#endMs = endMs;
    this.#timer?.close();
    const { clock } = this.#options;
    this.#timer = clock.after(endMs - clock.nowMs(), () => this.#expire());
  }

  /**
   * Stops the tasks at `atMs`, with a checkpoint if `isCheckpointed`. Only the
   * first call counts.
   */
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

  #expire(): void {
    if (this.isReserved) {
      this.#options.onReservationEnd();
      return;
    }
    this.endTasks("lost");
  }
}
