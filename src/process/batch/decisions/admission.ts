/**
 * Decides whether a submitted job is accepted, or refused at once with a time
 * after which the caller may retry. In bursts and under overload, jobs are
 * refused while too many are active, so that their callers can act on it.
 *
 * @module
 */

import type { JobId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import { JobPhase } from "../job_record.ts";
import { hasLastingStep, specBytes, tasksInProgress } from "../job_spec.ts";
import { RefusalReason } from "../job_call.ts";
import { findStepBeyondLimit } from "./account_limits.ts";
import {
  admissionShare,
  type Candidate,
  HEADROOM_SHARE,
  mayBeGuaranteed,
} from "./admission_share.ts";
import { type Backlog, retryAfterS } from "./backlog.ts";
import type { RefusedCallers, ReservedPlaces } from "./refused_callers.ts";
import { findUnservable, type PoolEvidence } from "./servable.ts";

/** The active jobs and their tasks in progress. */
export interface ActiveLoad {
  readonly jobs: number;
  readonly tasks: number;
  /** Their steps: each is looked at in every planning pass. */
  readonly steps: number;
  /** Tasks of jobs of which some tasks last. */
  readonly lastingTasks: number;
}

/** The submitted job and what the decision depends on. */
export interface AdmissionInput extends Candidate {
  readonly state: BatchState;
  readonly nowMs: number;
  /** By default counted from the state. */
  readonly load?: ActiveLoad;
  /** By default empty: then all jobs are told the same time. */
  readonly jobId?: JobId;
  /** By default nothing is known of the workers. */
  readonly evidence?: PoolEvidence;
  /** Asked only for a refusal. */
  readonly backlog?: () => Backlog;
  /**
   * See {@link activeCostRates}; by default no job costs less than another. Asked
   * only near a bound.
   */
  readonly rates?: () => readonly number[];
  readonly refused?: RefusedCallers;
}

/** The bounds of admission; see {@link ADMISSION_DEFAULTS}. */
export interface AdmissionOptions {
  /** Maximum number of active jobs; limits memory. */
  readonly activeJobsLimit?: number;
  /** Maximum number of tasks of active jobs in progress; limits memory. */
  readonly activeTasksLimit?: number;
  /** Maximum number of steps of active jobs; limits the time of planning. */
  readonly activeStepsLimit?: number;
  /** Maximum estimated heap of the specifications of all jobs. */
  readonly specBytesLimit?: number;
  /** The share of all these that is kept for jobs that cost most to refuse. */
  readonly headroomShare?: number;
}

/** The defaults of {@link AdmissionOptions}. */
export const ADMISSION_DEFAULTS = {
  activeJobsLimit: 5_000,
  activeTasksLimit: 65_536,
  activeStepsLimit: 8_192,
  specBytesLimit: 33_554_432,
  headroomShare: HEADROOM_SHARE,
} as const satisfies AdmissionOptions;

/** The decision. */
export type Admission =
  | { readonly kind: "accept" }
  | {
    readonly kind: "refuse";
    readonly reason: RefusalReason;
    readonly retryAfterS: number;
    readonly detail: string;
  };

/**
 * A job with more tasks than this is wide. Wide jobs get half of the limit, so
 * that others are accepted beside them. One that returned when it was told to
 * gets more: others would always take what is free beyond the half.
 */
const WIDE_JOB_TASKS = 256;
const WIDE_JOBS_SHARE = 0.5;
const RETURNED_WIDE_JOBS_SHARE = 0.75;

/**
 * Maximum number of tasks of jobs that last. They are all open at once, and end
 * only when they are cancelled.
 */
const LASTING_TASKS_LIMIT = 8_192;

/**
 * The largest share of a bound that is kept for callers who may return now: some
 * of them have given up, and their places lie idle for a few seconds.
 */
const RESERVED_SHARE_LIMIT = 0.05;

/** An unknown backlog; its retry time is short. */
const UNKNOWN_BACKLOG: Backlog = { remainingCoreSeconds: 0, rate: 0 };

const NOTHING_RESERVED: ReservedPlaces = { jobs: 0, tasks: 0 };

/**
 * Retry time of a job that can't run under its account's limit. Only a later
 * version can raise the limit, and operators store those minutes apart.
 */
const LIMIT_RETRY_S = 30;

/** Decides whether one job is accepted. */
export function decideAdmission(
  input: AdmissionInput,
  options: AdmissionOptions = {},
): Admission {
  const { spec, evidence, nowMs, jobId = "", refused } = input;
  const settings = { ...ADMISSION_DEFAULTS, ...options };
  const unservable = evidence && findUnservable(spec, evidence);
  if (unservable !== undefined) {
    return refuse(input, RefusalReason.unservable, unservable);
  }
  const beyondLimit = findStepBeyondLimit(spec, input.account);
  if (beyondLimit !== undefined) {
    return {
      kind: "refuse",
      reason: RefusalReason.accountLimit,
      retryAfterS: LIMIT_RETRY_S,
      detail: beyondLimit,
    };
  }
  const { jobs, tasks, steps, lastingTasks } = input.load ??
    activeLoad(input.state);
  const moreSteps = spec.steps.length;
  const { jobSpecBytes } = input.state;
  const moreBytes = specBytes(spec);
  const more = tasksInProgress(spec);
  const isWide = more > WIDE_JOB_TASKS;
  const { activeJobsLimit, activeTasksLimit, headroomShare } = settings;
  const { activeStepsLimit, specBytesLimit } = settings;
  const wideShare = isWide ? WIDE_JOBS_SHARE : 1;
  const nearShare = 1 - headroomShare - RESERVED_SHARE_LIMIT;
  const isNearBound = jobs >= activeJobsLimit * nearShare ||
    steps + moreSteps > activeStepsLimit * nearShare ||
    jobSpecBytes + moreBytes > specBytesLimit * nearShare ||
    tasks + more > activeTasksLimit * Math.min(nearShare, wideShare);
  const returns = isNearBound ? refused?.returnsOf(jobId, nowMs) ?? 0 : 0;
  const share = isNearBound
    ? admissionShare(input, {
      nowMs,
      rates: input.rates?.() ?? [],
      returns,
      headroomShare,
    })
    : 1;
  const reserved = !isNearBound || refused === undefined ||
      mayBeGuaranteed(input)
    ? NOTHING_RESERVED
    : refused.reservedBefore(jobId, { nowMs, share });
  const jobsLimit = activeJobsLimit * share;
  const isReturningWide = isWide && returns > 0;
  const tasksLimit = activeTasksLimit *
    Math.min(share, isReturningWide ? RETURNED_WIDE_JOBS_SHARE : wideShare);
  const reservedJobs = Math.min(
    reserved.jobs,
    activeJobsLimit * RESERVED_SHARE_LIMIT,
  );
  const reservedTasks = Math.min(
    reserved.tasks,
    activeTasksLimit * RESERVED_SHARE_LIMIT,
  );
  if (jobs + reservedJobs >= jobsLimit) {
    return refuse(input, RefusalReason.queueFull, `${jobs} jobs are active`);
  }
  if (tasks + reservedTasks + more > tasksLimit) {
    const detail = `${tasks} tasks of active jobs are in progress`;
    return refuse(input, RefusalReason.queueFull, detail);
  }
  if (steps + moreSteps > activeStepsLimit * share) {
    return refuse(input, RefusalReason.queueFull, `${steps} steps are active`);
  }
  if (jobSpecBytes + moreBytes > specBytesLimit * share) {
    const detail = `the specifications of all jobs take ${jobSpecBytes} bytes`;
    return refuse(input, RefusalReason.queueFull, detail);
  }
  if (hasLastingStep(spec) && lastingTasks + more > LASTING_TASKS_LIMIT) {
    return refuse(input, RefusalReason.queueFull, `${lastingTasks} tasks last`);
  }
  return { kind: "accept" };
}

/** Counts the active jobs. */
export function activeLoad({ liveJobs }: BatchState): ActiveLoad {
  let jobs = 0;
  let tasks = 0;
  let steps = 0;
  let lastingTasks = 0;
  for (const job of liveJobs.values()) {
    if (job.phase === JobPhase.active) {
      const inProgress = tasksInProgress(job.spec);
      jobs += 1;
      tasks += inProgress;
      steps += job.spec.steps.length;
      lastingTasks += hasLastingStep(job.spec) ? inProgress : 0;
    }
  }
  return { jobs, tasks, steps, lastingTasks };
}

function refuse(
  { backlog, jobId = "" }: AdmissionInput,
  reason: RefusalReason,
  detail: string,
): Admission {
  return {
    kind: "refuse",
    reason,
    retryAfterS: retryAfterS(backlog?.() ?? UNKNOWN_BACKLOG, jobId),
    detail,
  };
}
