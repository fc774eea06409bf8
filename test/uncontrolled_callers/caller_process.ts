/**
 * A process that sends a load, as seen by the test that starts it.
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import type { CallerLoadName } from "./caller_loads.ts";
import type { LoadTarget } from "./unreading_callers.ts";

/** What a {@link CallerProcess} sends. */
export interface CallersOptions {
  /** The connections are divided evenly among the loads. */
  readonly loads: readonly CallerLoadName[];
  readonly target: LoadTarget;
  readonly connections: number;
}

/** What the callers have done so far. */
export interface CallersProgress {
  /** Connections that are neither closed nor have sent all. */
  readonly sending: number;
  /** Bytes handed to the operating system on all connections. */
  readonly sentBytes: number;
}

/** A load that ends when everything is sent, or after this. */
const LOAD_MS = 1_500;

const POLL_MS = 25;

/** Callers in a process of their own; they stay connected until `close`. */
export class CallerProcess {
  readonly #child: ChildProcess;
  #progress: CallersProgress | undefined;

  constructor(options: CallersOptions) {
    const program = new URL("./callers_main.js", import.meta.url);
    this.#child = fork(program, [JSON.stringify(options)]);
    this.#child.on("message", (progress) => {
      this.#progress = progress as CallersProgress;
    });
  }

  get sentBytes(): number {
    return this.#progress?.sentBytes ?? 0;
  }

  /**
   * Waits until the load is sent or has lasted for its time; `onPoll` returns
   * false to end the wait.
   */
  async waitUntilSent(
    options: { loadMs?: number; onPoll?: () => boolean } = {},
  ): Promise<void> {
    const { loadMs = LOAD_MS, onPoll = () => true } = options;
    if (this.#progress === undefined) {
      await once(this.#child, "message");
    }
    const endMs = performance.now() + loadMs;
    while (onPoll()) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      const isOver = this.#progress?.sending === 0 || performance.now() > endMs;
      if (isOver) {
        return;
      }
    }
  }

  /** Ends the process, and resolves when it has ended. */
  async close(): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      const ended = once(this.#child, "exit");
      this.#child.kill("SIGKILL");
      await ended;
    }
  }
}
