/**
 * Finds the block with the lowest cost of eviction.
 *
 * @module
 */

import { addAmounts, type Amounts, zeroAmounts } from "./amounts.ts";
import {
  gangAccelerators,
  JobPhase,
  type JobState,
  workAtRisk,
} from "./job_state.ts";
import {
  type AvailableOf,
  type Block,
  type BlockRequest,
  fillRack,
  fillRacks,
} from "./placement.ts";
import type { Allocation, WorkerState } from "./worker_state.ts";

/** A block, and the gangs to evict for it. */
export interface EvictionPlan {
  readonly block: Block;
  readonly victims: ReadonlySet<JobState>;
  /** Work lost plus the overhead of evictions, in accelerator-milliseconds. */
  readonly cost: number;
}

/** What may be evicted for a request, and what is available for it. */
export interface EvictionOptions {
  readonly nowMs: number;
  /** Whether victims have time for a checkpoint. */
  readonly hasTimeToCheckpoint: boolean;
  /** What a worker offers if all evictable gangs are evicted. */
  readonly maxAvailableOf: AvailableOf;
  /** What a worker offers once the gangs being stopped are gone. */
  readonly availableOf: AvailableOf;
  readonly isEvictable: (job: JobState) => boolean;
}

type RiskOptions = Pick<EvictionOptions, "nowMs" | "hasTimeToCheckpoint">;

/** Cost of evicting a gang besides the work lost, per accelerator. */
const EVICTION_OVERHEAD_MS = 60_000;
/** Blocks whose victims are evaluated before the cheapest is taken. */
const EVALUATED_BLOCKS_LIMIT = 6;

/** The cheapest block in the racks, or undefined if there is none. */
export function planEviction(
  racks: readonly (readonly WorkerState[])[],
  request: BlockRequest,
  options: EvictionOptions,
): EvictionPlan | undefined {
  let best: EvictionPlan | undefined;
  for (const block of candidateBlocks(racks, request, options)) {
    const victims = chooseVictims(block, request.need, options);
    if (victims === undefined) {
      continue;
    }
    const cost = costOf(victims, options);
    if (best === undefined || cost < best.cost) {
      best = { block, victims, cost };
    }
  }
  return best;
}

/** The cheapest gangs whose eviction frees the block, if that is possible. */
export function chooseVictims(
  block: Block,
  need: Readonly<Amounts>,
  options: Omit<EvictionOptions, "maxAvailableOf">,
): Set<JobState> | undefined {
  const chosen = new Set<JobState>();
  for (const [worker, tasks] of block) {
    const isFreed = chooseVictimsOnWorker(worker, chosen, {
      ...options,
      needed: scaledAmounts(need, tasks),
    });
    if (!isFreed) {
      return undefined;
    }
  }
  return removeRedundantVictims(block, need, { ...options, chosen });
}

function candidateBlocks(
  racks: readonly (readonly WorkerState[])[],
  request: BlockRequest,
  options: EvictionOptions,
): Block[] {
  const isOneWorker = request.adjacency === "worker" || request.tasks === 1;
  const groups = isOneWorker ? racks.flat().map((worker) => [worker]) : racks;
  const candidates: { block: Block; missing: number }[] = [];
  for (const workers of groups) {
    const block = fillRack(workers, request, {
      availableOf: options.maxAvailableOf,
      preferenceOf: (worker) => -options.availableOf(worker).accelerators,
    });
    if (block !== undefined) {
      candidates.push({
        block,
        missing: missingAccelerators(block, request, options),
      });
    }
  }
  candidates.sort((left, right) => left.missing - right.missing);
  const blocks = candidates.slice(0, EVALUATED_BLOCKS_LIMIT).map(({ block }) =>
    block
  );
  if (blocks.length === 0 && request.adjacency === "any") {
    const spread = fillRacks(racks, request, {
      availableOf: options.maxAvailableOf,
    });
    return spread === undefined ? [] : [spread];
  }
  return blocks;
}

