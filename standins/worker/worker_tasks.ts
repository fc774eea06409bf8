/**
 * The stand-in worker's rules: fences, reservations, leases and pretend
 * tasks, with no sockets in them.
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
import { LaggingUsages } from "./lagging_usages.ts";
import { PretendTask } from "./pretend_task.ts";
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
  /** How long a checkpoint takes. */
  readonly checkpointMs?: number;
  /** How long ago the usage in a report was seen. */
  readonly usageLagMs?: number;
  readonly onTaskEvent?: (happening: TaskEvent) => void;
  readonly omittedFences?: readonly OmittedFence[];
}

const STAMP_STEP_MS = 0.001;

type CommandOf<Kind extends WorkerCommand["kind"]> = Extract<
  WorkerCommand,
  { kind: Kind }
>;

type Refused = WorkerRefusal | undefined;

/** What one worker holds and how commands change it. */
export class WorkerTasks {
  readonly #options: WorkerTasksOptions;
  readonly #attempts = new Map<string, HeldAttempt>();
  /** The lowest attempt of each job that may still be reserved or started. */
  readonly #lowestAttempts = new Map<string, number>();
  #highestTerm = 0;
  #lastStampMs = 0;
  #isLeaving = false;
  #faults: WorkerFaults = NO_FAULTS;
  readonly #usages: LaggingUsages;

  constructor(options: WorkerTasksOptions) {
    this.#options = options;
    this.#usages = new LaggingUsages(options);
  }

  get faults(): WorkerFaults {
    return this.#faults;
  }

  setFaults(faults: WorkerFaults): void {
    this.#faults = faults;
  }

  /** Takes nothing new from now on. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Whether no task runs. */
  get isIdle(): boolean {
    return [...this.#attempts.values()].every((held) => !held.isRunning);
  }

  handle(command: WorkerCommand): WorkerAnswer {
    const refusal = this.#fence(command) ?? this.#carryOut(command);
    const holdings = this.#holdings();
    return refusal === undefined ? { holdings } : { refusal, holdings };
  }

  report(address: string): WorkerReport {
    return {
      protocolVersion: WORKER_PROTOCOL_VERSION,
      ...this.#holdings(),
      ...this.#options.capacity,
      address,
      usages: this.#laggingUsages(),
    };
  }

  /** The worker's process dies: every task with it. */
  close(): void {
    for (const held of this.#attempts.values()) {
      held.endTasks("lost");
      held.close();
    }
    this.#attempts.clear();
  }

  #fence(command: WorkerCommand): Refused {
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

  #carryOut(command: WorkerCommand): Refused {
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

  #reserve(command: CommandOf<"reserve">): Refused {
    const refusal = this.#refuseAttempt(command);
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
    this.#dropEarlierReservations(command);
    if (!this.#hasRoom(command)) {
      return "noRoom";
    }
    this.#lowestAttempts.set(command.jobId, command.attempt);
    this.#hold(command);
    return undefined;
  }

  #start(command: CommandOf<"start">): Refused {
    const refusal = this.#refuseAttempt(command);
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

