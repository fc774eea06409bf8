/**
 * Faults of a soak, drawn from a seed: each hits one core or one worker for a
 * while, and several may last at once.
 *
 * @module
 */

import { delay } from "../process/cluster.ts";
import { announce, reportDeparture } from "./clients.ts";
import { BOUNDS } from "./layout.ts";
import type { PoolWorker } from "./pool_worker.ts";
import type { TestBed } from "./test_bed.ts";
import type { LinkFault } from "./worker_proxy.ts";

/** How long a fault waits for the leader's next plan. */
const PLAN_LIMIT_MS = 2_000;

/** Disturbs the programs and workers of a test bed. */
export class Faults {
  readonly #bed: TestBed;
  readonly #random: () => number;
  readonly #workersHit = new Set<string>();
  readonly #coresHit = new Set<string>();
  readonly #lasting = new Set<Promise<void>>();
  #isClosed = false;

  constructor(bed: TestBed, random: () => number) {
    this.#bed = bed;
    this.#random = random;
  }

  /** Begins one fault after another until the time is over. */
  async run(
    options: { durationMs: number; longestGapMs: number },
  ): Promise<void> {
    const { durationMs, longestGapMs } = options;
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
      await delay(this.#between(100, longestGapMs));
      const lasting = this.#begin().catch((error) =>
        this.#bed.note(`fault failed: ${error}`)
      );
      this.#lasting.add(lasting);
      void lasting.then(() => this.#lasting.delete(lasting));
    }
    this.#isClosed = true;
    await Promise.all(this.#lasting);
  }

  #begin(): Promise<void> {
    const faults = [
      () => this.#pauseCore(),
      () => this.#pauseCore(),
      () => this.#killCore(),
      () => this.#killAfterPlan(),
      () => this.#disturbLink(),
      () => this.#disturbLink(),
      () => this.#disturbLink(),
      () => this.#disturbLink(),
      () => this.#restartWorker(),
      () => this.#departWorker(),
      () => this.#departWorker(),
      () => this.#load(),
    ];
    return this.#pick(faults)();
  }

  /** The leader more often than not; undefined while another core is hit. */
  #pickCore(): string | undefined {
    const { programs } = this.#bed;
    const leader = programs.leader();
    const name = leader !== undefined && this.#random() < 0.7
      ? leader
      : this.#pick(programs.cores).name;
    const isAllowed = this.#coresHit.size === 0 ||
      (this.#coresHit.size === 1 && this.#random() < 0.2);
    return isAllowed && !this.#coresHit.has(name) ? name : undefined;
  }

