/**
 * Handles calls of callers and workers on the leader.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { JobId } from "../../../base/identity.ts";
import {
  type BatchItem,
  isSameWorkerRecord,
  type WorkerRecord,
} from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import {
  type CallTarget,
  type JobAnswer,
  type JobCall,
  RefusalReason,
} from "../job_call.ts";
import { JobPhase, type JobRecord } from "../job_record.ts";
import { findSpecFault, JOB_ID_LENGTH_LIMIT } from "../job_spec.ts";
import type {
  AccountConfiguration,
  QueueConfiguration,
} from "../pool_configuration.ts";
import type { DelayCostListener } from "./delay_decision.ts";
import { JobAdmission } from "./job_admission.ts";
import type { LeaderSession } from "./leader_session.ts";
import { DepartureStatus } from "./worker_departures.ts";

/** Options of {@link CallHandler}. */
export interface CallHandlerOptions {
  readonly session: LeaderSession;
  readonly state: BatchState;
  readonly clock: Clock;
  readonly events: EventLog;
  /** Called with the cost of each refusal. */
  readonly onDelayCost?: DelayCostListener;
}

/** The queue and the client account of a call. */
interface CallScope {
  readonly queue: QueueConfiguration;
  readonly account: AccountConfiguration | undefined;
}

/** Maximum number of tombstones; limits memory. */
const TOMBSTONES_LIMIT = 20_000;

/** Retry time while there are too many: some of them are removed by then. */
const TOMBSTONES_RETRY_S = 5;

type CallOf<Kind extends JobCall["kind"]> = Extract<JobCall, { kind: Kind }>;

/** Handles calls during one leader's session. */
export class CallHandler {
  readonly #options: CallHandlerOptions;
  readonly #sequences = new Map<string, number>();
  /** The answers to changes that are being committed, by {@link changeKey}. */
  readonly #changes = new Map<string, Promise<JobAnswer>>();

  readonly #admission: JobAdmission;

  constructor(options: CallHandlerOptions) {
    this.#options = options;
    this.#admission = new JobAdmission(options);
  }

  /** `caller` is aborted once nobody waits for the answer any more. */
  async answer(
    call: Exclude<JobCall, { kind: "ping" }>,
    caller: AbortSignal = NEVER_ABORTED,
  ): Promise<JobAnswer> {
    switch (call.kind) {
      case "workerSeen":
        return await this.#recordWorker(call);
      case "workerLeaves":
        return await this.#removeWorker(call.workerId);
      case "submit":
      case "state":
      case "cancel":
      case "pending":
        return await this.#answerCaller(call, caller);
    }
  }

