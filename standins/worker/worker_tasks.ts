/**
 * A stand-in worker without its HTTP server: checks of commands, reservations,
 * leases and simulated tasks.
 *
 * @module
 */

import type { Clock } from "../../src/base/clock.ts";
import type { TaskResources } from "../../src/process/scheduler/core/job.ts";
import type { TaskOutcome } from "../../src/process/scheduler/core/scheduler_event.ts";
import type {
  WorkerAnswer,
  WorkerCommand,
  WorkerRefusal,
} from "../../src/process/scheduler/runtime/worker_command.ts";
import {
  WORKER_PROTOCOL_VERSION,
  type WorkerHoldings,
  type WorkerReport,
} from "../../src/process/scheduler/runtime/worker_report.ts";
import { HeldAttempt } from "./held_attempt.ts";
import { DelayedUsages } from "./delayed_usages.ts";
import { SimulatedTask } from "./simulated_task.ts";
import type {
  OmittedFence,
  TaskEvent,
  WorkerCapacity,
} from "./worker_types.ts";
import { NO_FAULTS, type WorkerFaults } from "./worker_faults.ts";

/** Options of {@link WorkerTasks}. */
export interface WorkerTasksOptions {
  readonly clock: Clock;
  readonly workerId: string;
  readonly capacity: WorkerCapacity;
  readonly incarnation: number;
  /** How long a checkpoint takes; 50 ms by default. */
  readonly checkpointMs?: number;
  /** The age of the usage in a report. */
  readonly usageLagMs?: number;
  readonly onTaskEvent?: (event: TaskEvent) => void;
  readonly omittedFences?: readonly OmittedFence[];
}

/** The least difference between the times of successive holdings. */
const TIME_STEP_MS = 0.001;

type CommandOf<Kind extends WorkerCommand["kind"]> = Extract<
  WorkerCommand,
  { kind: Kind }
>;

type OptionalRefusal = WorkerRefusal | undefined;

/** The attempts that a worker holds, and the commands that change them. */
export class WorkerTasks {
  readonly #options: WorkerTasksOptions;
  readonly #attempts = new Map<string, HeldAttempt>();
  /** The lowest attempt of each job that may still be reserved or started. */
  readonly #lowestAttempts = new Map<string, number>();
  #highestTerm = 0;
  #lastTimeMs = 0;
  #isLeaving = false;
  #faults: WorkerFaults = NO_FAULTS;
  readonly #usages: DelayedUsages;

  constructor(options: WorkerTasksOptions) {
    this.#options = options;
    this.#usages = new DelayedUsages(options);
  }

  get faults(): WorkerFaults {
    return this.#faults;
  }

  setFaults(faults: WorkerFaults): void {
    this.#faults = faults;
  }

  /** From now on refuses new reservations. */
  leave(): void {
    this.#isLeaving = true;
  }

  get isIdle(): boolean {
    return [...this.#attempts.values()].every((held) => !held.isRunning);
  }

  handle(command: WorkerCommand): WorkerAnswer {
    const refusal = this.#checkFence(command) ?? this.#execute(command);
    const holdings = this.#holdings();
    return refusal === undefined ? { holdings } : { refusal, holdings };
  }

  report(address: string): WorkerReport {
    return {
      protocolVersion: WORKER_PROTOCOL_VERSION,
      ...this.#holdings(),
      ...this.#options.capacity,
      address,
      usages: this.#delayedUsages(),
    };
  }

  /** Simulates the exit of the worker's process: all tasks are lost. */
  close(): void {
    for (const held of this.#attempts.values()) {
      held.endTasks("lost");
      held.close();
    }
    this.#attempts.clear();
  }

  #checkFence(command: WorkerCommand): OptionalRefusal {
    const { fence } = command;
    if (fence.incarnation !== this.#options.incarnation) {
      return "otherIncarnation";
    }
    if (fence.term < this.#highestTerm && !this.#omits("term")) {
      return "staleTerm";
    }
    const nowMs = this.#options.clock.nowMs();
    if (fence.validUntilMs < nowMs && !this.#omits("late")) {
      return "late";
    }
    this.#highestTerm = Math.max(this.#highestTerm, fence.term);
    return undefined;
  }

