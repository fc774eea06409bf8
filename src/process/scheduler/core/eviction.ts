/**
 * Finds the block for which the cheapest work has to be evicted.
 *
 * @module
 */

import { addAmounts, type Amounts, noAmounts } from "./amounts.ts";
import {
  gangAccelerators,
  JobPhase,
  type JobState,
  workAtRisk,
} from "./job_state.ts";
import {
  type Block,
  type BlockRequest,
  fillRack,
  fillRacks,
  type RoomOf,
} from "./placement.ts";
import type { Allocation, WorkerState } from "./worker_state.ts";

/** A block, and whom to evict for it. */
export interface EvictionPlan {
  readonly block: Block;
  readonly victims: ReadonlySet<JobState>;
  /** Work lost and gangs disturbed, in accelerator-milliseconds. */
  readonly cost: number;
}

/** What may be evicted for a request, and what is there for it. */
export interface EvictionOptions {
  readonly nowMs: number;
  /** Whether victims have the time for a checkpoint. */
  readonly hasTimeToCheckpoint: boolean;
  /** What a worker has once all that may be evicted is gone. */
  readonly potentialOf: RoomOf;
  /** What a worker has once all that stops already is gone. */
  readonly roomOf: RoomOf;
  readonly isEvictable: (job: JobState) => boolean;
}

type RiskOptions = Pick<EvictionOptions, "nowMs" | "hasTimeToCheckpoint">;

/** Every gang stopped counts like so much work lost on each accelerator. */
const DISTURBANCE_MS = 60_000;
/** Blocks whose victims are worked out before the cheapest is taken. */
const BLOCKS_WEIGHED = 6;

/** The cheapest block among the racks, or undefined when there is none. */
export function planEviction(
  racks: readonly (readonly WorkerState[])[],
  request: BlockRequest,
  options: EvictionOptions,
): EvictionPlan | undefined {
  let best: EvictionPlan | undefined;
  for (const block of promisingBlocks(racks, request, options)) {
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

/** The cheapest gangs whose going makes room for the block. */
export function chooseVictims(
  block: Block,
  need: Readonly<Amounts>,
  options: Omit<EvictionOptions, "potentialOf">,
): Set<JobState> | undefined {
  const chosen = new Set<JobState>();
  for (const [worker, tasks] of block) {
    const isFreed = chooseOnWorker(worker, chosen, {
      ...options,
      wanted: timesAmounts(need, tasks),
    });
    if (!isFreed) {
      return undefined;
    }
  }
  return spareNeedless(block, need, { ...options, chosen });
}

function promisingBlocks(
  racks: readonly (readonly WorkerState[])[],
  request: BlockRequest,
  options: EvictionOptions,
): Block[] {
  const isOneWorker = request.adjacency === "worker" || request.tasks === 1;
  const groups = isOneWorker ? racks.flat().map((worker) => [worker]) : racks;
  const weighed: { block: Block; missing: number }[] = [];
  for (const workers of groups) {
    const block = fillRack(workers, request, {
      roomOf: options.potentialOf,
      preferenceOf: (worker) => -options.roomOf(worker).accelerators,
    });
    if (block !== undefined) {
      weighed.push({ block, missing: missingFor(block, request, options) });
    }
  }
  weighed.sort((left, right) => left.missing - right.missing);
  const blocks = weighed.slice(0, BLOCKS_WEIGHED).map(({ block }) => block);
  if (blocks.length === 0 && request.adjacency === "any") {
    const spread = fillRacks(racks, request, { roomOf: options.potentialOf });
    return spread === undefined ? [] : [spread];
  }
  return blocks;
}

function missingFor(
  block: Block,
  request: BlockRequest,
  options: EvictionOptions,
): number {
  let missing = 0;
  for (const [worker, tasks] of block) {
    const room = options.roomOf(worker).accelerators;
    missing += Math.max(0, request.need.accelerators * tasks - room);
  }
  return missing;
}

interface WorkerGoal extends Omit<EvictionOptions, "potentialOf"> {
  readonly wanted: Readonly<Amounts>;
}

function chooseOnWorker(
  worker: WorkerState,
  chosen: Set<JobState>,
  goal: WorkerGoal,
): boolean {
  const missing = missingOn(worker, chosen, goal);
  if (isMet(missing)) {
    return true;
  }
  const candidates = [...worker.allocations.values()]
    .filter(({ job }) =>
      job.phase !== JobPhase.stopping && !chosen.has(job) &&
      goal.isEvictable(job)
    )
    .sort((left, right) => compareVictims(left, right, goal));
  for (const { job, tasks } of candidates) {
    if (helps(job.need, missing)) {
      chosen.add(job);
      addAmounts(missing, job.need, { factor: -tasks });
    }
    if (isMet(missing)) {
      return true;
    }
  }
  return false;
}

/** Lets those live who, it turns out, needn't go; the dearest first. */
function spareNeedless(
  block: Block,
  need: Readonly<Amounts>,
  options: Omit<EvictionOptions, "potentialOf"> & {
    readonly chosen: Set<JobState>;
  },
): Set<JobState> {
  const { chosen } = options;
  const dearestFirst = [...chosen]
    .sort((left, right) =>
      workAtRisk(right, options) - workAtRisk(left, options)
    );
  for (const job of dearestFirst) {
    chosen.delete(job);
    const isNeedless = [...block].every(([worker, tasks]) =>
      !job.workers.has(worker) || isMet(
        missingOn(worker, chosen, {
          ...options,
          wanted: timesAmounts(need, tasks),
        }),
      )
    );
    if (!isNeedless) {
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
  const missing = noAmounts();
  addAmounts(missing, goal.wanted);
  addAmounts(missing, goal.roomOf(worker), { factor: -1 });
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
      DISTURBANCE_MS * Math.max(1, gangAccelerators(job));
  }
  return cost;
}

function helps(need: Readonly<Amounts>, missing: Readonly<Amounts>): boolean {
  return (missing.accelerators > 0 && need.accelerators > 0) ||
    (missing.milliCores > 0 && need.milliCores > 0) ||
    (missing.memoryBytes > 0 && need.memoryBytes > 0);
}

function isMet(missing: Readonly<Amounts>): boolean {
  return missing.accelerators <= 0 && missing.milliCores <= 0 &&
    missing.memoryBytes <= 0;
}

function timesAmounts(amounts: Readonly<Amounts>, factor: number): Amounts {
  const total = noAmounts();
  addAmounts(total, amounts, { factor });
  return total;
}