  async #answerCaller(
    call: CallOf<"submit" | "state" | "cancel" | "pending">,
    caller: AbortSignal,
  ): Promise<JobAnswer> {
    if (call.kind === "submit") {
      return await this.#submit(call, caller);
    }
    if (call.kind === "cancel") {
      return await this.#cancel(call);
    }
    const scope = this.#scopeOf(call.target);
    if ("kind" in scope) {
      return scope;
    }
    switch (call.kind) {
      case "state":
        return this.#stateOf(call.jobId);
      case "pending":
        return isPathOf(scope.queue, call.target.path)
          ? this.#countPending(scope.queue)
          : { kind: "unknownJob" };
    }
  }

  #scopeOf({ host, path, apiKey }: CallTarget): CallScope | JobAnswer {
    const index = this.#options.state.inForce?.index;
    if (index === undefined) {
      // Nothing is configured yet: makes the receiving instance retry.
      return { kind: "notLeader", leaderId: undefined, memberIds: [] };
    }
    const queue = index.queueAt(host, path);
    if (queue === undefined) {
      return { kind: "unknownQueue" };
    }
    const account = apiKey === undefined
      ? undefined
      : index.accountWithKey(apiKey);
    return account === undefined && !queue.isPublic
      ? { kind: "unauthenticated" }
      : { queue, account };
  }

  /**
   * Decides on a job and stores it. A configuration that comes into force
   * meanwhile may drop its queue or its key: then the decision is made again.
   */
  async #submit(
    call: CallOf<"submit">,
    caller: AbortSignal,
  ): Promise<JobAnswer> {
    const { state, events } = this.#options;
    const { jobId } = call;
    for (;;) {
      if (caller.aborted) {
        events.emit("batchSubmissionAbandoned", { jobId });
        return { kind: "unknown" };
      }
      const scope = this.#scopeOf(call.target);
      if ("kind" in scope) {
        return scope;
      }
      if (state.jobs.has(jobId)) {
        return { kind: "accepted" };
      }
      const pending = this.#changes.get(changeKey({ kind: "accept", jobId }));
      if (pending !== undefined) {
        const answer = await pending;
        if (answer.kind !== "accepted") {
          return answer;
        }
        continue;
      }
      const { inForce } = state;
      const answer = await this.#decide(call, scope, caller);
      if (answer.kind !== "accepted" || state.jobs.has(jobId)) {
        return answer;
      }
      if (state.inForce === inForce && !caller.aborted) {
        return { kind: "invalid", detail: "the job is too large to be stored" };
      }
    }
  }

  async #decide(
    call: CallOf<"submit">,
    { queue, account }: CallScope,
    caller: AbortSignal,
  ): Promise<JobAnswer> {
    const { state } = this.#options;
    const { jobId, spec } = call;
    const fault = jobId.length > JOB_ID_LENGTH_LIMIT
      ? `the ID is longer than ${JOB_ID_LENGTH_LIMIT}`
      : findSpecFault(spec);
    if (fault !== undefined) {
      return { kind: "invalid", detail: fault };
    }
    const refusal = this.#admission.refuse({ jobId, queue, account, spec });
    if (refusal !== undefined) {
      return refusal;
    }
    return await this.#commitOnce(
      {
        kind: "accept",
        jobId,
        queue: queue.name,
        account: account?.name,
        spec,
        version: state.inForce!.index.configuration.version,
        submittedAtMs: Math.floor(call.receivedAtMs),
      },
      "accepted",
      caller,
    );
  }

  #stateOf(jobId: string): JobAnswer {
    const job = this.#options.state.jobs.get(jobId);
    if (job === undefined) {
      return { kind: "unknownJob" };
    }
    const isQueued = job.phase === JobPhase.active && !job.hasStarted;
    return { kind: "state", phase: isQueued ? "queued" : job.phase };
  }

  async #cancel(call: CallOf<"cancel">): Promise<JobAnswer> {
    const { clock, events } = this.#options;
    const { jobId } = call;
    const receivedAtMs = clock.nowMs();
    const answer = await this.#commitCancel(call);
    events.emit("batchCancelHandled", {
      jobId,
      answer: answer.kind,
      tookMs: Math.round(clock.nowMs() - receivedAtMs),
    });
    return answer;
  }

  /**
   * Cancels a job. One that isn't known may be on its way, or about to be stored:
   * a tombstone keeps it from running then, and outlives this leader. Decided on
   * again like a submission if another configuration comes into force meanwhile.
   */
  async #commitCancel(
    { target, jobId }: CallOf<"cancel">,
  ): Promise<JobAnswer> {
    const { state } = this.#options;
    const { tombstones } = state;
    for (;;) {
      const scope = this.#scopeOf(target);
      if ("kind" in scope) {
        return scope;
      }
      const known = this.#cancelledAnswer(jobId);
      if (known !== undefined) {
        return known;
      }
      if (jobId.length > JOB_ID_LENGTH_LIMIT) {
        return { kind: "unknownJob" };
      }
      if (!state.jobs.has(jobId) && tombstones.size >= TOMBSTONES_LIMIT) {
        return {
          kind: "refused",
          reason: RefusalReason.queueFull,
          retryAfterS: TOMBSTONES_RETRY_S,
        };
      }
      const { inForce } = state;
      const version = inForce!.index.configuration.version;
      const item = { kind: "cancel", jobId, version } as const;
      const pending = this.#changes.get(changeKey(item));
      const answer = await (pending ?? this.#commitOnce(item, "cancelled"));
      if (answer.kind === "unknown") {
        return answer;
      }
      const isUndecided = this.#cancelledAnswer(jobId) === undefined;
      if (isUndecided && pending === undefined && state.inForce === inForce) {
        return { kind: "unknown" };
      }
    }
  }

  /** The answer to a cancel that has nothing left to do; undefined if it has. */
  #cancelledAnswer(jobId: JobId): JobAnswer | undefined {
    const { jobs, tombstones } = this.#options.state;
    const phase = jobs.get(jobId)?.phase;
    if (phase !== undefined && phase !== JobPhase.active) {
      // A job that was over already counts as cancelled.
      return { kind: "cancelled" };
    }
    return tombstones.has(jobId) ? { kind: "unknownJob" } : undefined;
  }

  /**
   * Commits a change of a job, or waits for the same change that is being
   * committed: callers send a call again that isn't answered in time.
   */
  async #commitOnce(
    item: Extract<BatchItem, { kind: "accept" | "cancel" }>,
    answerKind: "accepted" | "cancelled",
    caller?: AbortSignal,
  ): Promise<JobAnswer> {
    const key = changeKey(item);
    const committed = this.#options.session.write(item, caller).then(
      (applied): JobAnswer => ({
        kind: applied === undefined ? "unknown" : answerKind,
      }),
    );
    this.#changes.set(key, committed);
    try {
      return await committed;
    } finally {
      this.#changes.delete(key);
    }
  }

  #countPending(queue: QueueConfiguration): JobAnswer {
    let jobs = 0;
    for (const job of this.#options.state.liveJobs.values()) {
      if (job.queue === queue.name && isPending(job)) {
        jobs += 1;
      }
    }
    return { kind: "pending", jobs };
  }

  async #recordWorker(call: CallOf<"workerSeen">): Promise<JobAnswer> {
    const { session, state } = this.#options;
    const { worker, sequence } = call;
    const noted: JobAnswer = { kind: "noted" };
    const known = state.workers.get(worker.key);
    const configured = state.inForce?.index.configuration.services;
    if (configured === undefined) {
      return { kind: "unknown" };
    }
    // A service that a configuration has dropped keeps its workers until they end.
    const isKnownService = known?.service === worker.service ||
      configured.some(({ name }) => name === worker.service);
    if (!isKnownService) {
      return { kind: "invalid", detail: `unknown service ${worker.service}` };
    }
    // An incarnation that drains never stops doing so: an announcement that it
    // doesn't drain is out of date. A new leader has no sequence numbers yet
    // that could show this.
    const isBeforeDrain = known?.isDraining === true && !worker.isDraining;
    const isOutdated = isBeforeDrain || session.isRefuted(worker) ||
      sequence < (this.#sequences.get(worker.key) ?? -1);
    if (isOutdated) {
      return noted;
    }
    this.#sequences.set(worker.key, sequence);
    this.#admission.observeWorker(worker);
    // Others with its ID or at its address stay until one of them has proven to
    // be over. Of those with one start at one address only one can be kept.
    for (const other of this.#indistinguishableFrom(worker)) {
      this.#sequences.delete(other.key);
      void session.write({ kind: "workerGone", key: other.key });
    }
    if (known === undefined || !isSameWorkerRecord(known, worker)) {
      const applied = await session.write({ kind: "worker", worker });
      if (applied === undefined) {
        return { kind: "unknown" };
      }
    }
    return noted;
  }

  #indistinguishableFrom(worker: WorkerRecord): WorkerRecord[] {
    return this.#options.state.conflictingWorkers(worker).filter((other) =>
      other.address === worker.address && other.bornMs === worker.bornMs
    );
  }

  /**
   * Lets the incarnations of a worker that leave go. The call names none, and it
   * may come late, once the next one runs tasks: workers drain before they
   * leave, so one that doesn't drain isn't meant.
   */
  async #removeWorker(workerId: string): Promise<JobAnswer> {
    const { state, session } = this.#options;
    for (const worker of [...state.workers.values()]) {
      if (worker.id === workerId && worker.isDraining) {
        // Without an acknowledgement the worker reports again before it ends.
        const status = await session.releaseWorker(worker.key);
        if (status !== DepartureStatus.released) {
          return { kind: "unknown" };
        }
      }
    }
    return { kind: "noted" };
  }
}

const NEVER_ABORTED = new AbortController().signal;

function changeKey(
  { kind, jobId }: { kind: "accept" | "cancel"; jobId: JobId },
): string {
  return `${kind} ${jobId}`;
}

/** Whether a path is that of the queue itself, not of something in it. */
function isPathOf({ prefix }: QueueConfiguration, path: string): boolean {
  const withoutSlash = (text: string) => text.replace(/\/$/, "");
  return withoutSlash(path) === withoutSlash(prefix);
}

function isPending(job: JobRecord): boolean {
  return job.phase === JobPhase.active && !job.hasStarted;
}
