/**
 * The load and the servers of the sweeps, with the users' sizes and latencies.
 *
 * @module
 */

import type { RandomSource } from "../../src/base/mod.ts";
import {
  type Service,
  serviceSchema,
} from "../../src/version/document/document.ts";
import { ServiceTimes } from "../../standins/backend_server/mod.ts";
import type { EventQueue } from "./event_queue.ts";

/** One class of the load. */
export interface LoadClass {
  readonly name: string;
  readonly rank: number;
  /** Share of all requests, 0 to 1. */
  readonly fraction: number;
  readonly timeoutMs: number;
}

/** Quote checks, lookups of density sweeps, and requests that can wait. */
export const LOAD_CLASSES: readonly LoadClass[] = [
  { name: "quote", rank: 0, fraction: 0.15, timeoutMs: 500 },
  { name: "dispatch", rank: 3, fraction: 0.35, timeoutMs: 1_000 },
  { name: "batch", rank: 6, fraction: 0.5, timeoutMs: 2_000 },
];

/** The sizes of one sweep. */
export const SIZES = {
  instances: 8,
  servers: 30,
  slots: 8,
  meanServiceMs: 40,
  serviceSpread: 0.5,
  /** One-way delay between an instance and a server. */
  hopMs: 0.5,
} as const;

/** Requests per second that all slots together can answer. */
export const CAPACITY_PER_SECOND = SIZES.servers * SIZES.slots * 1_000 /
  SIZES.meanServiceMs;

/** Configuration of the service. */
export const SWEEP_SERVICE: Service = serviceSchema.parse({
  owner: "operations",
  slotsPerServer: SIZES.slots,
  classes: LOAD_CLASSES.map(({ name, rank, timeoutMs }) => ({
    name,
    rank,
    defaultTimeoutMs: timeoutMs,
  })),
});

/** Draws a class with its share of the load as probability. */
export function drawClass(random: RandomSource): LoadClass {
  let left = random.nextUnit();
  for (const loadClass of LOAD_CLASSES) {
    left -= loadClass.fraction;
    if (left < 0) {
      return loadClass;
    }
  }
  return LOAD_CLASSES.at(-1) ??
    { name: "", rank: 0, fraction: 1, timeoutMs: 1 };
}

/** A server with slots; requests beyond them wait in its own queue. */
export class ModelServer {
  readonly serverId: string;
  readonly #queue: EventQueue;
  readonly #times: ServiceTimes;
  readonly #slowFactor: number;
  readonly #waiting: (() => void)[] = [];
  #running = 0;
  /** Largest `load` so far. */
  maxLoad = 0;

  constructor(
    options: {
      serverId: string;
      queue: EventQueue;
      random: RandomSource;
      slowFactor: number;
    },
  ) {
    this.serverId = options.serverId;
    this.#queue = options.queue;
    this.#slowFactor = options.slowFactor;
    this.#times = new ServiceTimes({
      random: options.random,
      meanMs: SIZES.meanServiceMs,
      spread: SIZES.serviceSpread,
    });
  }

  /** Number of running and queued requests. */
  get load(): number {
    return this.#running + this.#waiting.length;
  }

  run(done: () => void): void {
    this.maxLoad = Math.max(this.maxLoad, this.load + 1);
    if (this.#running < SIZES.slots) {
      this.#start(done);
    } else {
      this.#waiting.push(done);
    }
  }

  #start(done: () => void): void {
    this.#running += 1;
    this.#queue.after(this.#times.next() * this.#slowFactor, () => {
      this.#running -= 1;
      done();
      const next = this.#waiting.shift();
      if (next !== undefined) {
        this.#start(next);
      }
    });
  }
}
