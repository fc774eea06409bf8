/**
 * Simulates one policy on one workload, with minimal stand-ins for workers and
 * a clock that jumps from event to event.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { FakeClock, SeededRandom } from "../../src/base/mod.ts";
import type {
  SchedulerDecision,
  SchedulerEvent,
  SchedulerPolicy,
} from "../../src/process/scheduler/core/mod.ts";
import { Measurements } from "./measurements.ts";
import {
  type BenchSize,
  DATA_CENTRE,
  documentFor,
  type WorkloadJob,
} from "./workload.ts";

type StartGang = Extract<SchedulerDecision, { kind: "startGang" }>;
type StopGang = Extract<SchedulerDecision, { kind: "stopGang" }>;

const TICK_MS = 500;
const GANG_START_DELAY_MS = 150;
const CHECKPOINT_DURATION_MS = 8_000;
const STOP_DURATION_MS = 100;
const CHECKPOINT_PERIOD_MS = 10 * 60_000;
/** From the start of a gang that will fail until its task fails. */
const FAILURE_DELAY_MS = 2_000;
/** Invariants are checked once per this many events. */
const CHECK_EVENTS = 97;
const SAMPLE_PERIOD_MS = 30_000;
/** How often the start permission is extended, each time for twice as long. */
const PERMISSION_PERIOD_MS = 120_000;

/** Options of {@link Simulation}. */
export interface SimulationOptions {
  readonly policy: SchedulerPolicy;
  readonly size: BenchSize;
  readonly jobs: readonly WorkloadJob[];
  readonly seed: number;
  readonly faultyWorkerFraction: number;
  /** When the data centre is out; absent if it never is. */
  readonly outage?: { readonly fromMs: number; readonly toMs: number };
  /** The policy's free accelerators, and the largest number in one rack. */
  readonly freeCapacity: () => { total: number; largest: number };
  /** Finds violated invariants; a run with any throws. Absent for no checks. */
  readonly findViolations?: () => readonly string[];
  /** How long the run goes on after the last submission. */
  readonly tailMs: number;
}

/** A job that has been submitted and hasn't ended, queued or running. */
interface UnfinishedJob {
  readonly job: WorkloadJob;
  /** Run time that is saved in checkpoints. */
  savedMs: number;
  attempt: number;
  startedAtMs: number | undefined;
  checkpointedAtMs: number | undefined;
  placements: StartGang["placements"];
}

