/**
 * Checks the invariants that hold after every event. Every sum is recounted
 * from the gangs and the guarantees, independently of the sums that the
 * scheduler keeps. For tests only.
 *
 * @module
 */

import {
  addAmounts,
  type Amounts,
  isSameAmounts,
  isWithin,
  zeroAmounts,
} from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import type { GuaranteeAssignment } from "./guarantee_assignments.ts";
import { isLive, JobPhase, type JobState } from "./job_state.ts";
import { isQuarantined } from "./quarantine.ts";
import type { Quarantine } from "./quarantine.ts";
import { WaitReason } from "./scheduler_decision.ts";
import type { RackState, WorkerState } from "./worker_state.ts";

/** Longest time between a due retry and the tick that queues it. */
const RETRY_SLACK_MS = 1_000;

/** Describes every violated invariant; empty if all hold. */
export function findInvariantViolations(
  context: CoreContext,
  options: { readonly quarantine: Quarantine },
): string[] {
  return [
    ...context.index.findViolations(),
    ...findWorkerViolations(context),
    ...findAssignmentViolations(context),
    ...findGangViolations(context),
    ...findWaitViolations(context),
    ...findQuarantineViolations(context, options.quarantine),
  ];
}

function findWorkerViolations(context: CoreContext): string[] {
  const violations: string[] = [];
  for (const worker of context.index.workers.values()) {
    const used = zeroAmounts();
    const stopping = zeroAmounts();
    for (const { job, tasks } of worker.allocations.values()) {
      addAmounts(used, job.need, { factor: tasks });
      if (job.phase === JobPhase.stopping) {
        addAmounts(stopping, job.need, { factor: tasks });
      }
    }
    const name = `worker ${worker.workerId}`;
    if (!isSameAmounts(used, worker.used)) {
      violations.push(`${name}: its sum of used resources is wrong`);
    }
    if (!isSameAmounts(stopping, worker.stopping)) {
      violations.push(`${name}: its sum of stopping resources is wrong`);
    }
    if (!isWithin(used, worker.capacity)) {
      violations.push(`${name}: more is used than it has`);
    }
    violations.push(...findGuaranteeUseViolations(worker));
  }
  return violations;
}

/** Guaranteed gangs stay within their own client account's guarantee. */
function findGuaranteeUseViolations(worker: WorkerState): string[] {
  const usedByAccount = new Map<string, Amounts>();
  for (const { job, tasks } of worker.allocations.values()) {
    if (job.isGuaranteed && job.phase !== JobPhase.stopping) {
      const total = usedByAccount.get(job.specification.clientAccount) ??
        zeroAmounts();
      addAmounts(total, job.need, { factor: tasks });
      usedByAccount.set(job.specification.clientAccount, total);
    }
  }
  const violations: string[] = [];
  for (const [account, amounts] of usedByAccount) {
    const assigned = worker.guaranteeCapacityByAccount.get(account) ??
      zeroAmounts();
    if (!isWithin(amounts, assigned)) {
      violations.push(
        `worker ${worker.workerId}: guaranteed gangs of ${account} use more ` +
          `than is assigned to its guarantees`,
      );
    }
  }
  return violations;
}

function findAssignmentViolations(context: CoreContext): string[] {
  const violations: string[] = [];
  const assigned = new Map<WorkerState, Amounts>();
  for (const assignment of context.guarantees.all()) {
    violations.push(...findShapeViolations(assignment, context));
    for (const worker of assignment.workers) {
      const total = assigned.get(worker) ?? zeroAmounts();
      total.accelerators += assignment.shape.acceleratorsPerWorker;
      assigned.set(worker, total);
    }
  }
  for (const [worker, total] of assigned) {
    if (total.accelerators > worker.capacity.accelerators) {
      violations.push(
        `guarantees: ${worker.workerId} is assigned more than it has`,
      );
    }
    if (!isWithin(worker.guaranteeCapacity, worker.capacity)) {
      violations.push(
        `guarantees: their sum on ${worker.workerId} exceeds its capacity`,
      );
    }
  }
  return violations;
}

