/**
 * Workers in logical time behind a network that loses, delays and repeats,
 * with an oracle of what must never happen on them.
 *
 * @module
 */

import type { FakeClock, RandomSource } from "../../../base/mod.ts";
import { failure, type Result } from "../../../base/mod.ts";
import {
  lifeKey,
  RunEnd,
  type TaskRef,
  type WorkerRecord,
} from "../batch_command.ts";
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
import { PoolOracle } from "./pool_oracle.ts";

/** What a pool is made from. */
export interface FakePoolOptions {
  readonly clock: FakeClock;
  readonly random: RandomSource;
  readonly workers: number;
  readonly specOf: (jobId: string) => JobSpec | undefined;
  readonly attempts: number;
}

/** All workers; the leader's only way to them. */
export class FakePool implements WorkerCalls {
  starts = 0;
  readonly #network: FakePoolNetwork;
  readonly #options: FakePoolOptions;
  readonly #workers = new Map<string, FakeWorker>();
  readonly #oracle: PoolOracle;

  constructor(options: FakePoolOptions) {
    this.#options = options;
    this.#network = new FakePoolNetwork(options);
    this.#oracle = new PoolOracle(options);
    for (let number = 0; number < options.workers; number++) {
      const rate = 1 - 0.02 * options.random.nextUnit();
      this.#workers.set(`w${number}`, new FakeWorker(`w${number}`, rate));
    }
    options.clock.every(LEASE_CHECK_MS, () => this.#lapse());
  }

  get faults(): PoolFaults {
    return this.#network.faults;
  }

  /** What must never happen, and did. */
  get violations(): readonly string[] {
    return this.#oracle.violations;
  }

  /** What each worker would announce now. */
  records(): WorkerRecord[] {
    return [...this.#workers.values()].filter(({ isDown }) => !isDown)
      .map((worker) => ({
        key: lifeKey(worker.id, worker.bornMs),
        id: worker.id,
        bornMs: worker.bornMs,
        service: "pool",
        address: worker.id,
        dataCentre: "east",
        capacity: { cpuMilli: 8_000, memoryMb: 8_000, accelerators: 8 },
        labels: ["a", "r-1"],
        rack: "r-1",
        isDraining: false,
      }));
  }

  clockOf(id: string): number {
    const worker = this.#workers.get(id)!;
    return this.#clockMs(worker);
  }

  setCut(id: string, isCut: boolean): void {
    this.#workers.get(id)!.isCut = isCut;
  }

  /** Ends this life; the next one begins at once or when told. */
  crash(id: string): void {
    const worker = this.#workers.get(id)!;
    worker.running.forEach((held) => held.timer?.close());
    worker.running.clear();
    worker.barred.clear();
    worker.ended = [];
    worker.endCount = 0;
    worker.notedEnd = 0;
    worker.lapsedEnd = 0;
    worker.epoch = 0;
    worker.leaseEndMs = 0;
    worker.isDown = true;
  }

  restart(id: string): void {
    const worker = this.#workers.get(id)!;
    if (worker.isDown) {
      worker.isDown = false;
      worker.bornMs = Math.floor(this.#options.clock.nowMs()) + 1;
    }
  }

  /** Everything works again. */
  heal(): void {
    Object.assign(this.faults, NO_FAULTS);
    for (const worker of this.#workers.values()) {
      worker.isCut = false;
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
      this.#workers.get(record.id)!,
      options,
      (worker) => ({
        refusal: this.#start(worker, order),
        clockMs: this.#clockMs(worker),
      }),
    );
  }

  stop(
    record: WorkerRecord,
    order: { task: TaskRef; run: number; epoch: number },
    options: WorkerCallOptions,
  ): Promise<Result<void>> {
    return this.#network.call(
      this.#workers.get(record.id)!,
      options,
      (worker) => {
        if (order.epoch < worker.epoch) {
          return;
        }
        worker.epoch = order.epoch;
        const name = taskKey(order.task);
        worker.barred.set(
          name,
          Math.max(order.run, worker.barred.get(name) ?? 0),
        );
        const held = worker.running.get(name);
        if (held?.run === order.run) {
          this.#options.clock.after(this.#randomMs(400), () => {
            this.#end(worker, held, RunEnd.stopped);
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
    const waited = await this.#network.call(
      this.#workers.get(record.id)!,
      options,
      (worker) => {
        if (order.epoch < worker.epoch) {
          return false;
        }
        worker.epoch = order.epoch;
        this.#extendLease(worker, order.leaseEndMs ?? 0);
        this.#note(worker, order.notedEnd);
        return true;
      },
    );
    if (waited.isLeft() || !waited.unsafeCoerce()) {
      return failure("outcomeUnknown");
    }
    const worker = this.#workers.get(record.id)!;
    if (worker.ended.length === 0 && order.waitMs > 0) {
      await this.#waitForEnd(worker, order.waitMs);
    }
    return await this.#network.call(this.#workers.get(record.id)!, {
      timeoutMs: 500,
    }, (answering) => ({
      clockMs: this.#clockMs(answering),
      bornMs: answering.bornMs,
      running: [...answering.running.values()].map(({ task, run }) => ({
        task,
        run,
        checkpoint: this.#checkpointOf({ task, run }),
      })),
      ended: [...answering.ended],
    }));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  #clockMs(worker: FakeWorker): number {
    return Math.floor(
      (this.#options.clock.nowMs() - worker.bornMs) * worker.clockRate,
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
    const name = taskKey(task);
    if (order.epoch < worker.epoch) {
      return "fenced";
    }
    worker.epoch = order.epoch;
    this.#extendLease(worker, order.leaseEndMs);
    if (worker.running.get(name)?.run === run) {
      return undefined;
    }
    if (run <= (worker.barred.get(name) ?? 0)) {
      return "old";
    }
    if (order.leaseEndMs <= this.#clockMs(worker)) {
      return "late";
    }
    const used = [...worker.running.values()].reduce(
      (sum, held) => sum + this.#acceleratorsOf(held.task),
      0,
    );
    if (used + this.#acceleratorsOf(task) > 8) {
      return "noRoom";
    }
    this.#oracle.judgeStart(worker.id, task, this.#workers.values());
    this.#oracle.judgeCheckpoint(task, {
      checkpoint: order.checkpoint,
      owner: this.#checkpointOwner(task),
    });
    const held: HeldRun = { task, run, timer: undefined };
    worker.running.set(name, held);
    worker.barred.set(name, run - 1);
    this.starts += 1;
    this.#begin(worker, held);
    return undefined;
  }

  /** A longer lease than the limit is shortened to it. */
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

  /** A gang's members may resume from each other's checkpoints. */
  #checkpointOwner(task: TaskRef): string {
    const { jobId, occurrence, step, index } = task;
    const member = this.#stepOf(task).isGang ? "all" : index;
    return `${jobId}.${occurrence}.${step}.${member}/`;
  }

  #checkpointOf({ task, run }: Pick<HeldRun, "task" | "run">): string {
    return `${this.#checkpointOwner(task)}${run}`;
  }

