/**
 * A load played over the planner in logical time: thousands of jobs in
 * seconds, with stops that take a while, failing runs and slow workers.
 *
 * @module
 */

import type { RandomSource } from "../../src/base/mod.ts";
import type {
  BatchItem,
  TaskRef,
} from "../../src/process/batch/batch_command.ts";
import { BatchState } from "../../src/process/batch/batch_state.ts";
import {
  plan,
  type PlannerOptions,
} from "../../src/process/batch/decisions/planner.ts";
import { RunEnd } from "../../src/process/batch/mod.ts";
import { drawLoad, type Load, type LoadedJob } from "./load.ts";

/** What a run found. */
export interface SimulationResult {
  /** Worth earned of the worth owed, over all jobs. */
  readonly share: number;
  /** The same over the two worst spans of two seconds. */
  readonly worstSpans: number;
  readonly shareByQueue: Readonly<Record<string, number>>;
  readonly lateByQueue: Readonly<Record<string, number>>;
  /** Core-seconds that were stopped and not saved, of those done. */
  readonly wastedShare: number;
  /** Tasks that were started on a worker that had no room for them. */
  readonly overcommitted: number;
  readonly jobs: number;
}

/** How a run is set up. */
export interface SimulationOptions {
  readonly load: Load;
  readonly random: RandomSource;
  readonly factor: number;
  readonly burstFactor: number;
  /** Workers, in racks of eight. */
  readonly workers: number;
  readonly lengthMs: number;
  readonly planner?: PlannerOptions;
  /** Whether the run goes on until all jobs are done. */
  readonly settles?: boolean;
  /** Calls the planner, to measure it. */
  readonly onPlan?: (plan: () => void) => void;
}

interface OpenRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly startedAtMs: number;
  endsAtMs: number;
  how: RunEnd;
  isStopping: boolean;
}

const COMMIT_MS = 20;
const SPREAD_FACTOR = 3;
const SLOW_WORKER_FACTOR = 1.3;
const WORKERS_PER_RACK = 8;
const GUARANTEED = 40;

