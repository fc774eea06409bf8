/**
 * Simulated workers behind a network that loses and delays calls, with an
 * oracle that checks the runs on them.
 *
 * @module
 */

import type { FakeClock, RandomSource } from "../../../base/mod.ts";
import { failure, type Result } from "../../../base/mod.ts";
import { RunEnd, type TaskRef, type WorkerRecord } from "../batch_command.ts";
import type { JobSpec } from "../job_spec.ts";
import type {
  LeaseOrder,
  StartAnswer,
  StartOrder,
  WorkerCallOptions,
  WorkerCalls,
  WorkerReport,
} from "../worker_calls.ts";
import { taskKey } from "../leader/run_table.ts";
import {
  FakeWorker,
  GANG_WAIT_MS,
  type HeldRun,
  LEASE_CHECK_MS,
  LEASE_LIMIT_MS,
} from "./fake_worker.ts";
import {
  FakePoolNetwork,
  NO_FAULTS,
  type PoolFaults,
} from "./fake_pool_network.ts";
import { drawWork, progressAt } from "./fake_work.ts";
import { LimitOracle } from "./limit_oracle.ts";
import { PoolOracle } from "./pool_oracle.ts";

/** Ends that one report holds at most. */
const REPORTED_ENDS_LIMIT = 20;

/** Options of {@link FakePool}. */
export interface FakePoolOptions {
  readonly clock: FakeClock;
  readonly random: RandomSource;
  readonly workers: number;
  readonly specOf: (jobId: string) => JobSpec | undefined;
  readonly attempts: number;
  readonly accountOf?: (jobId: string) => string | undefined;
  /** As in {@link FakePoolNetworkOptions}. */
  readonly areLateCallsHeld?: boolean;
}

/** All workers of the pool, and the leader's calls to them. */
export class FakePool implements WorkerCalls {
  starts = 0;
  readonly #network: FakePoolNetwork;
  readonly #options: FakePoolOptions;
  /** By name: the ID, except for a process that {@link add} begins. */
  readonly #workers = new Map<string, FakeWorker>();
  readonly #strangers = new Map<string, WorkerRecord>();
  readonly #oracle: PoolOracle;
  /** Counts what the workers run against the accounts' limits. */
  readonly limits = new LimitOracle({ lateMs: LEASE_LIMIT_MS });

