/**
 * Decides on submitted jobs during one leader's session: remembers whom it has
 * refused and which workers it has seen, logs refusals and counts their cost.
 * Nothing of it is replicated, and a refusal stores nothing: it stays valid if
 * the leader is lost before its answer arrives.
 *
 * @module
 */

import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import type { JobId, ServiceId } from "../../../base/identity.ts";
import type { WorkerRecord } from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import {
  type ActiveLoad,
  activeLoad,
  type Admission,
  type AdmissionOptions,
  decideAdmission,
} from "../decisions/admission.ts";
import {
  activeCostRates,
  admissionShare,
  type Candidate,
} from "../decisions/admission_share.ts";
import { type Backlog, backlogOf } from "../decisions/backlog.ts";
import { rejectionCost } from "../decisions/delay_cost.ts";
import { RefusedCallers } from "../decisions/refused_callers.ts";
import type { PoolEvidence } from "../decisions/servable.ts";
import { type JobAnswer, RefusalReason } from "../job_call.ts";
import { tasksInProgress } from "../job_spec.ts";
import { type DelayCostListener, DelayDecision } from "./delay_decision.ts";
import { PoolEvidenceLog } from "./pool_evidence.ts";

/** Options of {@link JobAdmission}. */
export interface JobAdmissionOptions {
  readonly state: BatchState;
  readonly clock: Pick<Clock, "nowMs">;
  readonly events: EventLog;
  readonly onDelayCost?: DelayCostListener;
  readonly bounds?: AdmissionOptions;
}

/** A submitted job. */
export interface Submission extends Candidate {
  readonly jobId: JobId;
}

/**
 * For how long what is known of all jobs and workers is used again: to look at
 * 5,000 jobs for each refusal would take all of a leader's time when callers are
 * refused by the thousand.
 */
const SURVEY_MS = 500;

/**
 * For how long counted jobs may still refuse others: to count 5,000 jobs takes
 * milliseconds, and hundreds of callers may be refused in that time. Nothing is
 * accepted by an older count.
 */
const COUNT_MS = 50;

/** Maximum length of the reason in a line of the log. */
const DETAIL_LIMIT = 200;

/** What decisions about one service depend on, as of one moment. */
interface Survey {
  readonly madeAtMs: number;
  readonly evidence: PoolEvidence;
  readonly backlog: () => Backlog;
  readonly rates: () => readonly number[];
}

/** Admits or refuses jobs. */
export class JobAdmission {
  readonly #options: JobAdmissionOptions;
  readonly #refused = new RefusedCallers();
  readonly #workers: PoolEvidenceLog;
  #counted: { load: ActiveLoad; atMs: number } | undefined;
  readonly #surveys = new Map<ServiceId, Survey>();

  constructor(options: JobAdmissionOptions) {
    this.#options = options;
    const { state, clock } = options;
    const nowMs = clock.nowMs();
    this.#workers = new PoolEvidenceLog({ state, nowMs });
  }

  /** Takes note of a worker that announced itself. */
  observeWorker(worker: WorkerRecord): void {
    if (this.#workers.observe(worker, this.#options.clock.nowMs())) {
      this.#surveys.delete(worker.service);
    }
  }

  /** The answer that refuses a job; undefined if it is accepted. */
  refuse(submission: Submission): JobAnswer | undefined {
    const { state, clock, bounds } = this.#options;
    const { jobId, queue, spec } = submission;
    const nowMs = clock.nowMs();
    const survey = this.#surveyOf(queue.service, nowMs);
    const { backlog, evidence, rates } = survey;
    const refused = this.#refused;
    const admission = this.#decide((load) =>
      decideAdmission({
        ...submission,
        state,
        load,
        nowMs,
        backlog,
        evidence,
        rates,
        refused,
      }, bounds), nowMs);
    if (admission.kind === "accept") {
      refused.forget(jobId);
      return undefined;
    }
    const { reason, detail } = admission;
    const isFull = reason === RefusalReason.queueFull;
    const returns = refused.returnsOf(jobId, nowMs);
    // Places are only kept for jobs that a place would help.
    const retryAfterS = isFull
      ? refused.record(jobId, {
        nowMs,
        retryAfterS: admission.retryAfterS,
        share: admissionShare(submission, {
          nowMs,
          rates: rates(),
          returns: returns + 1,
        }),
        tasks: tasksInProgress(spec),
        account: submission.account?.name,
      })
      : admission.retryAfterS;
    this.#report(submission, { nowMs, reason, detail, retryAfterS, returns });
    return {
      kind: "refused",
      reason,
      retryAfterS,
      ...(isFull ? {} : { detail }),
    };
  }

  /** Decides by the latest count if that refuses, or else by a new one. */
  #decide(
    decideWith: (load: ActiveLoad) => Admission,
    nowMs: number,
  ): Admission {
    const counted = this.#counted;
    if (counted !== undefined && Math.abs(nowMs - counted.atMs) < COUNT_MS) {
      const admission = decideWith(counted.load);
      if (admission.kind === "refuse") {
        return admission;
      }
    }
    const load = activeLoad(this.#options.state);
    this.#counted = { load, atMs: nowMs };
    return decideWith(load);
  }

  #report(
    { jobId, queue, account, spec }: Submission,
    refusal: {
      nowMs: number;
      reason: RefusalReason;
      detail: string;
      retryAfterS: number;
      returns: number;
    },
  ): void {
    const { nowMs, reason, detail, retryAfterS, returns } = refusal;
    const cost = rejectionCost({ spec, queue, submittedAtMs: nowMs, nowMs });
    this.#options.onDelayCost?.(
      reason === RefusalReason.queueFull
        ? DelayDecision.refusedFull
        : DelayDecision.refusedUnservable,
      cost,
    );
    this.#options.events.emit("batchJobRefused", {
      jobId,
      queue: queue.name,
      account: account?.name,
      reason,
      retryAfterS,
      returns,
      cost: Number(cost.toPrecision(3)),
      detail: detail.slice(0, DETAIL_LIMIT),
    });
  }

  #surveyOf(service: ServiceId, nowMs: number): Survey {
    const known = this.#surveys.get(service);
    if (known !== undefined && Math.abs(nowMs - known.madeAtMs) < SURVEY_MS) {
      return known;
    }
    const { state } = this.#options;
    const survey = {
      madeAtMs: nowMs,
      evidence: this.#workers.evidenceOf(service, nowMs),
      backlog: once(() => backlogOf(state, service)),
      rates: once(() => activeCostRates(state, nowMs)),
    };
    this.#surveys.set(service, survey);
    return survey;
  }
}

/** Computes a value when it is first asked for. */
function once<T>(compute: () => T): () => T {
  let known: { value: T } | undefined;
  return () => (known ??= { value: compute() }).value;
}