function missingAccelerators(
  block: Block,
  request: BlockRequest,
  options: EvictionOptions,
): number {
  let missing = 0;
  for (const [worker, tasks] of block) {
    const available = options.availableOf(worker).accelerators;
    missing += Math.max(0, request.need.accelerators * tasks - available);
  }
  return missing;
}

interface WorkerGoal extends Omit<EvictionOptions, "maxAvailableOf"> {
  readonly needed: Readonly<Amounts>;
}

function chooseVictimsOnWorker(
  worker: WorkerState,
  chosen: Set<JobState>,
  goal: WorkerGoal,
): boolean {
  const missing = missingOn(worker, chosen, goal);
  if (isCovered(missing)) {
    return true;
  }
  const candidates = [...worker.allocations.values()]
    .filter(({ job }) =>
      job.phase !== JobPhase.stopping && !chosen.has(job) &&
      goal.isEvictable(job)
    )
    .sort((left, right) => compareVictims(left, right, goal));
  for (const { job, tasks } of candidates) {
    if (reducesShortage(job.need, missing)) {
      chosen.add(job);
      addAmounts(missing, job.need, { factor: -tasks });
    }
    if (isCovered(missing)) {
      return true;
    }
  }
  return false;
}

/** Removes victims that turn out not to be needed, the costliest first. */
function removeRedundantVictims(
  block: Block,
  need: Readonly<Amounts>,
  options: Omit<EvictionOptions, "maxAvailableOf"> & {
    readonly chosen: Set<JobState>;
  },
): Set<JobState> {
  const { chosen } = options;
  const costliestFirst = [...chosen]
    .sort((left, right) =>
      workAtRisk(right, options) - workAtRisk(left, options)
    );
  for (const job of costliestFirst) {
    chosen.delete(job);
    const isRedundant = [...block].every(([worker, tasks]) =>
      !job.workers.has(worker) || isCovered(
        missingOn(worker, chosen, {
          ...options,
          needed: scaledAmounts(need, tasks),
        }),
      )
    );
    if (!isRedundant) {
      chosen.add(job);
    }
  }
  return chosen;
}

function missingOn(
  worker: WorkerState,
  chosen: ReadonlySet<JobState>,
  goal: WorkerGoal,
): Amounts {
  const missing = zeroAmounts();
  addAmounts(missing, goal.needed);
  addAmounts(missing, goal.availableOf(worker), { factor: -1 });
  for (const job of chosen) {
    const tasks = job.workers.get(worker);
    if (tasks !== undefined) {
      addAmounts(missing, job.need, { factor: -tasks });
    }
  }
  return missing;
}

function compareVictims(
  left: Allocation,
  right: Allocation,
  options: RiskOptions,
): number {
  return workAtRisk(left.job, options) - workAtRisk(right.job, options) ||
    left.job.workers.size - right.job.workers.size ||
    right.job.order - left.job.order;
}

function costOf(
  victims: ReadonlySet<JobState>,
  options: RiskOptions,
): number {
  let cost = 0;
  for (const job of victims) {
    cost += workAtRisk(job, options) +
      EVICTION_OVERHEAD_MS * Math.max(1, gangAccelerators(job));
  }
  return cost;
}

function reducesShortage(
  need: Readonly<Amounts>,
  missing: Readonly<Amounts>,
): boolean {
  return (missing.accelerators > 0 && need.accelerators > 0) ||
    (missing.milliCores > 0 && need.milliCores > 0) ||
    (missing.memoryBytes > 0 && need.memoryBytes > 0);
}

function isCovered(missing: Readonly<Amounts>): boolean {
  return missing.accelerators <= 0 && missing.milliCores <= 0 &&
    missing.memoryBytes <= 0;
}

function scaledAmounts(amounts: Readonly<Amounts>, factor: number): Amounts {
  const total = zeroAmounts();
  addAmounts(total, amounts, { factor });
  return total;
}
