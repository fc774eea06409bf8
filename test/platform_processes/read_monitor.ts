/**
 * Reads the configuration at cores again and again, and keeps the answers.
 *
 * @module
 */

import { delay } from "../process/cluster.ts";
import { type ConfigurationRead, readConfiguration } from "./clients.ts";
import type { ProgramPlace } from "./layout.ts";
import { nowMs } from "./run_history.ts";

/** A read, when it was sent and when it ended. */
export interface TimedRead extends ConfigurationRead {
  readonly core: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
}

const READ_PERIOD_MS = 150;

/** Reads at each core that is added, until it is removed. */
export class ReadMonitor {
  readonly reads: TimedRead[] = [];
  readonly #cores = new Map<string, ProgramPlace>();

  add(core: ProgramPlace): void {
    this.#cores.set(core.name, core);
    void this.#readOn(core);
  }

  remove({ name }: { name: string }): void {
    this.#cores.delete(name);
  }

  close(): void {
    this.#cores.clear();
  }

  /** The first read that a core answered of those sent from `fromMs` on. */
  firstAnswer(core: string, fromMs: number): TimedRead | undefined {
    return this.reads.find((read) =>
      read.core === core && read.sentAtMs >= fromMs && read.status === 200
    );
  }

  async #readOn(core: ProgramPlace): Promise<void> {
    while (this.#cores.get(core.name) === core) {
      const sentAtMs = nowMs();
      const read = await readConfiguration(core);
      this.reads.push({
        ...read,
        core: core.name,
        sentAtMs,
        endedAtMs: nowMs(),
      });
      await delay(READ_PERIOD_MS);
    }
  }
}