/** Plays one load. */
export class Simulation {
  readonly #options: SimulationOptions;
  readonly #state = new BatchState();
  readonly #jobs: LoadedJob[];
  readonly #byId: Map<string, LoadedJob>;
  readonly #open = new Map<string, OpenRun>();
  readonly #progressMs = new Map<string, number>();
  readonly #failedOn = new Map<string, Set<string>>();
  readonly #completedAtMs = new Map<string, number>();
  #nowMs = 0;
  #wasted = 0;
  #done = 0;
  #overcommitted = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    const racks = Array.from(
      { length: Math.ceil(options.workers / WORKERS_PER_RACK) },
      (_, number) => `r-${number}`,
    );
    this.#jobs = drawLoad(options.load, {
      random: options.random,
      lengthMs: options.lengthMs,
      burst: {
        factor: options.burstFactor,
        fromMs: options.lengthMs / 3,
        untilMs: options.lengthMs / 3 + 6_000,
      },
      racks,
      factor: options.factor,
    });
    this.#byId = new Map(this.#jobs.map((job) => [job.id, job]));
    this.#setUp(racks);
  }

  run(): SimulationResult {
    const waiting = [...this.#jobs];
    const stepMs = COMMIT_MS;
    const { lengthMs, settles = true } = this.#options;
    const endMs = settles ? lengthMs * 2 + 60_000 : lengthMs;
    while (this.#nowMs < endMs) {
      const arrived: LoadedJob[] = [];
      while (
        waiting[0] !== undefined && waiting[0].arrivesAtMs <= this.#nowMs
      ) {
        arrived.push(waiting.shift()!);
      }
      arrived.forEach((job) => this.#accept(job));
      const ended = this.#endRuns();
      const isTick = this.#nowMs % 100 === 0;
      if (arrived.length > 0 || ended || isTick) {
        const plan = () => this.#plan();
        (this.#options.onPlan ?? ((run) => run()))(plan);
      }
      if (waiting.length === 0 && this.#open.size === 0) {
        break;
      }
      this.#nowMs += stepMs;
    }
    return this.#summarize();
  }

  #setUp(racks: readonly string[]): void {
    const { load, workers } = this.#options;
    this.#state.apply({ kind: "epoch", leaderId: "leader" });
    this.#state.apply({
      kind: "configure",
      document: "",
      configuration: {
        version: 1,
        queues: load.kinds.map((kind) => ({
          name: kind.queue,
          host: "",
          prefix: `/${kind.queue}/`,
          service: "pool",
          priority: kind.priority,
          attempts: kind.attempts,
          stretch: kind.stretch,
          objectiveSlackMs: kind.slackMs,
          isPublic: false,
        })),
        services: [{ name: "pool", guardsCapacity: true }],
        accounts: [0, 1, 2, 3].map((number) => ({
          name: `account-${number}`,
          apiKeys: [],
          guaranteedAccelerators: GUARANTEED,
        })),
      },
    });
    for (let number = 0; number < workers; number++) {
      const rack = racks[Math.floor(number / WORKERS_PER_RACK)]!;
      this.#apply({
        kind: "worker",
        worker: {
          key: `w-${number}`,
          id: `w-${number}`,
          bornMs: 1,
          service: "pool",
          address: `w-${number}`,
          dataCentre: rack,
          capacity: {
            cpuMilli: load.cpuMilli,
            memoryMb: load.memoryMb,
            accelerators: 8,
          },
          labels: ["a", rack],
          rack,
          isDraining: false,
        },
      });
    }
  }

  #apply(item: BatchItem): boolean {
    const outcome = this.#state.apply({
      kind: "batch",
      epoch: 1,
      atMs: this.#nowMs,
      items: [item],
    });
    return outcome.kind === "batch" && outcome.applied[0] === true;
  }

  #accept(job: LoadedJob): void {
    this.#apply({
      kind: "accept",
      jobId: job.id,
      queue: job.kind.queue,
      account: job.account,
      spec: job.spec,
      submittedAtMs: job.arrivesAtMs,
    });
  }

  #plan(): void {
    const { starts, stops } = plan({
      state: this.#state,
      nowMs: this.#nowMs,
      condition: () => ({ isReachable: true, isSuspect: false, isFull: false }),
      failedOn: (task) => this.#failedOn.get(nameOf(task)),
      isStopping: (task) => this.#open.get(nameOf(task))?.isStopping === true,
    }, this.#options.planner);
    for (const start of starts) {
      if (this.#apply(start)) {
        this.#begin(start);
        this.#noteOvercommitted(start);
      }
    }
    stops.forEach((task) => this.#stop(task));
  }

  #noteOvercommitted(start: Extract<BatchItem, { kind: "start" }>): void {
    const used = new Map<string, number>();
    for (const { task } of this.#open.values()) {
      const worker = this.#state.taskOf(task)!.worker!;
      const { demand } = this.#byId.get(task.jobId)!.spec.steps[task.step]!;
      used.set(worker, (used.get(worker) ?? 0) + demand.accelerators);
    }
    for (const { worker } of start.tasks) {
      const { capacity } = this.#state.workers.get(worker)!;
      this.#overcommitted += used.get(worker)! > capacity.accelerators ? 1 : 0;
    }
  }

  #begin(start: Extract<BatchItem, { kind: "start" }>): void {
    const job = this.#byId.get(start.jobId)!;
    const spec = job.spec.steps[start.step]!;
    const { random } = this.#options;
    const racks = new Set(
      start.tasks.map(({ worker }) => this.#state.workers.get(worker)!.rack),
    );
    const isSpread = (spec.prefersOneRack && racks.size > 1) ||
      (spec.dataRack !== undefined && !racks.has(spec.dataRack));
    const factor = isSpread ? SPREAD_FACTOR : 1;
    const ends = start.tasks.map(({ index, worker }) => {
      const workMs = job.durationsMs[start.step]![index]!;
      const name = `${start.jobId}.${start.step}.${index}`;
      const leftMs = workMs - (this.#progressMs.get(name) ?? 0);
      const isSlow = Number(worker.slice(2)) % 3 === 2;
      return leftMs * factor * (isSlow ? SLOW_WORKER_FACTOR : 1);
    });
    const gangMs = Math.max(...ends);
    const failsAsGang = random.nextUnit() < job.kind.failureShare;
    start.tasks.forEach(({ index }, at) => {
      const lastsMs = spec.isGang ? gangMs : ends[at]!;
      const fails = spec.isGang
        ? failsAsGang
        : random.nextUnit() < job.kind.failureShare;
      const task = {
        jobId: start.jobId,
        occurrence: 0,
        step: start.step,
        index,
      };
      this.#open.set(nameOf(task), {
        task,
        run: start.run,
        startedAtMs: this.#nowMs,
        endsAtMs: this.#nowMs + COMMIT_MS +
          lastsMs * (fails ? random.nextUnit() : 1),
        how: fails ? RunEnd.failed : RunEnd.done,
        isStopping: false,
      });
    });
  }

  #stop(task: TaskRef): void {
    const spec = this.#byId.get(task.jobId)!.spec.steps[task.step]!;
    const stopMs = this.#options.load.stopMs *
      this.#options.random.nextUnit();
    const members = spec.isGang
      ? [...this.#open.values()].filter((run) =>
        run.task.jobId === task.jobId && run.task.step === task.step
      )
      : [this.#open.get(nameOf(task))];
    for (const run of members) {
      if (run !== undefined && !run.isStopping) {
        run.isStopping = true;
        run.how = RunEnd.stopped;
        run.endsAtMs = this.#nowMs + COMMIT_MS + stopMs;
      }
    }
  }

  #endRuns(): boolean {
    let hasEnded = false;
    for (const [name, run] of [...this.#open]) {
      if (run.endsAtMs <= this.#nowMs) {
        this.#open.delete(name);
        this.#endRun(run);
        hasEnded = true;
      }
    }
    return hasEnded;
  }

  #endRun(run: OpenRun): void {
    const { task, how } = run;
    const job = this.#byId.get(task.jobId)!;
    const spec = job.spec.steps[task.step]!;
    const worker = this.#state.taskOf(task)?.worker;
    const ranMs = this.#nowMs - run.startedAtMs;
    const cores = spec.demand.cpuMilli / 1_000 + 8 * spec.demand.accelerators;
    const name = `${task.jobId}.${task.step}.${task.index}`;
    if (how === RunEnd.done) {
      this.#done += cores * ranMs;
    } else if (spec.isCheckpointing) {
      const known = this.#progressMs.get(name) ?? 0;
      this.#progressMs.set(name, known + ranMs * 0.9);
    } else if (how === RunEnd.stopped) {
      this.#wasted += cores * ranMs;
    }
    if (how === RunEnd.failed && worker !== undefined) {
      const failedOn = this.#failedOn.get(nameOf(task)) ?? new Set();
      this.#failedOn.set(nameOf(task), failedOn.add(worker));
    }
    this.#apply({ kind: "end", task, run: run.run, how, checkpoint: "" });
    const ended = this.#state.jobs.get(task.jobId);
    if (ended?.phase === "completed" && !this.#completedAtMs.has(task.jobId)) {
      this.#completedAtMs.set(task.jobId, this.#nowMs);
    }
  }

  #summarize(): SimulationResult {
    const owedBy: Record<string, number> = {};
    const earnedBy: Record<string, number> = {};
    const lateBy: Record<string, number> = {};
    const spans = new Map<number, { owed: number; earned: number }>();
    for (const job of this.#jobs) {
      const { owed, earned } = this.#creditOf(job);
      const { queue } = job.kind;
      owedBy[queue] = (owedBy[queue] ?? 0) + owed;
      earnedBy[queue] = (earnedBy[queue] ?? 0) + earned;
      lateBy[queue] = (lateBy[queue] ?? 0) + (earned < owed ? 1 : 0);
      const at = Math.floor(job.arrivesAtMs / 2_000);
      const span = spans.get(at) ?? { owed: 0, earned: 0 };
      span.owed += owed;
      span.earned += earned;
      spans.set(at, span);
    }
    const sum = (amounts: Record<string, number>) =>
      Object.values(amounts).reduce((a, b) => a + b, 0);
    const worst = [...spans.values()].map(({ owed, earned }) => earned / owed)
      .sort((a, b) => a - b).slice(0, 2);
    return {
      share: sum(earnedBy) / sum(owedBy),
      worstSpans: worst.reduce((a, b) => a + b, 0) / worst.length,
      shareByQueue: Object.fromEntries(
        Object.keys(owedBy).map((queue) => [
          queue,
          earnedBy[queue]! / owedBy[queue]!,
        ]),
      ),
      lateByQueue: lateBy,
      overcommitted: this.#overcommitted,
      wastedShare: this.#wasted / Math.max(1, this.#done),
      jobs: this.#jobs.length,
    };
  }

  /** A job's worth grows with its work, as the users count it. */
  #creditOf(job: LoadedJob): { owed: number; earned: number } {
    const spec = job.spec.steps[0]!;
    const chainMs = Math.max(...job.durationsMs[0]!);
    const cores = spec.demand.cpuMilli / 1_000 + 8 * spec.demand.accelerators;
    const work = cores * job.durationsMs[0]!.reduce((a, b) => a + b, 0);
    const { kind } = job;
    const meanAccelerators = kind.accelerators.reduce((a, b) => a + b, 0) /
      kind.accelerators.length;
    const typical = (kind.cpuMilli / 1_000 + 8 * meanAccelerators) *
      kind.workMs.mean * kind.width.mean;
    const size = 0.3 + 0.7 * Math.min(4, work / typical);
    const owed = size * kind.worth;
    const doneAtMs = this.#completedAtMs.get(job.id);
    const objectiveMs = kind.stretch * chainMs + kind.slackMs;
    const tookMs = (doneAtMs ?? Infinity) - job.arrivesAtMs;
    if (tookMs <= objectiveMs) {
      return { owed, earned: owed };
    }
    const isLate = tookMs <= 3 * objectiveMs;
    return { owed, earned: isLate ? size * kind.lateWorth : 0 };
  }
}

function nameOf(task: TaskRef): string {
  return `${task.jobId}.${task.step}.${task.index}`;
}