  constructor(options: FakePoolOptions) {
    this.#options = options;
    this.#network = new FakePoolNetwork(options);
    this.#oracle = new PoolOracle(options);
    for (let number = 0; number < options.workers; number++) {
      const rate = 1 - 0.02 * options.random.nextUnit();
      this.#workers.set(`w${number}`, new FakeWorker(`w${number}`, rate));
    }
    options.clock.every(LEASE_CHECK_MS, () => this.#expireLeases());
  }

  get faults(): PoolFaults {
    return this.#network.faults;
  }

  /** Violated invariants, in the order in which they were found. */
  get violations(): readonly string[] {
    return [...this.#oracle.violations, ...this.limits.violations];
  }

  /** The records that running workers would announce now. */
  records(): WorkerRecord[] {
    return [
      ...[...this.#workers.values()]
        .filter(({ isDown, isRefused, isUnannounced }) =>
          !isDown && !isRefused && !isUnannounced
        )
        .map((worker) => worker.record()),
      ...this.#strangers.values(),
    ];
  }

  /** The record that a worker announces. */
  recordOf(name: string): WorkerRecord {
    return this.#workers.get(name)!.record();
  }

  /** Announces a worker from now on, as any other writer may. */
  announce(record: WorkerRecord): void {
    this.#strangers.set(record.key, record);
  }

  /** Begins a process with a worker's ID or at its address. */
  add(name: string, options: { id: string; address: string }): void {
    const { id, address } = options;
    const worker = new FakeWorker(id, 1, address);
    worker.isDown = true;
    this.#workers.set(name, worker);
    this.restart(name);
  }

  /** Which tasks a worker runs. */
  runningOn(name: string): string[] {
    return [...this.#workers.get(name)!.running.keys()].sort();
  }

  setPartitioned(id: string, isPartitioned: boolean): void {
    this.#workers.get(id)!.isPartitioned = isPartitioned;
  }

  /** Makes the network refuse connections to a worker, or ends that. */
  setRefused(id: string, isRefused: boolean): void {
    this.#workers.get(id)!.isRefused = isRefused;
  }

  /** Makes a worker's announcements get lost, or ends that. */
  setUnannounced(id: string, isUnannounced: boolean): void {
    this.#workers.get(id)!.isUnannounced = isUnannounced;
  }

  /** Sets a worker's speed, and whether its runs stand still. */
  setPace(id: string, pace: { speed?: number; isHanging?: boolean }): void {
    Object.assign(this.#workers.get(id)!, pace);
  }

  /** Makes a worker announce that it drains. */
  drain(id: string): void {
    this.#workers.get(id)!.isDraining = true;
  }

  /** Ends a worker's incarnation; {@link restart} begins the next one. */
  crash(id: string): void {
    const worker = this.#workers.get(id)!;
    worker.running.forEach((heldRun) => {
      heldRun.timer?.close();
      this.limits.end(limitKey(worker, heldRun));
    });
    worker.running.clear();
    worker.highestRefusedRun.clear();
    worker.ended = [];
    worker.endCount = 0;
    worker.acknowledgedEnd = 0;
    worker.expiredEnd = 0;
    worker.fence = 0;
    worker.leaseEndMs = 0;
    worker.isDown = true;
    worker.isDraining = false;
  }

  restart(id: string): void {
    const worker = this.#workers.get(id)!;
    if (worker.isDown) {
      worker.isDown = false;
      worker.bornMs = Math.floor(this.#options.clock.steadyMs()) + 1;
    }
  }

  /** Ends all faults, and restarts workers that are down. */
  heal(): void {
    Object.assign(this.faults, NO_FAULTS);
    for (const worker of this.#workers.values()) {
      worker.isPartitioned = false;
      worker.isRefused = false;
      this.restart(worker.id);
    }
  }

  isDone(task: TaskRef): boolean {
    return this.#oracle.isDone(task);
  }

  start(
    record: WorkerRecord,
    order: StartOrder,
    options: WorkerCallOptions,
  ): Promise<Result<StartAnswer>> {
    return this.#network.call(
      this.#workerAt(record.address),
      options,
      (worker) => ({
        refusal: this.#start(worker, order),
        clockMs: this.#clockMs(worker),
      }),
    );
  }

  stop(
    record: WorkerRecord,
    order: { task: TaskRef; run: number; fence: number },
    options: WorkerCallOptions,
  ): Promise<Result<void>> {
    return this.#network.call(
      this.#workerAt(record.address),
      options,
      (worker) => {
        if (order.fence < worker.fence) {
          return;
        }
        worker.fence = order.fence;
        const key = taskKey(order.task);
        worker.highestRefusedRun.set(
          key,
          Math.max(order.run, worker.highestRefusedRun.get(key) ?? 0),
        );
        const heldRun = worker.running.get(key);
        if (heldRun?.run === order.run) {
          this.#options.clock.after(this.#randomMs(400), () => {
            this.#end(worker, heldRun, RunEnd.stopped);
          });
        }
      },
    );
  }

  async lease(
    record: WorkerRecord,
    order: LeaseOrder,
    options: WorkerCallOptions,
  ): Promise<Result<WorkerReport>> {
    const renewed = await this.#network.call(
      this.#workerAt(record.address),
      options,
      (worker) => {
        if (order.fence < worker.fence) {
          return false;
        }
        worker.fence = order.fence;
        this.#extendLease(worker, order.leaseEndMs ?? 0);
        this.#acknowledgeEnds(worker, order.acknowledgedUpTo);
        return true;
      },
    );
    if (renewed.isLeft()) {
      return renewed as Result<never>;
    }
    if (!renewed.unsafeCoerce()) {
      return failure("outcomeUnknown");
    }
    const worker = this.#workerAt(record.address);
    if (worker.ended.length === 0 && order.waitMs > 0) {
      await this.#waitForEnd(worker, order.waitMs);
    }
    return await this.#network.call(this.#workerAt(record.address), {
      timeoutMs: 500,
    }, (answering) => ({
      clockMs: this.#clockMs(answering),
      bornMs: answering.bornMs,
      running: [...answering.running.values()].map(({ task, run, work }) => ({
        task,
        run,
        checkpoint: this.#checkpointOf({ task, run }),
        progress: progressAt(work, this.#options.clock.nowMs()),
      })),
      ended: answering.ended.slice(0, REPORTED_ENDS_LIMIT),
      isComplete: answering.ended.length <= REPORTED_ENDS_LIMIT,
    }));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** The process that listens at the address; one that is down if none does. */
  #workerAt(address: string): FakeWorker {
    const workers = [...this.#workers.values()]
      .filter((worker) => worker.address === address);
    const nobody = new FakeWorker("nobody", 1, address);
    nobody.isDown = true;
    return workers.find(({ isDown }) => !isDown) ?? workers[0] ?? nobody;
  }

  #clockMs(worker: FakeWorker): number {
    return Math.floor(
      (this.#options.clock.steadyMs() - worker.bornMs) * worker.clockRate,
    );
  }

  #randomMs(limitMs: number): number {
    return this.#options.random.nextUnit() * limitMs;
  }

