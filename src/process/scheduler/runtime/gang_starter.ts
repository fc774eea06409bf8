/**
 * Starts one attempt in three steps: reserve on every worker, commit the
 * intent to the log, start on every worker.
 *
 * @module
 */

import type { WorkerId } from "../../../base/identity.ts";
import type { StartGang } from "../core/scheduler_decision.ts";
import type { Gang } from "./gang.ts";
import type { SessionContext } from "./session_context.ts";
import type { WorkerCallOptions } from "./worker_caller.ts";

/** The outcome of a start. */
export type StartOutcome =
  | { readonly kind: "started" }
  /** Reservations and started tasks must be released. */
  | {
    readonly kind: "failed";
    /** The workers that refused or did not answer. */
    readonly workerIds: readonly WorkerId[];
    readonly detail: string;
  };

const STARTED: StartOutcome = { kind: "started" };

/** Starts attempts. */
export class GangStarter {
  readonly #context: SessionContext;

  constructor(context: SessionContext) {
    this.#context = context;
  }

  /** Starts every task, or returns why the start failed. */
  async start(
    gang: Gang,
    options: { decision: StartGang; command: readonly string[] },
  ): Promise<StartOutcome> {
    const { clock, startPermission, lease } = this.#context;
    const beganAtMs = clock.nowMs();
    if (startPermission.permittedUntilMs() <= beganAtMs) {
      return failed("no permission to start");
    }
    const failedWorkerIds = await this.#reserveAll(gang, options);
    if (failedWorkerIds.length > 0) {
      return failed("not every worker reserved", failedWorkerIds);
    }
    if (!this.#context.omits("intentFirst")) {
      const isIntended = await this.#commitIntent(gang, options.decision);
      if (!isIntended) {
        return failed("the intent was not committed");
      }
    }
    if (gang.phase !== "starting") {
      return failed("a stop was asked for");
    }
    return await this.#startAll(gang, beganAtMs + lease.leaseMs);
  }

  #reserveAll(
    gang: Gang,
    options: { decision: StartGang; command: readonly string[] },
  ): Promise<WorkerId[]> {
    const { clock, lease } = this.#context;
    const { jobId, attempt } = gang;
    const { resources } = options.decision;
    const reservationEndMs = clock.nowMs() + lease.reservationMs;
    return this.#callAll(gang, (workerId) => ({
      buildCommand: (toWorkerMs) => ({
        kind: "reserve",
        jobId,
        attempt,
        resources,
        taskIndexes: [...gang.taskIndexes(workerId)],
        command: [...options.command],
        reservationEndMs: toWorkerMs(reservationEndMs),
      }),
    }));
  }

  async #commitIntent(gang: Gang, decision: StartGang): Promise<boolean> {
    const { jobId, attempt } = gang;
    const outcome = await this.#context.writer.write({
      kind: "attemptIntended",
      jobId,
      attempt,
      placements: [...decision.placements],
      resources: decision.resources,
      configurationVersion: decision.configurationVersion,
    });
    if (outcome?.kind === "applied") {
      return true;
    }
    // An earlier proposal may have been committed although its answer was lost.
    const open = this.#context.openAttempt(jobId);
    return outcome !== undefined && open?.attempt === attempt &&
      open.term === this.#context.term;
  }

  async #startAll(gang: Gang, leaseEndMs: number): Promise<StartOutcome> {
    const { clock, startPermission } = this.#context;
    const permittedUntilMs = startPermission.permittedUntilMs();
    const isPermitted = permittedUntilMs > clock.nowMs();
    if (!isPermitted && !this.#context.omits("secondGate")) {
      return failed("no permission to start");
    }
    const { jobId, attempt } = gang;
    const isChecked = !this.#context.omits("startValidity");
    const failedWorkerIds = await this.#callAll(gang, (workerId) => {
      gang.grant(workerId, leaseEndMs);
      return {
        ...(isChecked ? { validUntilMs: permittedUntilMs } : {}),
        buildCommand: (toWorkerMs) => ({
          kind: "start",
          jobId,
          attempt,
          leaseEndMs: toWorkerMs(leaseEndMs),
        }),
      };
    });
    return failedWorkerIds.length === 0
      ? STARTED
      : failed("not every worker started", failedWorkerIds);
  }

  /** Calls every worker; returns those that refused or did not answer. */
  async #callAll(
    gang: Gang,
    options: (workerId: WorkerId) => WorkerCallOptions,
  ): Promise<WorkerId[]> {
    const { caller } = this.#context;
    const failedWorkerIds: WorkerId[] = [];
    const calls = gang.workerIds.map(async (workerId) => {
      const result = await caller.call(workerId, options(workerId));
      const answered = result.toMaybe().extract();
      if (answered === undefined || answered.answer.refusal !== undefined) {
        failedWorkerIds.push(workerId);
        return;
      }
      gang.confirm(workerId, answered.sentAtMs);
    });
    await Promise.all(calls);
    return failedWorkerIds;
  }
}

function failed(
  detail: string,
  workerIds: readonly WorkerId[] = [],
): StartOutcome {
  return { kind: "failed", workerIds, detail };
}
