/**
 * The programs, workers, links and clients of one play.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { SeededRandom } from "../../src/base/mod.ts";
import { configure, JobClients, type JobShape } from "./clients.ts";
import { controlAddresses, PORTS } from "./layout.ts";
import { WorkerPool } from "./pool_worker.ts";
import { Programs } from "./programs.ts";
import { nowMs, RunHistory } from "./run_history.ts";
import { WorkerProxy } from "./worker_proxy.ts";

/** Everything that a play uses. */
export class TestBed {
  readonly programs: Programs;
  readonly history = new RunHistory();
  readonly clients: JobClients;
  readonly pool: WorkerPool;
  readonly proxies = new Map<string, WorkerProxy>();
  readonly notes: string[] = [];
  readonly #beganAtMs = nowMs();

  constructor(
    programs: Programs,
    options: {
      seed: number;
      failedShare?: number;
      slowIds?: readonly string[];
      /** Of tasks whose jobs other callers have handed in. */
      otherShape?: JobShape;
      /** Where workers find cores; by default, at the first three. */
      controlAddresses?: () => readonly string[];
    },
  ) {
    this.programs = programs;
    const random = randomFraction(options.seed);
    const { layout } = this.programs;
    this.clients = new JobClients(layout, randomFraction(options.seed + 1), {
      otherShape: options.otherShape,
    });
    const {
      controlAddresses: addresses = () => controlAddresses(layout),
    } = options;
    this.pool = new WorkerPool(layout.workers, {
      history: this.history,
      controlAddresses: addresses,
      shapeOf: (task) => this.clients.shapeOf(task),
      random,
      failedShare: options.failedShare ?? 0,
      slowIds: options.slowIds ?? [],
    });
    for (const { id, host, linkHost } of layout.workers) {
      const proxy = new WorkerProxy({
        host: linkHost,
        port: PORTS.worker,
        targetHost: host,
      });
      this.proxies.set(id, proxy);
    }
  }

  /** Waits for a leader, configures it, and adds the workers. */
  async open(): Promise<void> {
    await this.programs.waitFor("a leader", () => this.programs.leader());
    await configure(this.programs);
    await Promise.all([...this.proxies.values()].map((proxy) => proxy.open()));
    await this.pool.open();
  }

  note(text: string): void {
    const seconds = ((nowMs() - this.#beganAtMs) / 1_000).toFixed(3);
    this.notes.push(`${new Date(nowMs()).toISOString()} ${seconds} ${text}`);
  }

  /** Writes the history and the notes, and ends the stand-ins. */
  close(): void {
    this.pool.close();
    this.proxies.forEach((proxy) => proxy.close());
    const { folder } = this.programs.layout;
    writeFileSync(`${folder}/notes.txt`, this.notes.join("\n") + "\n");
    const leaders = this.programs.leadersByEpoch();
    const events = this.history.events.map((event) =>
      JSON.stringify({
        ...event,
        at: new Date(event.atMs).toISOString(),
        core: leaders.get(
          (event.kind === "start" ? event.epoch : event.notedByEpoch) ?? 0,
        ),
      })
    );
    writeFileSync(`${folder}/history.jsonl`, events.join("\n") + "\n");
  }
}

/** Spreads small seeds: the first numbers of neighbouring ones are alike. */
const SEED_FACTOR = 2_654_435_761;

/** Random fractions from a seed. */
export function randomFraction(seed: number): () => number {
  const random = new SeededRandom({
    seed: Math.imul(seed + 1, SEED_FACTOR) >>> 1,
  });
  for (let skipped = 0; skipped < 20; skipped++) {
    random.nextUnit();
  }
  return () => random.nextUnit();
}

/** The values in a random order. */
export function shuffled<T>(
  values: readonly T[],
  random: () => number,
): T[] {
  return values.map((value) => ({ value, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map(({ value }) => value);
}