  #start(
    worker: FakeWorker,
    order: StartOrder,
  ): StartAnswer["refusal"] {
    const { task, run } = order;
    const key = taskKey(task);
    if (order.fence < worker.fence) {
      return "fenced";
    }
    worker.fence = order.fence;
    this.#extendLease(worker, order.leaseEndMs);
    if (worker.running.get(key)?.run === run) {
      return undefined;
    }
    if (run <= (worker.highestRefusedRun.get(key) ?? 0)) {
      return "old";
    }
    if (order.leaseEndMs <= this.#clockMs(worker)) {
      return "late";
    }
    const used = [...worker.running.values()].reduce(
      (sum, heldRun) => sum + this.#acceleratorsOf(heldRun.task),
      0,
    );
    if (used + this.#acceleratorsOf(task) > 8) {
      return "noRoom";
    }
    this.#oracle.checkStart(worker.id, task, this.#workers.values());
    this.#oracle.checkCheckpoint(task, {
      checkpoint: order.checkpoint,
      owner: this.#checkpointOwner(task),
    });
    const heldRun = { task, run, timer: undefined, work: undefined };
    worker.running.set(key, heldRun);
    worker.highestRefusedRun.set(key, run - 1);
    this.starts += 1;
    this.limits.start({
      key: limitKey(worker, heldRun),
      account: this.#options.accountOf?.(task.jobId),
      demand: this.#stepOf(task).demand,
    }, this.#options.clock.nowMs());
    this.#begin(worker, heldRun);
    return undefined;
  }

  /** Extends the worker's lease, at most to the limit from now. */
  #extendLease(worker: FakeWorker, leaseEndMs: number): void {
    const longestMs = this.#clockMs(worker) + LEASE_LIMIT_MS;
    worker.leaseEndMs = Math.max(
      worker.leaseEndMs,
      Math.min(leaseEndMs, longestMs),
    );
  }

  #acceleratorsOf(task: TaskRef): number {
    return this.#stepOf(task).demand.accelerators;
  }

  #stepOf(task: TaskRef) {
    return this.#options.specOf(task.jobId)!.steps[task.step]!;
  }

  /** The prefix of a task's checkpoints; tasks of a gang share theirs. */
  #checkpointOwner(task: TaskRef): string {
    const { jobId, occurrence, step, index } = task;
    const member = this.#stepOf(task).isGang ? "all" : index;
    return `${jobId}.${occurrence}.${step}.${member}/`;
  }

  #checkpointOf({ task, run }: Pick<HeldRun, "task" | "run">): string {
    return `${this.#checkpointOwner(task)}${run}`;
  }

  #begin(worker: FakeWorker, heldRun: HeldRun): void {
    const { clock, random } = this.#options;
    const step = this.#stepOf(heldRun.task);
    const fails = random.nextUnit() < this.faults.failingRuns;
    const durationMs = step.estimateMs * (0.5 + random.nextUnit()) /
      worker.speed;
    const hungRuns = worker.isHanging ? 1 : this.faults.hungRuns;
    const work = drawWork({ beganAtMs: clock.nowMs(), durationMs }, {
      random,
      hungRuns,
    });
    const endsAfterMs = work.durationMs + work.hangMs;
    if (!step.isGang) {
      heldRun.work = work;
      heldRun.timer = clock.after(
        endsAfterMs,
        () => this.#end(worker, heldRun, fails ? RunEnd.failed : RunEnd.done),
      );
      return;
    }
    heldRun.timer = clock.after(
      GANG_WAIT_MS,
      () => this.#end(worker, heldRun, RunEnd.alone),
    );
    const members = this.#membersOf(heldRun);
    if (members.length === step.taskCount) {
      members.forEach((member) => {
        member.heldRun.timer?.close();
        member.heldRun.work = work;
      });
      clock.after(endsAfterMs, () => {
        // A late start may have replaced a member that its worker lost.
        const isComplete = members.every((member) =>
          member.worker.running.get(taskKey(member.heldRun.task)) ===
            member.heldRun
        );
        members.forEach((member) => {
          const how = fails
            ? RunEnd.failed
            : (isComplete ? RunEnd.done : RunEnd.broken);
          this.#end(member.worker, member.heldRun, how);
        });
      });
    }
  }

  #membersOf(
    { task, run }: HeldRun,
  ): { worker: FakeWorker; heldRun: HeldRun }[] {
    return [...this.#workers.values()].flatMap((worker) =>
      [...worker.running.values()]
        .filter((heldRun) =>
          heldRun.run === run && heldRun.task.jobId === task.jobId &&
          heldRun.task.step === task.step
        )
        .map((heldRun) => ({ worker, heldRun }))
    );
  }

  #end(worker: FakeWorker, heldRun: HeldRun, how: RunEnd): void {
    const key = taskKey(heldRun.task);
    if (worker.running.get(key) !== heldRun) {
      return;
    }
    heldRun.timer?.close();
    worker.running.delete(key);
    this.limits.end(limitKey(worker, heldRun));
    worker.highestRefusedRun.set(key, heldRun.run);
    worker.endCount += 1;
    const { task, run } = heldRun;
    const number = worker.endCount;
    const checkpoint = this.#checkpointOf(heldRun);
    worker.ended.push({ number, task, run, how, checkpoint });
    if (how === RunEnd.done) {
      this.#oracle.recordDone(task);
    }
    worker.waiters.splice(0).forEach((resume) => resume());
  }

  #acknowledgeEnds(worker: FakeWorker, storedEnd: number): void {
    for (const { number, task, how } of worker.ended) {
      const isNew = number > worker.acknowledgedEnd && number <= storedEnd;
      if (isNew && number > worker.expiredEnd) {
        this.#oracle.recordAcknowledgedEnd(task, how);
      }
    }
    worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, storedEnd);
    worker.ended = worker.ended.filter(({ number }) => number > storedEnd);
  }

  #expireLeases(): void {
    for (const worker of this.#workers.values()) {
      if (this.#clockMs(worker) >= worker.leaseEndMs) {
        for (const heldRun of [...worker.running.values()]) {
          this.#end(worker, heldRun, RunEnd.lapsed);
        }
        worker.expiredEnd = worker.endCount;
      }
    }
  }

  #waitForEnd(worker: FakeWorker, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#options.clock.after(waitMs, resolve);
      worker.waiters.push(() => {
        timer.close();
        resolve();
      });
    });
  }
}

function limitKey(worker: FakeWorker, { task, run }: HeldRun): string {
  return `${taskKey(task)}#${run} on ${worker.id}, ${worker.bornMs}`;
}
