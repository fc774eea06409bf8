/**
 * What must hold after every event. It is counted anew from the gangs and the
 * cells, never from the sums that the scheduler keeps; for tests only.
 *
 * @module
 */

import {
  addAmounts,
  type Amounts,
  isSameAmounts,
  isWithin,
  noAmounts,
} from "./amounts.ts";
import type { CoreContext } from "./core_context.ts";
import type { GuaranteeCell } from "./guarantee_cells.ts";
import { isLive, JobPhase, type JobState } from "./job_state.ts";
import { isQuarantined } from "./quarantine.ts";
import type { Quarantine } from "./quarantine.ts";
import { WaitReason } from "./scheduler_decision.ts";
import type { RackState, WorkerState } from "./worker_state.ts";

/** A retry follows on the first tick after its time. */
const RETRY_SLACK_MS = 1_000;

/** Everything that doesn't hold; empty when all is well. */
export function findBrokenInvariants(
  context: CoreContext,
  options: { readonly quarantine: Quarantine },
): string[] {
  return [
    ...context.index.findBroken(),
    ...findBrokenWorkers(context),
    ...findBrokenCells(context),
    ...findBrokenGangs(context),
    ...findBrokenWaits(context),
    ...findBrokenQuarantine(context, options.quarantine),
  ];
}

function findBrokenWorkers(context: CoreContext): string[] {
  const broken: string[] = [];
  for (const worker of context.index.workers.values()) {
    const used = noAmounts();
    const stopping = noAmounts();
    for (const { job, tasks } of worker.allocations.values()) {
      addAmounts(used, job.need, { factor: tasks });
      if (job.phase === JobPhase.stopping) {
        addAmounts(stopping, job.need, { factor: tasks });
      }
    }
    const name = `worker ${worker.workerId}`;
    if (!isSameAmounts(used, worker.used)) {
      broken.push(`${name}: its sum of used resources is wrong`);
    }
    if (!isSameAmounts(stopping, worker.stopping)) {
      broken.push(`${name}: its sum of stopping resources is wrong`);
    }
    if (!isWithin(used, worker.capacity)) {
      broken.push(`${name}: more is used than it has`);
    }
    broken.push(...findBrokenPromises(worker));
  }
  return broken;
}

/** Work within guarantees lies in its own client account's cells. */
function findBrokenPromises(worker: WorkerState): string[] {
  const claimed = new Map<string, Amounts>();
  for (const { job, tasks } of worker.allocations.values()) {
    if (job.isGuaranteed && job.phase !== JobPhase.stopping) {
      const total = claimed.get(job.specification.clientAccount) ?? noAmounts();
      addAmounts(total, job.need, { factor: tasks });
      claimed.set(job.specification.clientAccount, total);
    }
  }
  const broken: string[] = [];
  for (const [account, amounts] of claimed) {
    const promised = worker.promisedByAccount.get(account) ?? noAmounts();
    if (!isWithin(amounts, promised)) {
      broken.push(
        `worker ${worker.workerId}: ${account} holds more within its ` +
          `guarantee than its cells`,
      );
    }
  }
  return broken;
}

function findBrokenCells(context: CoreContext): string[] {
  const broken: string[] = [];
  const promised = new Map<WorkerState, Amounts>();
  for (const cell of context.cells.all()) {
    broken.push(...findBrokenShape(cell, context));
    for (const worker of cell.workers) {
      const total = promised.get(worker) ?? noAmounts();
      total.accelerators += cell.shape.acceleratorsPerWorker;
      promised.set(worker, total);
    }
  }
  for (const [worker, total] of promised) {
    if (total.accelerators > worker.capacity.accelerators) {
      broken.push(`cells: ${worker.workerId} is promised more than it has`);
    }
    if (!isWithin(worker.promised, worker.capacity)) {
      broken.push(`cells: ${worker.workerId} promises more than its share`);
    }
  }
  return broken;
}

function findBrokenShape(cell: GuaranteeCell, context: CoreContext): string[] {
  if (cell.workers.length === 0) {
    return [];
  }
  const perRack = new Map<RackState, Set<WorkerState>>();
  for (const worker of cell.workers) {
    const workers = perRack.get(worker.rack) ?? new Set();
    perRack.set(worker.rack, workers.add(worker));
    const isKnown = context.index.workers.get(worker.workerId) === worker;
    if (!isKnown || !worker.isHealthy) {
      return [`cells: ${cell.key} lies on ${worker.workerId}, out of use`];
    }
  }
  const { racks, workersPerRack } = cell.shape;
  const isRight = perRack.size === racks &&
    [...perRack.values()].every((workers) => workers.size === workersPerRack);
  return isRight ? [] : [`cells: ${cell.key} isn't of its shape`];
}

function findBrokenGangs(context: CoreContext): string[] {
  const broken: string[] = [];
  for (const job of context.jobs.values()) {
    const { jobId, tasks, adjacency } = job.specification;
    if (!isLive(job)) {
      if (job.workers.size > 0) {
        broken.push(`gang ${jobId}: holds room though it is ${job.phase}`);
      }
      continue;
    }
    const isWanted = job.phase !== JobPhase.stopping;
    if (isWanted && tasksHeld(job) + job.succeededTasks < tasks) {
      broken.push(`gang ${jobId}: it isn't whole`);
    }
    const racks = new Set([...job.workers.keys()].map(({ rack }) => rack));
    const isApart = (adjacency === "rack" && racks.size > 1) ||
      (adjacency === "worker" && job.workers.size > 1);
    if (isApart) {
      broken.push(`gang ${jobId}: its tasks aren't adjacent`);
    }
    for (const [worker, count] of job.workers) {
      if (worker.allocations.get(jobId)?.tasks !== count) {
        broken.push(`gang ${jobId}: ${worker.workerId} doesn't know of it`);
      }
    }
  }
  return broken;
}

function findBrokenWaits(context: CoreContext): string[] {
  const broken: string[] = [];
  const queued = new Map<JobState, number>();
  for (const group of context.queue.groups()) {
    for (const job of group.jobs) {
      queued.set(job, (queued.get(job) ?? 0) + 1);
    }
  }
  for (const job of context.jobs.values()) {
    const { jobId } = job.specification;
    const places = queued.get(job) ?? 0;
    const isWaiting = job.phase === JobPhase.queued;
    if (places > (isWaiting ? 1 : 0)) {
      broken.push(`job ${jobId}: it is in the queue ${places} times`);
    }
    const isKept = places === 1 || job.reservation !== undefined ||
      context.isRecovering ||
      job.retryAtMs + RETRY_SLACK_MS > context.nowMs;
    if (isWaiting && !isKept) {
      broken.push(`job ${jobId}: it waits outside the queue`);
    }
    const reason = context.waitReasonOf(job);
    if (isWaiting && (reason === undefined || !(reason in WaitReason))) {
      broken.push(`job ${jobId}: nobody knows why it waits`);
    }
  }
  return broken;
}

function findBrokenQuarantine(
  context: CoreContext,
  quarantine: Quarantine,
): string[] {
  let count = 0;
  for (const worker of context.index.workers.values()) {
    count += isQuarantined(worker) ? 1 : 0;
  }
  // Workers that are lost lower the limit under those already out.
  const isOver = count > quarantine.peakLimit;
  return isOver ? [`quarantine: ${count} workers are out of use`] : [];
}

function tasksHeld(job: JobState): number {
  let held = 0;
  for (const tasks of job.workers.values()) {
    held += tasks;
  }
  return held;
}
