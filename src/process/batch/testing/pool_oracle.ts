/**
 * Judges what happens on the workers of a fake pool.
 *
 * @module
 */

import { RunEnd, type TaskRef } from "../batch_command.ts";
import type { JobSpec } from "../job_spec.ts";
import { taskKey } from "../leader/run_table.ts";
import type { FakeWorker } from "./fake_worker.ts";

/** What an oracle is made from. */
export interface PoolOracleOptions {
  readonly specOf: (jobId: string) => JobSpec | undefined;
  readonly attempts: number;
}

/** Remembers what was done and noted, and finds what must never happen. */
export class PoolOracle {
  readonly violations: string[] = [];
  readonly #options: PoolOracleOptions;
  readonly #doneTasks = new Set<string>();
  readonly #notedDone = new Set<string>();
  readonly #notedFailures = new Map<string, number>();

  constructor(options: PoolOracleOptions) {
    this.#options = options;
  }

  isDone(task: TaskRef): boolean {
    return this.#doneTasks.has(taskKey(task));
  }

  noteDone(task: TaskRef): void {
    this.#doneTasks.add(taskKey(task));
  }

  /** An end was noted while the lease that it ended under still ran. */
  noteEnd(task: TaskRef, how: RunEnd): void {
    const name = taskKey(task);
    if (how === RunEnd.done) {
      this.#notedDone.add(name);
    }
    if (how === RunEnd.failed) {
      const failures = this.#notedFailures.get(name) ?? 0;
      this.#notedFailures.set(name, failures + 1);
    }
  }

  /** A worker begins a run. */
  judgeStart(
    workerId: string,
    task: TaskRef,
    workers: Iterable<FakeWorker>,
  ): void {
    const name = taskKey(task);
    for (const other of workers) {
      if (other.running.has(name)) {
        this.violations.push(
          `${name} starts on ${workerId} while it runs on ${other.id}`,
        );
      }
    }
    if (this.#notedDone.has(name)) {
      this.violations.push(`${name} starts after its end was noted`);
    }
    if ((this.#notedFailures.get(name) ?? 0) >= this.#options.attempts) {
      this.violations.push(`${name} starts beyond its attempts`);
    }
    this.#judgeOrder(task);
  }

  /** A run resumes only from what its own task, or its gang, saved. */
  judgeCheckpoint(
    task: TaskRef,
    { checkpoint, owner }: { checkpoint: string; owner: string },
  ): void {
    if (checkpoint !== "" && !checkpoint.startsWith(owner)) {
      this.violations.push(`${taskKey(task)} resumes from ${checkpoint}`);
    }
  }

  #judgeOrder(task: TaskRef): void {
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