/** One simulated run. */
export class Simulation {
  readonly #options: SimulationOptions;
  readonly #clock = new FakeClock();
  readonly #measurements = new Measurements();
  readonly #unfinished = new Map<string, UnfinishedJob>();
  readonly #faultyWorkers = new Set<string>();
  #events = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
  }

  run(): Measurements {
    this.#setUp();
    const { jobs, tailMs } = this.#options;
    for (const job of jobs) {
      this.#clock.after(job.submittedAtMs, () => this.#submit(job));
    }
    const lastMs = jobs.at(-1)?.submittedAtMs ?? 0;
    this.#clock.every(TICK_MS, () => this.#tick());
    this.#clock.every(SAMPLE_PERIOD_MS, () => {
      this.#measurements.recordFreeCapacity(this.#options.freeCapacity());
    });
    this.#clock.advance(lastMs + tailMs);
    this.#measurements.addUnfinishedWork({
      unfinished: [...this.#unfinished.values()].map((each) => ({
        job: each.job,
        doneMs: each.savedMs + this.#unsavedMs(each),
      })),
    });
    return this.#measurements;
  }

  #setUp(): void {
    const { size, seed, faultyWorkerFraction, outage } = this.#options;
    const random = new SeededRandom({ seed: seed + 1 });
    this.#configure(1, "in");
    this.#send({
      kind: "startPermissionExtended",
      atMs: 0,
      permittedUntilMs: PERMISSION_PERIOD_MS,
    });
    for (let rack = 0; rack < size.racks; rack++) {
      for (let at = 0; at < size.workersPerRack; at++) {
        const workerId = `worker-${rack}-${at}`;
        if (random.nextUnit() < faultyWorkerFraction) {
          this.#faultyWorkers.add(workerId);
        }
        this.#send({
          kind: "workerJoined",
          atMs: 0,
          worker: {
            workerId,
            rack: `rack-${rack}`,
            cores: size.cores,
            memoryBytes: size.memoryBytes,
            accelerators: size.accelerators,
          },
          running: [],
        });
      }
    }
    if (outage !== undefined) {
      this.#clock.after(outage.fromMs, () => this.#configure(2, "out"));
      this.#clock.after(outage.toMs, () => this.#configure(3, "in"));
    }
  }

  #configure(version: number, status: "in" | "out"): void {
    const document = documentFor(this.#options.size);
    const section = document.dataCentres[DATA_CENTRE];
    if (section === undefined) {
      return;
    }
    this.#send({
      kind: "configurationChanged",
      atMs: this.#clock.nowMs(),
      configuration: {
        version,
        acceptedAtMs: this.#clock.nowMs(),
        document: {
          ...document,
          dataCentres: { [DATA_CENTRE]: { ...section, status } },
        },
      },
    });
  }

  #submit(job: WorkloadJob): void {
    this.#measurements.recordSubmitted(job, this.#clock.nowMs());
    const { specification, cancelledAtMs } = job;
    this.#unfinished.set(specification.jobId, {
      job,
      savedMs: 0,
      attempt: 0,
      startedAtMs: undefined,
      checkpointedAtMs: undefined,
      placements: [],
    });
    this.#send({
      kind: "jobSubmitted",
      atMs: this.#clock.nowMs(),
      job: specification,
    });
    if (cancelledAtMs !== undefined) {
      this.#clock.after(cancelledAtMs - this.#clock.nowMs(), () => {
        if (this.#unfinished.has(specification.jobId)) {
          this.#send({
            kind: "jobCancelled",
            atMs: this.#clock.nowMs(),
            jobId: specification.jobId,
          });
        }
      });
    }
  }

  #tick(): void {
    const atMs = this.#clock.nowMs();
    if (atMs % PERMISSION_PERIOD_MS < TICK_MS) {
      this.#send({
        kind: "startPermissionExtended",
        atMs,
        permittedUntilMs: atMs + 2 * PERMISSION_PERIOD_MS,
      });
    }
    this.#send({ kind: "clockTicked", atMs });
  }

  #send(event: SchedulerEvent): void {
    const startMs = performance.now();
    const decisions = this.#options.policy.handle(event);
    this.#measurements.recordDecision(performance.now() - startMs, event.kind);
    for (const decision of decisions) {
      this.#applyDecision(decision);
    }
    this.#checkInvariants();
  }

  #checkInvariants(): void {
    const { findViolations } = this.#options;
    this.#events += 1;
    if (findViolations === undefined || this.#events % CHECK_EVENTS !== 0) {
      return;
    }
    const violations = findViolations();
    if (violations.length > 0) {
      throw new Error(violations.join("\n"));
    }
  }

  #applyDecision(decision: SchedulerDecision): void {
    switch (decision.kind) {
      case "startGang":
        this.#start(decision);
        return;
      case "stopGang":
        this.#stop(decision);
        return;
      case "jobEnds": {
        const entry = this.#unfinished.get(decision.jobId);
        if (entry !== undefined) {
          this.#unfinished.delete(decision.jobId);
          this.#measurements.recordEnded(
            entry.job,
            decision.outcome,
            this.#clock.nowMs(),
          );
        }
        return;
      }
      case "jobWaits": {
        const job = this.#unfinished.get(decision.jobId)?.job;
        if (job !== undefined && decision.reason === "preemption") {
          this.#measurements.recordPreemption(job, this.#clock.nowMs());
        }
        return;
      }
      case "quarantineWorker":
        this.#measurements.recordQuarantined(
          this.#faultyWorkers.has(decision.workerId),
        );
        return;
      default:
        return;
    }
  }

  #start(start: StartGang): void {
    const entry = this.#unfinished.get(start.jobId);
    if (entry === undefined) {
      return;
    }
    entry.attempt = start.attempt;
    entry.placements = start.placements;
    const isCurrent = () =>
      this.#unfinished.get(start.jobId) === entry &&
      entry.attempt === start.attempt && entry.placements.length > 0;
    this.#clock.after(GANG_START_DELAY_MS, () => {
      if (isCurrent()) {
        this.#handleGangStarted(entry, isCurrent);
      }
    });
  }

  #handleGangStarted(entry: UnfinishedJob, isCurrent: () => boolean): void {
    const nowMs = this.#clock.nowMs();
    const { jobId } = entry.job.specification;
    entry.startedAtMs = nowMs;
    entry.checkpointedAtMs = undefined;
    this.#measurements.recordStarted(entry.job, nowMs);
    this.#send({
      kind: "gangStarted",
      atMs: nowMs,
      jobId,
      attempt: entry.attempt,
    });
    const faulty = entry.placements
      .find(({ workerId }) => this.#faultyWorkers.has(workerId));
    const failing = faulty ?? (entry.job.alwaysFails && entry.placements[0]);
    if (failing) {
      this.#clock.after(FAILURE_DELAY_MS, () => {
        if (isCurrent()) {
          this.#endTasks(entry, [failing], "failed");
        }
      });
      return;
    }
    const leftMs = Math.max(1, entry.job.actualRunMs - entry.savedMs);
    this.#clock.after(leftMs, () => {
      if (isCurrent()) {
        this.#endTasks(entry, entry.placements, "succeeded");
      }
    });
    this.#scheduleCheckpoint(entry, isCurrent);
  }

  #scheduleCheckpoint(entry: UnfinishedJob, isCurrent: () => boolean): void {
    if (!entry.job.specification.canCheckpoint) {
      return;
    }
    this.#clock.after(CHECKPOINT_PERIOD_MS, () => {
      if (!isCurrent()) {
        return;
      }
      const nowMs = this.#clock.nowMs();
      entry.savedMs += this.#unsavedMs(entry);
      entry.checkpointedAtMs = nowMs;
      const first = entry.placements[0];
      const { jobId, resources } = entry.job.specification;
      if (first !== undefined) {
        this.#send({
          kind: "workerUsageReported",
          atMs: nowMs,
          workerId: first.workerId,
          usages: [{
            jobId,
            attempt: entry.attempt,
            taskIndex: first.taskIndex,
            cores: resources.cores,
            memoryBytes: resources.memoryBytes,
            accelerators: resources.accelerators,
            checkpointedAtMs: nowMs,
          }],
        });
      }
      this.#scheduleCheckpoint(entry, isCurrent);
    });
  }

  #endTasks(
    entry: UnfinishedJob,
    placements: StartGang["placements"],
    outcome: "succeeded" | "failed",
  ): void {
    for (const { taskIndex, workerId } of placements) {
      this.#send({
        kind: "taskEnded",
        atMs: this.#clock.nowMs(),
        jobId: entry.job.specification.jobId,
        attempt: entry.attempt,
        taskIndex,
        workerId,
        outcome,
      });
    }
    if (outcome === "failed") {
      this.#measurements.recordFailed(entry.job, this.#unsavedMs(entry));
    }
  }

  #stop(stop: StopGang): void {
    const entry = this.#unfinished.get(stop.jobId);
    const nowMs = this.#clock.nowMs();
    const isCheckpointed = stop.wantsCheckpoint &&
      stop.checkpointDeadlineMs - nowMs >= CHECKPOINT_DURATION_MS;
    const durationMs = isCheckpointed
      ? CHECKPOINT_DURATION_MS
      : Math.max(STOP_DURATION_MS, stop.checkpointDeadlineMs - nowMs);
    this.#clock.after(durationMs, () => {
      if (entry === undefined || entry.attempt !== stop.attempt) {
        return;
      }
      const unsavedMs = this.#unsavedMs(entry);
      this.#measurements.recordStopped(
        entry.job,
        stop.reason,
        isCheckpointed ? 0 : unsavedMs,
      );
      if (isCheckpointed) {
        entry.savedMs += unsavedMs;
      }
      entry.startedAtMs = undefined;
      entry.placements = [];
      this.#send({
        kind: "gangStopped",
        atMs: this.#clock.nowMs(),
        jobId: stop.jobId,
        attempt: stop.attempt,
        isCheckpointed,
      });
    });
  }

  #unsavedMs(entry: UnfinishedJob): number {
    if (entry.startedAtMs === undefined) {
      return 0;
    }
    return this.#clock.nowMs() -
      (entry.checkpointedAtMs ?? entry.startedAtMs);
  }
}
