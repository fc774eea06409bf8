/**
 * The orders of a leader to workers: starts, stops, and the stops that keep a
 * late order from being carried out.
 *
 * @module
 */

import type { SesameError } from "../../../base/sesame_error.ts";
import { idOfLife, type TaskRef, type WorkerKey } from "../batch_command.ts";
import type { StepSpec } from "../job_spec.ts";
import type { StartAnswer } from "../worker_calls.ts";
import { LateOrders } from "./late_orders.ts";
import { type OpenRunState, type RunTable, taskKey } from "./run_table.ts";
import type { LeaderContext } from "./leader_context.ts";
import type { WorkerLink } from "./worker_link.ts";

/** What the orders are made from. */
export interface RunOrdersOptions extends LeaderContext {
  readonly runs: RunTable;
  readonly linkOf: (key: WorkerKey) => WorkerLink | undefined;
  readonly mayLead: () => boolean;
}

/** Sends orders, and remembers those that may be carried out late. */
export class RunOrders {
  readonly #options: RunOrdersOptions;
  readonly #late = new LateOrders();

  constructor(options: RunOrdersOptions) {
    this.#options = options;
  }

  /** What the worker said to a start; undefined without an answer. */
  async start(
    run: OpenRunState,
    options: { link: WorkerLink; leaseEndMs: number },
  ): Promise<StartAnswer | undefined> {
    const { clock, calls, timing, epoch, state } = this.#options;
    const { link, leaseEndMs } = options;
    const { task } = run;
    const job = state.jobs.get(task.jobId)!;
    run.callsOpen += 1;
    run.startsSent += 1;
    const result = await calls.start(link.worker, {
      task,
      run: run.run,
      payload: job.spec.payload,
      leaseEndMs,
      epoch,
      checkpoint: this.#checkpointOf(run, job.spec.steps[task.step]!),
    }, { timeoutMs: timing.orderTimeoutMs });
    run.callsOpen -= 1;
    run.nextCallAtMs = clock.nowMs() + timing.orderRetryMs;
    return result.caseOf<StartAnswer | undefined>({
      Left: (error) => {
        run.hasUnansweredStart = true;
        this.#late.add(idOfLife(run.holder), run, clock.nowMs());
        this.#noteNoAnswer(run, "start", error.kind);
        return undefined;
      },
      Right: (answer) => answer,
    });
  }

  /** Notes on the run when its worker took the stop. */
  async stop(run: OpenRunState, link: WorkerLink): Promise<void> {
    const { clock, calls, timing, epoch } = this.#options;
    run.callsOpen += 1;
    const order = { task: run.task, run: run.run, epoch };
    const result = await calls.stop(link.worker, order, {
      timeoutMs: timing.orderTimeoutMs,
    });
    run.callsOpen -= 1;
    run.nextCallAtMs = clock.nowMs() + timing.orderRetryMs;
    result.caseOf({
      Left: (error) => this.#noteNoAnswer(run, "stop", error.kind),
      Right: () => {
        run.stoppedAtMs = clock.nowMs();
        link.wake();
      },
    });
  }

  /** Bars what was ordered from an earlier life of the worker. */
  barLate(key: WorkerKey): void {
    const { clock, runs } = this.#options;
    for (const { task, run } of this.#late.of(idOfLife(key), clock.nowMs())) {
      const open = runs.get(task);
      const isOpenHere = open?.run === run && open.holder === key;
      if (!isOpenHere) {
        void this.bar(key, task, run);
      }
    }
  }

  /** Stops what was given up; an order may be carried out late. */
  async bar(
    key: WorkerKey,
    task: TaskRef,
    run: number,
  ): Promise<void> {
    const { events } = this.#options;
    const fields = { jobId: task.jobId, task: taskKey(task), run, worker: key };
    events.emit("taskStoppedUnknown", fields);
    for (let tries = 0; tries < BAR_TRIES; tries++) {
      const error = await this.#tryStop(key, { task, run });
      if (error === undefined) {
        return;
      }
      events.emit("taskOrderUnanswered", {
        ...fields,
        order: "stop",
        detail: error.kind,
      });
    }
  }

  /** Nothing where the worker took the stop, or nothing is left to stop. */
  async #tryStop(
    key: WorkerKey,
    order: { task: TaskRef; run: number },
  ): Promise<SesameError | undefined> {
    const { calls, timing, epoch, linkOf, mayLead } = this.#options;
    const link = linkOf(key);
    if (link === undefined || !mayLead()) {
      return undefined;
    }
    const result = await calls.stop(link.worker, { ...order, epoch }, {
      timeoutMs: timing.orderTimeoutMs,
    });
    return result.caseOf<SesameError | undefined>({
      Left: (error) => error,
      Right: () => undefined,
    });
  }

  /** All members of a gang resume from the same checkpoint. */
  #checkpointOf(run: OpenRunState, spec: StepSpec): string {
    const { task } = run;
    const tasks = this.#options.state.jobs.get(task.jobId)
      ?.occurrences[task.occurrence]?.steps[task.step]?.tasks ?? [];
    if (!spec.isCheckpointing) {
      return "";
    }
    return spec.isGang
      ? tasks.map(({ checkpoint }) => checkpoint).find((text) => text !== "") ??
        ""
      : tasks[task.index]?.checkpoint ?? "";
  }

  #noteNoAnswer(run: OpenRunState, order: string, detail: string): void {
    this.#options.events.emit("taskOrderUnanswered", {
      jobId: run.task.jobId,
      task: taskKey(run.task),
      run: run.run,
      worker: run.worker,
      order,
      detail,
    });
  }
}

/** How often a stop without an answer is sent again: over two seconds. */
const BAR_TRIES = 6;
