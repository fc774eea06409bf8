/**
 * The workers of the simulated system: two in each data centre, which report to
 * a random instance there once a second.
 *
 * @module
 */

import type { Clock, Timer } from "../../src/base/clock.ts";
import type { RandomSource } from "../../src/base/random_source.ts";
import type { SchedulerRuntime } from "../../src/process/scheduler/runtime/mod.ts";
import type { FakeLinks } from "../../src/process/scheduler/runtime/testing/fake_links.ts";
import { FakeWorker } from "../../src/process/scheduler/runtime/testing/fake_worker.ts";
import type { TaskEvent } from "../../standins/worker/worker_types.ts";
import { NO_FAULTS } from "../../standins/worker/worker_faults.ts";
import {
  SYSTEM_INSTANCES,
  type SystemDataCentre,
  type SystemInstanceId,
} from "./system_document.ts";
import type { SystemMutation } from "./system_mutation.ts";

/** The IDs of all workers; the first two are in the north. */
export const SYSTEM_WORKER_IDS = ["w1", "w2", "w3", "w4"] as const;

/** The ID of a worker of the simulation. */
export type SystemWorkerId = typeof SYSTEM_WORKER_IDS[number];

const REPORT_PERIOD_MS = 1_000;

/** Options of {@link SystemWorkers}. */
export interface SystemWorkersOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: FakeLinks;
  readonly mutation: SystemMutation;
  readonly onTaskEvent: (
    event: TaskEvent,
    dataCentre: SystemDataCentre,
  ) => void;
  readonly onWorkerDied: (id: SystemWorkerId) => void;
  /** The scheduler of an instance; undefined if it can't be called. */
  readonly schedulerOf: (
    id: SystemInstanceId,
  ) => Pick<SchedulerRuntime, "acceptWorkerReport"> | undefined;
}

/** All workers, and the reports that they send to instances. */
export class SystemWorkers {
  readonly all = new Map<string, FakeWorker>();
  readonly #options: SystemWorkersOptions;
  readonly #timers: Timer[] = [];

  constructor(options: SystemWorkersOptions) {
    this.#options = options;
    SYSTEM_WORKER_IDS.forEach((id) => this.#add(id));
  }

  /** Sets whether the worker fails every task that it starts from now on. */
  setFailing(id: SystemWorkerId, failsEveryTask: boolean): void {
    this.all.get(id)?.tasks?.setFaults({ ...NO_FAULTS, failsEveryTask });
  }

  die(id: SystemWorkerId): void {
    this.all.get(id)?.die();
    this.#options.onWorkerDied(id);
  }

  revive(id: SystemWorkerId): void {
    this.all.get(id)?.revive();
  }

  /** Revives every worker and ends its faults. */
  restoreAll(): void {
    for (const id of SYSTEM_WORKER_IDS) {
      this.revive(id);
      this.setFailing(id, false);
    }
  }

  close(): void {
    this.#timers.forEach((timer) => timer.close());
    this.all.forEach((worker) => worker.die());
  }

  #add(id: SystemWorkerId): void {
    const { clock, mutation, onTaskEvent } = this.#options;
    const dataCentre = dataCentreOf(id);
    const worker = new FakeWorker({
      clock,
      workerId: id,
      rack: "r1",
      accelerators: 8,
      // The rates differ by less than `clockDriftFraction`, which is 0.1 %.
      rate: id === "w1" || id === "w3" ? 1.0004 : 0.9996,
      onTaskEvent: (event) => onTaskEvent(event, dataCentre),
      omittedFences: mutation.omittedFences ?? [],
    });
    this.all.set(id, worker);
    const report = () => this.#report(worker, dataCentre);
    this.#timers.push(clock.every(REPORT_PERIOD_MS, report));
  }

  #report(worker: FakeWorker, dataCentre: SystemDataCentre): void {
    const { random, links, schedulerOf } = this.#options;
    const report = worker.report();
    const instances = SYSTEM_INSTANCES.filter((instance) =>
      instance.dataCentre === dataCentre
    );
    const to = instances[random.nextInt(instances.length)]?.id;
    if (report !== undefined && to !== undefined) {
      links.send(
        { from: worker.workerId, to },
        () => schedulerOf(to)?.acceptWorkerReport(report),
      );
    }
  }
}

function dataCentreOf(id: SystemWorkerId): SystemDataCentre {
  return id === "w1" || id === "w2" ? "north" : "south";
}