  #execute(command: WorkerCommand): OptionalRefusal {
    switch (command.kind) {
      case "reserve":
        return this.#reserve(command);
      case "start":
        return this.#start(command);
      case "renew":
        return this.#renew(command);
      case "release":
        return this.#release(command);
      case "checkpoint":
        this.#find(command)?.tasks.forEach((task) => task.checkpoint());
        return undefined;
      case "throttle":
        this.#find(command)?.tasks.forEach((task) =>
          task.throttle(command.coresFraction)
        );
        return undefined;
      case "stop":
        return this.#stop(command);
    }
  }

  #reserve(command: CommandOf<"reserve">): OptionalRefusal {
    const refusal = this.#checkAttempt(command);
    if (refusal !== undefined) {
      return refusal;
    }
    const held = this.#find(command);
    const isOfEarlierTerm = held?.isReserved === true &&
      held.term < command.fence.term;
    if (held !== undefined && !isOfEarlierTerm) {
      held.extend(command.reservationEndMs);
      return undefined;
    }
    if (this.#isLeaving) {
      return "leaving";
    }
    this.#removeEarlierReservations(command);
    if (!this.#hasCapacity(command)) {
      return "noRoom";
    }
    this.#lowestAttempts.set(command.jobId, command.attempt);
    this.#addAttempt(command);
    return undefined;
  }

  #start(command: CommandOf<"start">): OptionalRefusal {
    const refusal = this.#checkAttempt(command);
    if (refusal !== undefined) {
      return refusal;
    }
    const held = this.#find(command);
    if (held === undefined) {
      return "unknownAttempt";
    }
    if (held.isReserved && held.term !== command.fence.term) {
      return "unknownAttempt";
    }
    if (held.isReserved) {
      held.tasks.forEach((task) => this.#startTask(task, command));
    }
    this.#extendLease(held, command.leaseEndMs);
    return undefined;
  }

  #startTask(task: SimulatedTask, command: CommandOf<"start">): void {
    this.#emitEvent(task, { kind: "started", term: command.fence.term });
    task.start({
      fails: this.#faults.failsEveryTask,
      runTimeFactor: this.#faults.runTimeFactor,
    });
  }

  #renew(command: CommandOf<"renew">): OptionalRefusal {
    for (const lease of command.leases) {
      const held = this.#find(lease);
      if (held?.isRunning === true) {
        this.#extendLease(held, lease.leaseEndMs);
      }
    }
    for (const reference of command.forget) {
      const held = this.#find(reference);
      if (held !== undefined && !held.isRunning && !held.isReserved) {
        this.#raiseLowestAttempt(reference);
        this.#removeAttempt(held);
      }
    }
    return undefined;
  }

  #release(command: CommandOf<"release">): OptionalRefusal {
    this.#raiseLowestAttempt(command);
    for (const held of [...this.#attempts.values()]) {
      if (held.jobId === command.jobId && held.attempt <= command.attempt) {
        held.endTasks("stopped");
        this.#removeAttempt(held);
      }
    }
    return undefined;
  }

  /** From now on refuses this attempt and earlier ones of the job. */
  #raiseLowestAttempt(
    reference: { readonly jobId: string; readonly attempt: number },
  ): void {
    const lowest = this.#lowestAttempts.get(reference.jobId) ?? 0;
    const next = Math.max(lowest, reference.attempt + 1);
    this.#lowestAttempts.set(reference.jobId, next);
  }

  #stop(command: CommandOf<"stop">): OptionalRefusal {
    const held = this.#find(command);
    if (held === undefined || held.isReserved) {
      return this.#release({ ...command, kind: "release" });
    }
    const nowMs = this.#options.clock.nowMs();
    const checkpointEndMs = nowMs + (this.#options.checkpointMs ?? 50);
    const { wantsCheckpoint, checkpointDeadlineMs } = command;
    if (!wantsCheckpoint || checkpointDeadlineMs <= nowMs) {
      held.endTasks("stopped");
      return undefined;
    }
    held.stopAt(Math.min(checkpointEndMs, checkpointDeadlineMs), {
      isCheckpointed: checkpointEndMs <= checkpointDeadlineMs,
    });
    return undefined;
  }

  #checkAttempt(
    command: { readonly jobId: string; readonly attempt: number },
  ): OptionalRefusal {
    const lowest = this.#lowestAttempts.get(command.jobId) ?? 0;
    if (command.attempt < lowest && !this.#omits("released")) {
      return "releasedAttempt";
    }
    const runsEarlier = [...this.#attempts.values()].some((held) =>
      held.jobId === command.jobId && held.attempt < command.attempt &&
      held.isRunning
    );
    return runsEarlier ? "earlierAttemptRuns" : undefined;
  }

  #removeEarlierReservations(command: CommandOf<"reserve">): void {
    for (const held of [...this.#attempts.values()]) {
      if (held.jobId === command.jobId && held.isReserved) {
        this.#removeAttempt(held);
      }
    }
  }

  #addAttempt(command: CommandOf<"reserve">): void {
    const { jobId, attempt, resources } = command;
    const tasks = command.taskIndexes.map((taskIndex) =>
      new SimulatedTask({
        clock: this.#options.clock,
        jobId,
        attempt,
        taskIndex,
        resources,
        command: command.command,
        onEnd: (task) => this.#emitEnd(task),
      })
    );
    const held = new HeldAttempt({
      clock: this.#options.clock,
      jobId,
      attempt,
      term: command.fence.term,
      tasks,
      onReservationEnd: () => this.#removeAttempt(held),
    });
    this.#attempts.set(key(command), held);
    held.extend(command.reservationEndMs);
  }

  #removeAttempt(held: HeldAttempt): void {
    held.close();
    this.#attempts.delete(key(held));
  }

  #extendLease(held: HeldAttempt, leaseEndMs: number): void {
    held.extend(this.#omits("lease") ? Number.MAX_SAFE_INTEGER : leaseEndMs);
  }

  #hasCapacity(command: CommandOf<"reserve">): boolean {
    const taken = [...this.#attempts.values()]
      .flatMap((held) => held.tasks)
      .filter((task) => task.state !== "ended")
      .map((task) => task.resources);
    const wanted = command.taskIndexes.map(() => command.resources);
    return fits([...taken, ...wanted], this.#options.capacity);
  }

  #find(
    reference: { readonly jobId: string; readonly attempt: number },
  ): HeldAttempt | undefined {
    return this.#attempts.get(key(reference));
  }

  #holdings(): WorkerHoldings {
    return {
      workerId: this.#options.workerId,
      incarnation: this.#options.incarnation,
      workerClockMs: this.#nextTimeMs(),
      highestTerm: this.#highestTerm,
      isLeaving: this.#isLeaving,
      tasks: [...this.#attempts.values()]
        .flatMap((held) => held.tasks.map((task) => task.toHeldTask())),
    };
  }

  /** The time, made unique so that holdings can be ordered by it. */
  #nextTimeMs(): number {
    const nowMs = this.#options.clock.nowMs();
    this.#lastTimeMs = Math.max(nowMs, this.#lastTimeMs + TIME_STEP_MS);
    return this.#lastTimeMs;
  }

  #delayedUsages(): WorkerReport["usages"] {
    const usages = [...this.#attempts.values()]
      .flatMap((held) => held.tasks)
      .filter((task) => task.state === "running")
      .map((task) => task.usage(this.#faults.sizeFactor));
    return this.#usages.nextReport(usages);
  }

  #emitEnd(task: SimulatedTask): void {
    const outcome = task.toHeldTask().outcome ?? "lost";
    this.#emitEvent(task, { kind: "ended", outcome });
  }

  #emitEvent(
    task: SimulatedTask,
    change:
      | { kind: "started"; term: number }
      | { kind: "ended"; outcome: TaskOutcome },
  ): void {
    const { jobId, attempt, taskIndex } = task.toHeldTask();
    const { workerId } = this.#options;
    this.#options.onTaskEvent?.({
      workerId,
      jobId,
      attempt,
      taskIndex,
      ...change,
    });
  }

  #omits(fence: OmittedFence): boolean {
    return this.#options.omittedFences?.includes(fence) ?? false;
  }
}

/** Whether the demands fit into the capacity together. */
function fits(
  demands: readonly TaskResources[],
  capacity: WorkerCapacity,
): boolean {
  const isWithin = (name: keyof TaskResources) =>
    demands.reduce((sum, each) => sum + each[name], 0) <= capacity[name];
  return isWithin("cores") && isWithin("memoryBytes") &&
    isWithin("accelerators");
}

function key(
  reference: { readonly jobId: string; readonly attempt: number },
): string {
  return `${reference.jobId}/${reference.attempt}`;
}