  #startTask(task: PretendTask, command: CommandOf<"start">): void {
    this.#tell(task, { kind: "started", term: command.fence.term });
    task.start({
      fails: this.#faults.failsEveryTask,
      runTimeFactor: this.#faults.runTimeFactor,
    });
  }

  #renew(command: CommandOf<"renew">): Refused {
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
        this.#drop(held);
      }
    }
    return undefined;
  }

  #release(command: CommandOf<"release">): Refused {
    this.#raiseLowestAttempt(command);
    for (const held of [...this.#attempts.values()]) {
      if (held.jobId === command.jobId && held.attempt <= command.attempt) {
        held.endTasks("stopped");
        this.#drop(held);
      }
    }
    return undefined;
  }

  /** From now on this attempt and earlier ones are refused. */
  #raiseLowestAttempt(
    reference: { readonly jobId: string; readonly attempt: number },
  ): void {
    const lowest = this.#lowestAttempts.get(reference.jobId) ?? 0;
    const next = Math.max(lowest, reference.attempt + 1);
    this.#lowestAttempts.set(reference.jobId, next);
  }

  #stop(command: CommandOf<"stop">): Refused {
    const held = this.#find(command);
    if (held === undefined || held.isReserved) {
      return this.#release({ ...command, kind: "release" });
    }
    const nowMs = this.#options.clock.nowMs();
    const doneMs = nowMs + (this.#options.checkpointMs ?? 50);
    const { wantsCheckpoint, checkpointDeadlineMs } = command;
    if (!wantsCheckpoint || checkpointDeadlineMs <= nowMs) {
      held.endTasks("stopped");
      return undefined;
    }
    held.stopAt(Math.min(doneMs, checkpointDeadlineMs), {
      isCheckpointed: doneMs <= checkpointDeadlineMs,
    });
    return undefined;
  }

  #refuseAttempt(
    command: { readonly jobId: string; readonly attempt: number },
  ): Refused {
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

  #dropEarlierReservations(command: CommandOf<"reserve">): void {
    for (const held of [...this.#attempts.values()]) {
      if (held.jobId === command.jobId && held.isReserved) {
        this.#drop(held);
      }
    }
  }

  #hold(command: CommandOf<"reserve">): void {
    const { jobId, attempt, resources } = command;
    const tasks = command.taskIndexes.map((taskIndex) =>
      new PretendTask({
        clock: this.#options.clock,
        jobId,
        attempt,
        taskIndex,
        resources,
        command: command.command,
        onEnd: (task) => this.#tellEnd(task),
      })
    );
    const held = new HeldAttempt({
      clock: this.#options.clock,
      jobId,
      attempt,
      term: command.fence.term,
      tasks,
      onReservationEnd: () => this.#drop(held),
    });
    this.#attempts.set(key(command), held);
    held.extend(command.reservationEndMs);
  }

  #drop(held: HeldAttempt): void {
    held.close();
    this.#attempts.delete(key(held));
  }

  #extendLease(held: HeldAttempt, leaseEndMs: number): void {
    held.extend(this.#omits("lease") ? Number.MAX_SAFE_INTEGER : leaseEndMs);
  }

  #hasRoom(command: CommandOf<"reserve">): boolean {
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
      workerClockMs: this.#nextStampMs(),
      highestTerm: this.#highestTerm,
      isLeaving: this.#isLeaving,
      tasks: [...this.#attempts.values()]
        .flatMap((held) => held.tasks.map((task) => task.held())),
    };
  }

  /** The clock, such that no two holdings carry the same moment. */
  #nextStampMs(): number {
    const nowMs = this.#options.clock.nowMs();
    this.#lastStampMs = Math.max(nowMs, this.#lastStampMs + STAMP_STEP_MS);
    return this.#lastStampMs;
  }

  #laggingUsages(): WorkerReport["usages"] {
    const usages = [...this.#attempts.values()]
      .flatMap((held) => held.tasks)
      .filter((task) => task.state === "running")
      .map((task) => task.usage(this.#faults.sizeFactor));
    return this.#usages.show(usages);
  }

  #tellEnd(task: PretendTask): void {
    const outcome = task.held().outcome ?? "lost";
    this.#tell(task, { kind: "ended", outcome });
  }

  #tell(
    task: PretendTask,
    what:
      | { kind: "started"; term: number }
      | { kind: "ended"; outcome: TaskOutcome },
  ): void {
    const { jobId, attempt, taskIndex } = task.held();
    const { workerId } = this.#options;
    this.#options.onTaskEvent?.({
      workerId,
      jobId,
      attempt,
      taskIndex,
      ...what,
    });
  }

  #omits(fence: OmittedFence): boolean {
    return this.#options.omittedFences?.includes(fence) ?? false;
  }
}

/** Whether all of it together is within the capacity. */
function fits(
  takers: readonly TaskResources[],
  capacity: WorkerCapacity,
): boolean {
  const isWithin = (of: keyof TaskResources) =>
    takers.reduce((sum, each) => sum + each[of], 0) <= capacity[of];
  return isWithin("cores") && isWithin("memoryBytes") &&
    isWithin("accelerators");
}

function key(
  reference: { readonly jobId: string; readonly attempt: number },
): string {
  return `${reference.jobId}/${reference.attempt}`;
}
