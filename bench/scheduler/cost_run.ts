/**
 * Keeps one data centre full, times each decision and measures the heap after
 * the workers have joined and after the data centre has been filled.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { SeededRandom } from "../../src/base/mod.ts";
import {
  type JobSpecification,
  SchedulerCore,
  type SchedulerDecision,
  type SchedulerEvent,
} from "../../src/process/scheduler/core/mod.ts";
import { type BenchSize, DATA_CENTRE, documentFor } from "./workload.ts";

/** Running tasks and waiting jobs are proportional to the workers. */
const TASKS_PER_WORKER = 14_000 / 720;
const WAITING_JOBS_PER_WORKER = 1_000 / 720;
const TICK_MS = 250;
/** The 8 kinds from here on are gangs of 8 to 64 tasks with accelerators. */
const FIRST_LARGE_KIND = 26;

interface RunningGang {
  readonly jobId: string;
  readonly attempt: number;
  readonly placements: readonly { taskIndex: number; workerId: string }[];
}

/** The figures of one size of data centre; heap in bytes. */
export interface CostFigures {
  readonly workers: number;
  readonly clientAccounts: number;
  readonly tasks: number;
  readonly jobs: number;
  readonly heapBytesPerWorker: number;
  readonly heapBytesPerTask: number;
  readonly heapBytesPerJob: number;
}

/** One event and the time that its handling took. */
export interface TimedEvent {
  readonly kind: string;
  readonly microseconds: number;
}

/** A run of the scheduler core over one data centre that is kept full. */
export class CostRun {
  readonly #core = new SchedulerCore({ dataCentre: DATA_CENTRE });
  readonly #random: SeededRandom;
  readonly #size: BenchSize;
  readonly #running: RunningGang[] = [];
  /** The timed events, in order; filling the data centre isn't timed. */
  readonly timedEvents: TimedEvent[] = [];
  #nowMs = 1_000;
  #submittedJobs = 0;
  #isTimed = false;

  constructor(options: { size: BenchSize; seed: number }) {
    this.#size = options.size;
    this.#random = new SeededRandom({ seed: options.seed });
  }

  run(steps: number): CostFigures {
    const emptyBytes = heapBytes();
    this.#joinWorkers();
    const joinedBytes = heapBytes();
    const workers = this.#size.racks * this.#size.workersPerRack;
    this.#fill(workers);
    const filledBytes = heapBytes();
    this.#isTimed = true;
    for (let step = 0; step < steps; step++) {
      this.#step();
    }
    this.#cancelQueuedJobs();
    const tasks = this.#runningTasks();
    const jobs = this.#core.metrics().queuedJobs + this.#running.length;
    this.#setStatus("out");
    return {
      workers,
      clientAccounts: this.#size.clientAccounts,
      tasks,
      jobs,
      heapBytesPerWorker: Math.round((joinedBytes - emptyBytes) / workers),
      heapBytesPerTask: Math.round((filledBytes - joinedBytes) / tasks),
      heapBytesPerJob: Math.round((filledBytes - joinedBytes) / jobs),
    };
  }