  async #onCore(
    name: string | undefined,
    hit: (name: string) => Promise<void>,
  ): Promise<void> {
    if (name === undefined) {
      return;
    }
    this.#coresHit.add(name);
    await hit(name);
    this.#coresHit.delete(name);
  }

  #pauseCore(): Promise<void> {
    return this.#onCore(this.#pickCore(), async (name) => {
      if (this.#random() < 0.4) {
        await this.#waitForPlan(name);
      }
      const pauseMs = this.#between(500, 6_000);
      this.#bed.note(`SIGSTOP to ${name} for ${pauseMs} ms`);
      this.#bed.programs.signal(name, "SIGSTOP");
      await delay(pauseMs);
      this.#bed.programs.signal(name, "SIGCONT");
      this.#bed.note(`SIGCONT to ${name}`);
    });
  }

  #killCore(): Promise<void> {
    return this.#onCore(this.#pickCore(), (name) => this.#kill(name));
  }

  #killAfterPlan(): Promise<void> {
    const leader = this.#bed.programs.leader();
    const isFree = this.#coresHit.size === 0;
    return this.#onCore(isFree ? leader : undefined, async (name) => {
      await this.#waitForPlan(name);
      await delay(this.#pick([0, 0, 5, 20, 100]));
      await this.#kill(name);
    });
  }

  async #kill(name: string): Promise<void> {
    const downMs = this.#between(100, 3_000);
    this.#bed.note(`SIGKILL to ${name}, down for ${downMs} ms`);
    await this.#bed.programs.kill(name, downMs);
  }

  /** Waits until the leader has stored a start, for a while. */
  async #waitForPlan(name: string): Promise<void> {
    const count = () =>
      this.#bed.programs.lines(name)
        .filter(({ event }) => event === "taskStarted").length;
    const before = count();
    const endMs = performance.now() + PLAN_LIMIT_MS;
    while (count() === before && performance.now() < endMs) {
      await delay(5);
    }
  }

  async #onWorker(hit: (worker: PoolWorker) => Promise<void>): Promise<void> {
    const free = this.#bed.pool.workers.filter(({ place, isUp }) =>
      isUp && !this.#workersHit.has(place.id)
    );
    // Workers at work are of more interest.
    const busy = free.filter(({ tasks }) => tasks.length > 0);
    const worker = this.#pick(busy.length > 0 ? busy : free);
    if (worker === undefined) {
      return;
    }
    // A worker may get another ID while it is hit.
    const { id } = worker.place;
    this.#workersHit.add(id);
    await hit(worker);
    this.#workersHit.delete(id);
  }

  #disturbLink(): Promise<void> {
    return this.#onWorker(async (worker) => {
      const proxy = this.#bed.proxies.get(worker.place.id)!;
      const deliversAfterClose = this.#random() < 0.5;
      const fault = this.#pick<LinkFault>([
        { refuses: true },
        { refuses: true },
        { holdsToWorker: true, holdsToCaller: true, deliversAfterClose },
        { holdsToWorker: true, deliversAfterClose },
        { holdsToCaller: true },
        { delayToCallerMs: this.#between(50, 900) },
        { delayToWorkerMs: this.#between(50, 900), deliversAfterClose },
        {},
      ]);
      const lengthMs = this.#between(300, 8_000);
      worker.isCutOff = this.#random() < 0.5;
      this.#bed.note(
        `link to ${worker.id} for ${lengthMs} ms: ${JSON.stringify(fault)}` +
          (worker.isCutOff ? ", its heartbeats are lost" : ""),
      );
      proxy.reset();
      await proxy.set(fault);
      await delay(lengthMs);
      worker.isCutOff = false;
      await proxy.heal();
      this.#bed.note(`link to ${worker.id} is whole`);
    });
  }

  #restartWorker(): Promise<void> {
    return this.#onWorker(async (worker) => {
      const downMs = this.#between(100, 1_500);
      const before = worker.id;
      const id = this.#random() < 0.6
        ? before
        : `${worker.place.id}-${Date.now() % 1_000_000}`;
      const heartbeat = worker.nextHeartbeat();
      this.#bed.note(`${before} crashes, back as ${id} after ${downMs} ms`);
      await worker.restart(downMs, id);
      if (this.#random() < 0.5) {
        // A heartbeat from before the crash may arrive after it.
        await delay(this.#between(0, 3_000));
        this.#bed.note(`a heartbeat of ${before} arrives late`);
        await announce(this.#bed.programs, before, heartbeat);
      }
    });
  }

  /** A worker drains, leaves, and is started again later under its ID. */
  #departWorker(): Promise<void> {
    return this.#onWorker(async (worker) => {
      this.#bed.note(`${worker.id} drains`);
      await worker.drain();
      await delay(BOUNDS.drainMs + this.#between(0, 1_500));
      const isAckLost = this.#random() < 0.4;
      const ackDelayMs = this.#between(0, 500);
      this.#bed.note(
        `${worker.id} leaves, acknowledgement ` +
          (isAckLost ? "lost" : `after ${ackDelayMs} ms`),
      );
      await worker.leave({ isAckLost, ackDelayMs });
      this.#bed.note(`${worker.id} has ended`);
      await delay(this.#isClosed ? 100 : this.#between(300, 3_000));
      await worker.open();
      this.#bed.note(`${worker.id} is back`);
      if (this.#random() < 0.3) {
        await delay(this.#between(0, 2_000));
        this.#bed.note(`a report that ${worker.id} leaves arrives late`);
        await reportDeparture(this.#bed.programs, worker.id);
      }
    });
  }

  async #load(): Promise<void> {
    const { programs } = this.#bed;
    programs.release("busy");
    await delay(this.#between(500, 4_000));
    programs.hold("busy");
    programs.signal("busy", "SIGKILL");
  }

  #between(least: number, most: number): number {
    return Math.floor(least + this.#random() * (most - least));
  }

  #pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.#random() * values.length)]!;
  }
}
