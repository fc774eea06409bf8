/**
 * Sends a leader's orders to workers: starts, stops, and stops that revoke
 * starts which may still arrive.
 *
 * @module
 */

import type { SesameError } from "../../../base/sesame_error.ts";
import { type TaskRef, workerIdOf, type WorkerKey } from "../batch_command.ts";
import type { StepSpec } from "../job_spec.ts";
import type { StartAnswer } from "../worker_calls.ts";
import { UnansweredStarts } from "./unanswered_starts.ts";
import {
  type OpenRunState,
  runKey,
  type RunTable,
  taskKey,
} from "./run_table.ts";
import type { LeaderContext } from "./leader_context.ts";
import type { WorkerLink } from "./worker_link.ts";

/** Options of {@link RunOrders}. */
export interface RunOrdersOptions extends LeaderContext {
  readonly runs: RunTable;
  readonly linkOf: (key: WorkerKey) => WorkerLink | undefined;
  readonly mayLead: () => boolean;
}

/** Sends orders, and keeps the starts that got no answer. */
export class RunOrders {
  readonly #options: RunOrdersOptions;
  readonly #unanswered = new UnansweredStarts();
  /** The runs that are being revoked on each worker. */
  readonly #revoking = new Map<WorkerKey, Set<string>>();

  constructor(options: RunOrdersOptions) {
    this.#options = options;
  }

  /** Sends a start; returns the worker's answer, or undefined for none. */
  async start(
    run: OpenRunState,
    options: { link: WorkerLink; leaseEndMs: number },
  ): Promise<StartAnswer | undefined> {
    const { clock, calls, timing, state } = this.#options;
    const { link, leaseEndMs } = options;
    const { task } = run;
    const { fence } = link;
    const job = state.jobs.get(task.jobId)!;
    const clockBoundMs = link.clockBoundMs();
    run.pendingOrders += 1;
    run.startsSent += 1;
    const result = await calls.start(link.worker, {
      task,
      run: run.run,
      payload: job.spec.payload,
      leaseEndMs,
      fence,
      checkpoint: this.#checkpointOf(run, job.spec.steps[task.step]!),
    }, { timeoutMs: timing.orderTimeoutMs });
    run.pendingOrders -= 1;
    run.nextCallAtMs = clock.nowMs() + timing.orderRetryDelayMs;
    return result.caseOf<StartAnswer | undefined>({
      Left: (error) => {
        if (error.kind === "unavailable") {
          // Nothing listened there: this start can't be carried out.
          this.#logNoAnswer(run, "start", error.kind);
          return undefined;
        }
        return this.#keepUnanswered(run, error.kind);
      },
      Right: (answer) => {
        if (isOfEarlierClock(answer, clockBoundMs)) {
          return this.#keepUnanswered(run, "otherIncarnation");
        }
        link.recordAnswer({ clockMs: answer.clockMs, fence });
        return answer;
      },
    });
  }

  /** The start may be carried out, perhaps by the worker's next incarnation. */
  #keepUnanswered(run: OpenRunState, detail: string): undefined {
    run.lateStartUntilMs = this.#unanswered.add(
      workerIdOf(run.holder),
      run,
      this.#options.clock.steadyMs(),
    );
    this.#logNoAnswer(run, "start", detail);
  }

  /** Sends a stop, and records on the run when the worker acknowledged it. */
  async stop(run: OpenRunState, link: WorkerLink): Promise<void> {
    const { clock, calls, timing } = this.#options;
    run.pendingOrders += 1;
    const order = { task: run.task, run: run.run, fence: link.fence };
    const result = await calls.stop(link.worker, order, {
      timeoutMs: timing.orderTimeoutMs,
    });
    run.pendingOrders -= 1;
    run.nextCallAtMs = clock.nowMs() + timing.orderRetryDelayMs;
    result.caseOf({
      Left: (error) => this.#logNoAnswer(run, "stop", error.kind),
      Right: () => {
        // A worker that has seen the raised fence acknowledges a stop with a
        // lower one without carrying it out.
        if (link.fence === order.fence) {
          run.stoppedAtMs = clock.nowMs();
          link.wake();
        }
      },
    });
  }

  /**
   * Revokes a worker's unanswered starts, except of runs open on `key`. Until
   * that one has answered, also except of those open on the one before, which
   * the call may reach.
   */
  revokeUnanswered(key: WorkerKey, options: { hasAnswered: boolean }): void {
    const { clock, runs } = this.#options;
    for (
      const { task, run } of this.#unanswered.of(
        workerIdOf(key),
        clock.steadyMs(),
      )
    ) {
      const open = runs.get(task);
      const isOpen = open?.run === run &&
        (open.holder === key || !options.hasAnswered);
      if (!isOpen) {
        void this.revoke(key, task, run);
      }
    }
  }

  /**
   * Revokes a run that a report lists, unless that goes on already, or too many
   * others are being revoked there: the next report lists it again.
   */
  async revokeListed(
    key: WorkerKey,
    task: TaskRef,
    run: number,
  ): Promise<void> {
    const revoking = this.#revoking.get(key) ?? new Set();
    const name = runKey(task, run);
    if (revoking.has(name) || revoking.size >= REVOCATIONS_LIMIT) {
      return;
    }
    this.#revoking.set(key, revoking.add(name));
    await this.revoke(key, task, run);
    revoking.delete(name);
    if (revoking.size === 0) {
      this.#revoking.delete(key);
    }
  }

  /**
   * Stops a run that isn't open on this worker. The worker then refuses a start
   * of the run that arrives later.
   */
  async revoke(
    key: WorkerKey,
    task: TaskRef,
    run: number,
  ): Promise<void> {
    const { events } = this.#options;
    const fields = { jobId: task.jobId, task: taskKey(task), run, worker: key };
    events.emit("taskStoppedUnknown", fields);
    for (let attempt = 0; attempt < REVOKE_ATTEMPTS_LIMIT; attempt++) {
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

  /** Sends a stop; undefined if it was acknowledged, or none can be sent. */
  async #tryStop(
    key: WorkerKey,
    order: { task: TaskRef; run: number },
  ): Promise<SesameError | undefined> {
    const { calls, timing, linkOf, mayLead } = this.#options;
    const link = linkOf(key);
    if (link === undefined || !mayLead()) {
      return undefined;
    }
    const result = await calls.stop(link.worker, {
      ...order,
      fence: link.fence,
    }, {
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

  #logNoAnswer(run: OpenRunState, order: string, detail: string): void {
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

/** Clocks are reported in whole milliseconds. */
const CLOCK_RESOLUTION_MS = 1;

/**
 * Whether the answer's clock is behind the bound for the worker when the order
 * was sent: the next incarnation of the worker, whose clock began anew, gave it.
 */
function isOfEarlierClock({ clockMs }: StartAnswer, boundMs: number): boolean {
  return clockMs !== undefined && clockMs < boundMs - CLOCK_RESOLUTION_MS;
}

/** Maximum number of times a revocation is sent: 2.4 s without an answer. */
const REVOKE_ATTEMPTS_LIMIT = 6;

/** Maximum number of listed runs that are revoked on one worker at once. */
const REVOCATIONS_LIMIT = 24;