function findShapeViolations(
  assignment: GuaranteeAssignment,
  context: CoreContext,
): string[] {
  if (assignment.workers.length === 0) {
    return [];
  }
  const perRack = new Map<RackState, Set<WorkerState>>();
  for (const worker of assignment.workers) {
    const workers = perRack.get(worker.rack) ?? new Set();
    perRack.set(worker.rack, workers.add(worker));
    const isKnown = context.index.workers.get(worker.workerId) === worker;
    if (!isKnown || !worker.isHealthy) {
      return [
        `guarantee ${assignment.key}: ${worker.workerId} is unavailable`,
      ];
    }
  }
  const { racks, workersPerRack } = assignment.shape;
  const formsShape = perRack.size === racks &&
    [...perRack.values()].every((workers) => workers.size === workersPerRack);
  return formsShape
    ? []
    : [`guarantee ${assignment.key}: its workers don't form its shape`];
}

function findGangViolations(context: CoreContext): string[] {
  const violations: string[] = [];
  for (const job of context.jobs.values()) {
    const { jobId, tasks, adjacency } = job.specification;
    if (!isLive(job)) {
      if (job.workers.size > 0) {
        violations.push(
          `gang ${jobId}: holds capacity though it is ${job.phase}`,
        );
      }
      continue;
    }
    const mustBeIntact = job.phase !== JobPhase.stopping;
    if (mustBeIntact && tasksHeld(job) + job.succeededTasks < tasks) {
      violations.push(`gang ${jobId}: some of its tasks hold no capacity`);
    }
    const racks = new Set([...job.workers.keys()].map(({ rack }) => rack));
    const isScattered = (adjacency === "rack" && racks.size > 1) ||
      (adjacency === "worker" && job.workers.size > 1);
    if (isScattered) {
      violations.push(`gang ${jobId}: its tasks aren't adjacent`);
    }
    for (const [worker, count] of job.workers) {
      if (worker.allocations.get(jobId)?.tasks !== count) {
        violations.push(
          `gang ${jobId}: ${worker.workerId} has no such allocation`,
        );
      }
    }
  }
  return violations;
}

function findWaitViolations(context: CoreContext): string[] {
  const violations: string[] = [];
  const queued = new Map<JobState, number>();
  for (const group of context.queue.groups()) {
    for (const job of group.jobs) {
      queued.set(job, (queued.get(job) ?? 0) + 1);
    }
  }
  for (const job of context.jobs.values()) {
    const { jobId } = job.specification;
    const entries = queued.get(job) ?? 0;
    const isWaiting = job.phase === JobPhase.queued;
    if (entries > (isWaiting ? 1 : 0)) {
      violations.push(`job ${jobId}: it is in the queue ${entries} times`);
    }
    const isAccountedFor = entries === 1 || job.reservation !== undefined ||
      context.isRecovering ||
      job.retryAtMs + RETRY_SLACK_MS > context.nowMs;
    if (isWaiting && !isAccountedFor) {
      violations.push(`job ${jobId}: it waits outside the queue`);
    }
    const reason = context.waitReasonOf(job);
    if (isWaiting && (reason === undefined || !(reason in WaitReason))) {
      violations.push(`job ${jobId}: it waits without a valid reason`);
    }
  }
  return violations;
}

function findQuarantineViolations(
  context: CoreContext,
  quarantine: Quarantine,
): string[] {
  let count = 0;
  for (const worker of context.index.workers.values()) {
    count += isQuarantined(worker) ? 1 : 0;
  }
  // The limit may fall below the present number when other workers are lost.
  const isOver = count > quarantine.peakLimit;
  return isOver ? [`quarantine: ${count} workers exceed its limit`] : [];
}

function tasksHeld(job: JobState): number {
  let held = 0;
  for (const tasks of job.workers.values()) {
    held += tasks;
  }
  return held;
}
