/**
 * A small pool for tests of the planner: replicated state, a clock, and the
 * commits that a leader would make.
 *
 * @module
 */

import type {
  BatchItem,
  RunEnd,
  TaskRef,
  WorkerRecord,
} from "../batch_command.ts";
import { BatchState } from "../batch_state.ts";
import type { Recurrence, StepSpec } from "../job_spec.ts";
import type {
  AccountConfiguration,
  QueueConfiguration,
} from "../pool_configuration.ts";
import { stepSpec } from "../testing/step_fixture.ts";
import type { ShareStandings } from "./account_shares.ts";
import type { SpeedClass } from "./worker_speed_class.ts";
import { type Plan, plan, type PlannerOptions } from "./planner.ts";

/** The fields of a step that a test sets; the others have defaults. */
export interface StepOverrides extends Partial<StepSpec> {
  /** Beside small demands for the rest, unless all of `demand` is set. */
  readonly accelerators?: number;
  readonly queue?: "urgent" | "normal" | "background";
  /** The client account; by default the one with a guarantee. */
  readonly account?: string;
}

const PRIORITIES: Readonly<Record<string, number>> = {
  urgent: 0,
  normal: 1,
  background: 2,
};

/** A pool with a clock, and one client account with a guarantee. */
export class PlannerFixture {
  readonly state = new BatchState();
  nowMs = 1_000_000;
  /** By how much the time of day is ahead of `nowMs`. */
  timeOfDayAheadMs = 0;
  /** Workers that don't answer. */
  readonly unreachable = new Set<string>();
  /** How many more starts each worker is sent. */
  startsLeft = Infinity;
  /** Workers on which runs of every task count as failed. */
  readonly failedOn = new Set<string>();
  /** Workers that are suspect. */
  readonly suspects = new Set<string>();
  /** The standings of the client accounts; none by default. */
  shares: ShareStandings | undefined;
  readonly #stopping = new Set<string>();

  constructor(
    options: {
      workers: number;
      /** Accelerators that the client account is guaranteed. */
      guaranteed?: number;
      /** In place of the one account that `guaranteed` describes. */
      accounts?: readonly AccountConfiguration[];
      /** Priorities of the queues by name. */
      priorities?: Readonly<Record<string, number>>;
      /** Fields of the urgent queue. */
      urgent?: Partial<QueueConfiguration>;
    },
  ) {
    const priorities = options.priorities ?? PRIORITIES;
    this.state.apply({ kind: "epoch", leaderId: "leader" });
    this.state.apply({
      kind: "configure",
      document: "{}",
      configuration: {
        version: 1,
        queues: Object.entries(priorities).map(([name, priority]) => ({
          ...newQueue(name, priority),
          ...(name === "urgent" ? options.urgent : {}),
        })),
        services: [{ name: "pool", guardsCapacity: true }],
        accounts: options.accounts ?? [{
          name: "account",
          apiKeys: ["key"],
          guaranteedAccelerators: options.guaranteed ?? 0,
        }],
      },
    });
    for (let number = 1; number <= options.workers; number++) {
      this.addWorker(`w${number}`);
    }
  }

  addWorker(key: string, options: Partial<WorkerRecord> = {}): void {
    this.apply({
      kind: "worker",
      worker: {
        key,
        id: key,
        bornMs: 1,
        service: "pool",
        address: `10.0.0.1:${1 + this.state.workers.size}`,
        dataCentre: "east",
        capacity: { cpuMilli: 32_000, memoryMb: 64_000, accelerators: 8 },
        labels: ["a", "r-1"],
        rack: "r-1",
        isDraining: false,
        ...options,
      },
    });
  }

  /** Puts a version with these client accounts in force. */
  setAccounts(accounts: readonly AccountConfiguration[]): void {
    const { configuration } = this.state.inForce!.index;
    const version = configuration.version + 1;
    this.state.apply({
      kind: "configure",
      document: "{}",
      configuration: { ...configuration, version, accounts },
    });
  }

  setSpeed(key: string, speedClass: SpeedClass, speed: number): void {
    this.apply({ kind: "workerSpeed", key, speedClass, speed });
  }

  submit(id: string, step: StepOverrides, recurrence?: Recurrence): void {
    this.submitSteps(id, [step], recurrence);
  }

  submitSteps(
    id: string,
    steps: readonly StepOverrides[],
    recurrence?: Recurrence,
  ): void {
    this.apply({
      kind: "accept",
      jobId: id,
      queue: steps[0]?.queue ?? "normal",
      account: steps[0]?.account ?? "account",
      submittedAtMs: this.nowMs,
      spec: { payload: "", steps: steps.map(newStep), recurrence },
    });
  }

  /** By default without a reserve, so that tests can fill the whole pool. */
  plan(
    options: PlannerOptions = { urgentReserveShare: 0, urgentFloorShare: 0 },
  ): Plan {
    return plan({
      state: this.state,
      nowMs: this.nowMs,
      timeOfDayMs: this.nowMs + this.timeOfDayAheadMs,
      condition: (key) => ({
        isReachable: !this.unreachable.has(key),
        isSuspect: this.suspects.has(key),
        isFull: false,
        startsLeft: this.startsLeft,
      }),
      failedOn: () => this.failedOn,
      isStopping: (task) => this.#stopping.has(taskKey(task)),
      shares: this.shares,
    }, options);
  }

  /** Commits the starts of a plan. */
  applyStarts({ starts }: Plan): void {
    starts.forEach((start) => this.apply(start));
  }

  /** Makes the planner see the tasks' runs as being stopped. */
  markStopping(tasks: readonly TaskRef[]): void {
    tasks.forEach((task) => this.#stopping.add(taskKey(task)));
  }

  workerOf(task: TaskRef): string | undefined {
    return this.state.taskOf(task)?.worker;
  }

  end(
    jobId: string,
    options: { step: number; index: number; how: RunEnd },
  ): void {
    const { step, index, how } = options;
    this.endTask({ jobId, occurrence: 0, step, index }, how);
  }

  /** Records that the task's run is on its worker, and nowhere else. */
  settle({ index, ...step }: TaskRef): void {
    const run = this.state.taskOf({ ...step, index })?.run ?? 0;
    this.apply({ kind: "settle", ...step, run, indices: [index] });
  }

  endTask({ jobId, occurrence, step, index }: TaskRef, how: RunEnd): void {
    const task = { jobId, occurrence, step, index };
    const run = this.state.taskOf(task)?.run ?? 0;
    this.apply({ kind: "end", task, run, how, checkpoint: "" });
  }

  /** Commits one item; returns whether it took effect. */
  apply(item: BatchItem): boolean {
    const outcome = this.state.apply({
      kind: "batch",
      epoch: this.state.epoch,
      atMs: this.nowMs,
      items: [item],
    });
    return outcome.kind === "batch" && outcome.applied[0] === true;
  }
}

function taskKey(task: TaskRef): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`;
}

function newQueue(name: string, priority: number): QueueConfiguration {
  return {
    name,
    host: "jobs.example",
    prefix: `/${name}/`,
    service: "pool",
    priority,
    attempts: 2,
    stretch: 2,
    objectiveSlackMs: 1_000,
    isPublic: false,
  };
}

function newStep(overrides: StepOverrides): StepSpec {
  const { accelerators = 1, queue: _queue, account: _account, ...rest } =
    overrides;
  return stepSpec({
    demand: { cpuMilli: 1_000, memoryMb: 1_000, accelerators },
    ...rest,
  });
}