  #begin(worker: FakeWorker, held: HeldRun): void {
    const { clock, random } = this.#options;
    const step = this.#stepOf(held.task);
    const fails = random.nextUnit() < this.faults.failingRuns;
    const lastsMs = step.estimateMs * (0.5 + random.nextUnit());
    if (!step.isGang) {
      held.timer = clock.after(
        lastsMs,
        () => this.#end(worker, held, fails ? RunEnd.failed : RunEnd.done),
      );
      return;
    }
    held.timer = clock.after(
      GANG_WAIT_MS,
      () => this.#end(worker, held, RunEnd.alone),
    );
    const members = this.#membersOf(held);
    if (members.length === step.taskCount) {
      members.forEach((member) => member.held.timer?.close());
      clock.after(lastsMs, () => {
        const whole = this.#membersOf(held).length === step.taskCount;
        members.forEach((member) => {
          const how = fails
            ? RunEnd.failed
            : (whole ? RunEnd.done : RunEnd.broken);
          this.#end(member.worker, member.held, how);
        });
      });
    }
  }

  #membersOf({ task, run }: HeldRun): { worker: FakeWorker; held: HeldRun }[] {
    return [...this.#workers.values()].flatMap((worker) =>
      [...worker.running.values()]
        .filter((held) =>
          held.run === run && held.task.jobId === task.jobId &&
          held.task.step === task.step
        )
        .map((held) => ({ worker, held }))
    );
  }

  #end(worker: FakeWorker, held: HeldRun, how: RunEnd): void {
    const name = taskKey(held.task);
    if (worker.running.get(name) !== held) {
      return;
    }
    held.timer?.close();
    worker.running.delete(name);
    worker.barred.set(name, held.run);
    worker.endCount += 1;
    const { task, run } = held;
    const number = worker.endCount;
    const checkpoint = this.#checkpointOf(held);
    worker.ended.push({ number, task, run, how, checkpoint });
    if (how === RunEnd.done) {
      this.#oracle.noteDone(task);
    }
    worker.waiters.splice(0).forEach((resume) => resume());
  }

  #note(worker: FakeWorker, notedEnd: number): void {
    for (const { number, task, how } of worker.ended) {
      const isNew = number > worker.notedEnd && number <= notedEnd;
      if (isNew && number > worker.lapsedEnd) {
        this.#oracle.noteEnd(task, how);
      }
    }
    worker.notedEnd = Math.max(worker.notedEnd, notedEnd);
    worker.ended = worker.ended.filter(({ number }) => number > notedEnd);
  }

  #lapse(): void {
    for (const worker of this.#workers.values()) {
      if (this.#clockMs(worker) >= worker.leaseEndMs) {
        for (const held of [...worker.running.values()]) {
          this.#end(worker, held, RunEnd.lapsed);
        }
        worker.lapsedEnd = worker.endCount;
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
