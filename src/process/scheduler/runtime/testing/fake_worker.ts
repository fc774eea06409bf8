/**
 * Workers without sockets, each on its own clock, for tests.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock, Timer } from "../../../../base/clock.ts";
import { failure, type Result } from "../../../../base/sesame_error.ts";
import {
  WorkerTasks,
  type WorkerTasksOptions,
} from "../../../../../standins/worker/worker_tasks.ts";
import type { TaskEvent } from "../../../../../standins/worker/worker_types.ts";
import type { WorkerClient } from "../worker_client.ts";
import type { WorkerAnswer, WorkerCommand } from "../worker_command.ts";
import type { WorkerReport } from "../worker_report.ts";
import type { FakeLinks } from "./fake_links.ts";

/** A clock whose origin and rate differ from those of its base clock. */
export class DriftingClock implements Clock {
  readonly #clock: Clock;
  readonly #rate: number;
  readonly #originMs: number;
  readonly #beganAtMs: number;

  constructor(options: { clock: Clock; rate: number; originMs: number }) {
    this.#clock = options.clock;
    this.#rate = options.rate;
    this.#originMs = options.originMs;
    this.#beganAtMs = options.clock.nowMs();
  }

  nowMs(): number {
    const elapsedMs = this.#clock.nowMs() - this.#beganAtMs;
    return this.#originMs + elapsedMs * this.#rate;
  }

  steadyMs(): number {
    return this.#clock.steadyMs() * this.#rate;
  }

  timeOfDayMs(): number {
    return this.#clock.timeOfDayMs();
  }

  after(delayMs: number, action: () => void): Timer {
    return this.#clock.after(delayMs / this.#rate, action);
  }

  every(periodMs: number, action: () => void): Timer {
    return this.#clock.every(periodMs / this.#rate, action);
  }
}

/** Options of {@link FakeWorker}. */
export interface FakeWorkerOptions {
  readonly clock: Clock;
  readonly workerId: string;
  readonly rack: string;
  readonly accelerators: number;
  readonly rate?: number;
  readonly onTaskEvent: (event: TaskEvent) => void;
  readonly omittedFences?: WorkerTasksOptions["omittedFences"];
}

/** A worker that can die and start again. */
export class FakeWorker {
  readonly #options: FakeWorkerOptions;
  #tasks: WorkerTasks | undefined;
  #incarnation = 0;

  constructor(options: FakeWorkerOptions) {
    this.#options = options;
    this.revive();
  }

  get workerId(): string {
    return this.#options.workerId;
  }

  get tasks(): WorkerTasks | undefined {
    return this.#tasks;
  }

  die(): void {
    this.#tasks?.close();
    this.#tasks = undefined;
  }

  /** Starts a dead worker again without tasks, as a new incarnation. */
  revive(): void {
    if (this.#tasks !== undefined) {
      return;
    }
    const { clock, workerId, rack, accelerators, rate } = this.#options;
    this.#incarnation += 1;
    this.#tasks = new WorkerTasks({
      clock: new DriftingClock({
        clock,
        rate: rate ?? 1,
        originMs: 1_000 * this.#incarnation,
      }),
      workerId,
      capacity: {
        rack,
        cores: 1_000,
        memoryBytes: 1_000_000_000_000,
        accelerators,
      },
      incarnation: this.#incarnation,
      onTaskEvent: this.#options.onTaskEvent,
      omittedFences: this.#options.omittedFences ?? [],
    });
  }

  report(): WorkerReport | undefined {
    // Only the fake client uses the address, to find the worker's number.
    const number = this.#options.workerId.replace(/\D/g, "");
    return this.#tasks?.report(`10.0.0.1:${number}`);
  }
}

/** The worker number in a fake address. */
function numberOf(address: string): string {
  return address.slice(address.indexOf(":") + 1);
}

/** Calls fake workers from one instance over fake links. */
export class FakeWorkerClient implements WorkerClient {
  readonly #clock: Clock;
  readonly #links: FakeLinks;
  readonly #selfId: string;
  readonly #workers: ReadonlyMap<string, FakeWorker>;

  constructor(options: {
    clock: Clock;
    links: FakeLinks;
    selfId: string;
    workers: ReadonlyMap<string, FakeWorker>;
  }) {
    this.#clock = options.clock;
    this.#links = options.links;
    this.#selfId = options.selfId;
    this.#workers = options.workers;
  }

  call(
    address: string,
    command: WorkerCommand,
    options: { timeoutMs: number },
  ): Promise<Result<WorkerAnswer>> {
    const to = `w${numberOf(address)}`;
    return new Promise((resolve) => {
      const timer = this.#clock.after(
        options.timeoutMs,
        () => resolve(failure("unavailable")),
      );
      this.#links.send({ from: this.#selfId, to }, () => {
        const answer = this.#workers.get(to)?.tasks?.handle(command);
        if (answer === undefined) {
          return;
        }
        this.#links.send({ from: to, to: this.#selfId }, () => {
          timer.close();
          resolve(Right(answer));
        });
      });
    });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
