/**
 * Checks the invariants of runs on the workers of a fake pool.
 *
 * @module
 */

import { RunEnd, type TaskRef } from "../batch_command.ts";
import type { JobSpec } from "../job_spec.ts";
import { taskKey } from "../leader/run_table.ts";
import type { FakeWorker } from "./fake_worker.ts";

/** Options of {@link PoolOracle}. */
export interface PoolOracleOptions {
  readonly specOf: (jobId: string) => JobSpec | undefined;
  readonly attempts: number;
}

/** Records which tasks are done and which ends are stored; finds violations. */
export class PoolOracle {
  readonly violations: string[] = [];
  readonly #options: PoolOracleOptions;
  /** Tasks that were done on a worker, whether the leader knows it or not. */
  readonly #doneTasks = new Set<string>();
  /** Done tasks whose end the leader acknowledged as stored. */
  readonly #acknowledgedDone = new Set<string>();
  readonly #acknowledgedFailures = new Map<string, number>();

  constructor(options: PoolOracleOptions) {
    this.#options = options;
  }

  isDone(task: TaskRef): boolean {
    return this.#doneTasks.has(taskKey(task));
  }

  recordDone(task: TaskRef): void {
    this.#doneTasks.add(taskKey(task));
  }

  /**
   * Records an end that the leader acknowledged while the lease under which the
   * run ended was still valid.
   */
  recordAcknowledgedEnd(task: TaskRef, how: RunEnd): void {
    const key = taskKey(task);
    if (how === RunEnd.done) {
      this.#acknowledgedDone.add(key);
    }
    if (how === RunEnd.failed) {
      const failures = this.#acknowledgedFailures.get(key) ?? 0;
      this.#acknowledgedFailures.set(key, failures + 1);
    }
  }

  /** Checks that a worker may begin a run of the task. */
  checkStart(
    workerId: string,
    task: TaskRef,
    workers: Iterable<FakeWorker>,
  ): void {
    const key = taskKey(task);
    for (const other of workers) {
      if (other.running.has(key)) {
        this.violations.push(
          `${key} starts on ${workerId} while it runs on ${other.id}`,
        );
      }
    }
    if (this.#acknowledgedDone.has(key)) {
      this.violations.push(`${key} starts after its end was acknowledged`);
    }
    if ((this.#acknowledgedFailures.get(key) ?? 0) >= this.#options.attempts) {
      this.violations.push(`${key} starts after its last attempt`);
    }
    this.#checkStepOrder(task);
  }

  /** Checks that a run resumes from a checkpoint of its own task or gang. */
  checkCheckpoint(
    task: TaskRef,
    { checkpoint, owner }: { checkpoint: string; owner: string },
  ): void {
    if (checkpoint !== "" && !checkpoint.startsWith(owner)) {
      this.violations.push(
        `${taskKey(task)} resumes from ${checkpoint}, which isn't its own`,
      );
    }
  }

  #checkStepOrder(task: TaskRef): void {
    const { steps } = this.#options.specOf(task.jobId)!;
    for (const after of steps[task.step]!.afterSteps) {
      for (let index = 0; index < steps[after]!.taskCount; index++) {
        if (!this.isDone({ ...task, step: after, index })) {
          this.violations.push(
            `${taskKey(task)} starts before step ${after} is done`,
          );
        }
      }
    }
  }
}