  #joinWorkers(): void {
    this.#setStatus("in");
    this.#extendStartPermission();
    for (let rack = 0; rack < this.#size.racks; rack++) {
      for (let at = 0; at < this.#size.workersPerRack; at++) {
        this.#send({
          kind: "workerJoined",
          atMs: this.#nowMs,
          worker: {
            workerId: `worker-${rack}-${at}`,
            rack: `rack-${rack}`,
            cores: this.#size.cores,
            memoryBytes: this.#size.memoryBytes,
            accelerators: this.#size.accelerators,
          },
          running: [],
        });
      }
    }
    this.#tick();
  }

  #fill(workers: number): void {
    const targetTasks = workers * TASKS_PER_WORKER;
    const targetWaitingJobs = workers * WAITING_JOBS_PER_WORKER;
    for (let round = 0; round < 2_000; round++) {
      const isBusy = this.#runningTasks() >= targetTasks;
      for (let at = 0; at < 20; at++) {
        this.#submit({ isLarge: isBusy });
      }
      this.#tick();
      const isFull = this.#runningTasks() >= targetTasks &&
        this.#core.metrics().queuedJobs >= targetWaitingJobs;
      if (isFull) {
        return;
      }
    }
  }

  /** Ends two gangs, submits two jobs, loses a worker at times, and ticks. */
  #step(): void {
    for (let at = 0; at < 2; at++) {
      this.#endGang();
    }
    for (let at = 0; at < 2; at++) {
      this.#submit();
    }
    if (this.#random.nextInt(50) === 0) {
      this.#loseWorker();
    }
    this.#tick();
  }

  #endGang(): void {
    const at = this.#random.nextInt(Math.max(1, this.#running.length));
    const [gang] = this.#running.splice(at, 1);
    for (const { taskIndex, workerId } of gang?.placements ?? []) {
      this.#send({
        kind: "taskEnded",
        atMs: this.#nowMs,
        jobId: gang?.jobId ?? "",
        attempt: gang?.attempt ?? 0,
        taskIndex,
        workerId,
        outcome: "succeeded",
      });
    }
  }

  #loseWorker(): void {
    const rack = this.#random.nextInt(this.#size.racks);
    const worker = {
      workerId: `worker-${rack}-${
        this.#random.nextInt(this.#size.workersPerRack)
      }`,
      rack: `rack-${rack}`,
      cores: this.#size.cores,
      memoryBytes: this.#size.memoryBytes,
      accelerators: this.#size.accelerators,
    };
    const { workerId } = worker;
    this.#send({ kind: "workerLost", atMs: this.#nowMs, workerId });
    this.#tick();
    this.#send({
      kind: "workerJoined",
      atMs: this.#nowMs,
      worker,
      running: [],
    });
  }

  #cancelQueuedJobs(): void {
    const waiting = this.#core.jobs()
      .filter(({ phase }) => phase === "queued")
      .slice(0, 500);
    for (const { jobId } of waiting) {
      this.#send({ kind: "jobCancelled", atMs: this.#nowMs, jobId });
    }
    this.#tick();
  }

  #submit(options: { isLarge: boolean } = { isLarge: false }): void {
    this.#submittedJobs += 1;
    const kind = options.isLarge
      ? FIRST_LARGE_KIND + this.#random.nextInt(8)
      : this.#random.nextInt(100);
    const hasAccelerators = kind < 35;
    const tasks = taskCountOf(kind);
    const job: JobSpecification = {
      jobId: `job-${this.#submittedJobs}`,
      clientAccount: `account-${
        this.#random.nextInt(this.#size.clientAccounts)
      }`,
      jobClass: kind % 20 === 0
        ? "urgent"
        : kind % 3 === 0
        ? "dispatch"
        : "overnight",
      tasks,
      resources: {
        cores: hasAccelerators ? 1 : 4 + this.#random.nextInt(4),
        memoryBytes: 1e9 * (1 + this.#random.nextInt(3)),
        accelerators: hasAccelerators ? 1 : 0,
      },
      adjacency: hasAccelerators && tasks > 1 ? "rack" : "any",
      declaredRunMs: 60_000 * (1 + this.#random.nextInt(300)),
      dataCentres: [],
      canCheckpoint: true,
      command: [],
    };
    this.#send({ kind: "jobSubmitted", atMs: this.#nowMs, job });
  }

  #tick(): void {
    this.#nowMs += TICK_MS;
    this.#extendStartPermission();
    this.#send({ kind: "clockTicked", atMs: this.#nowMs });
  }

  #extendStartPermission(): void {
    this.#send({
      kind: "startPermissionExtended",
      atMs: this.#nowMs,
      permittedUntilMs: this.#nowMs + 10_000,
    });
  }

  #setStatus(status: "in" | "out"): void {
    const document = documentFor(this.#size);
    const section = document.dataCentres[DATA_CENTRE];
    if (section !== undefined) {
      this.#send({
        kind: "configurationChanged",
        atMs: this.#nowMs,
        configuration: {
          version: status === "in" ? 1 : 2,
          acceptedAtMs: this.#nowMs,
          document: {
            ...document,
            dataCentres: { [DATA_CENTRE]: { ...section, status } },
          },
        },
      });
    }
  }

  #send(event: SchedulerEvent): void {
    const startMs = performance.now();
    const decisions = this.#core.handle(event);
    const tookMs = performance.now() - startMs;
    if (this.#isTimed) {
      this.timedEvents.push({ kind: event.kind, microseconds: tookMs * 1_000 });
    }
    for (const decision of decisions) {
      this.#applyDecision(decision);
    }
  }

  #applyDecision(decision: SchedulerDecision): void {
    if (decision.kind === "startGang") {
      const { jobId, attempt, placements } = decision;
      this.#running.push({ jobId, attempt, placements });
      this.#send({ kind: "gangStarted", atMs: this.#nowMs, jobId, attempt });
    }
    if (decision.kind === "stopGang") {
      const { jobId, attempt } = decision;
      const at = this.#running.findIndex((gang) =>
        gang.jobId === jobId && gang.attempt === attempt
      );
      if (at >= 0) {
        this.#running.splice(at, 1);
      }
      this.#send({
        kind: "gangStopped",
        atMs: this.#nowMs,
        jobId,
        attempt,
        isCheckpointed: true,
      });
    }
  }

  #runningTasks(): number {
    return this.#running
      .reduce((total, { placements }) => total + placements.length, 0);
  }
}

function taskCountOf(kind: number): number {
  if (kind < 35) {
    return kind < 20 ? 1 : kind < 28 ? 8 : kind < 32 ? 32 : 64;
  }
  return kind < 80 ? 8 : 32;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Distributions by kind of event, of the least time that each event took in any
 * of the runs, which must have handled the same events.
 */
export function distributionsByKind(
  runs: readonly (readonly TimedEvent[])[],
): Record<string, Record<string, number>> {
  const byKind = new Map<string, number[]>();
  runs[0]?.forEach(({ kind }, at) => {
    const values = byKind.get(kind) ?? [];
    values.push(
      Math.min(...runs.map((times) => times[at]?.microseconds ?? Infinity)),
    );
    byKind.set(kind, values);
  });
  return Object.fromEntries(
    [...byKind].map(([kind, values]) => [kind, distributionOf(values)]),
  );
}

function distributionOf(values: readonly number[]): Record<string, number> {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (fraction: number) =>
    Math.round(sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0);
  return {
    count: sorted.length,
    p50: at(0.5),
    p95: at(0.95),
    p99: at(0.99),
    max: at(1),
  };
}
