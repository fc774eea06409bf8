/**
 * Makes room for a guaranteed or urgent job whose client account is at its limit,
 * while less important runs of that account use the limit up. Only runs of the account
 * itself can help: stopping those of others frees workers, but not the limit.
 *
 * @module
 */

import type { JobRecord } from "../job_record.ts";
import type { TaskDemand } from "../job_spec.ts";
import { LIMITED_RESOURCES } from "./account_limits.ts";
import type { AccountHeadroom } from "./account_headroom.ts";
import { addDemand, type DemandTotal, emptyTotal } from "./account_usage.ts";
import type { OpenRun, PoolView, WorkerSlot } from "./pool_view.ts";
import {
  dropUnneeded,
  fewestThatFit,
  listVictims,
  type Victim,
} from "./preemption.ts";
import type { WorkUnit } from "./work_unit.ts";

/** What the choice depends on, and how the planner finds capacity. */
export interface OwnPreemptionOptions {
  readonly headroom: AccountHeadroom;
  /** Whether runs of the job, which is of the same account, may be stopped. */
  readonly mayStop: (job: JobRecord) => boolean;
  readonly isStopping: (run: OpenRun) => boolean;
  /**
   * Whether the worker answers. A run on one that doesn't can't be shown to have
   * ended before its lease is over, too late for the guarantee.
   */
  readonly isReachable: (slot: WorkerSlot) => boolean;
  readonly nowMs: number;
  /**
   * Reserves workers for all tasks of the unit in the view, once the account's
   * own runs are released there; returns the runs to stop for that, or undefined
   * if the unit doesn't fit.
   */
  readonly reserveWorkers: (unit: WorkUnit) => readonly OpenRun[] | undefined;
}

/** The runs to stop, and the tasks of the unit that start after them. */
export interface OwnPreemption {
  readonly unit: WorkUnit;
  readonly runs: readonly OpenRun[];
}

/**
 * The runs to stop, which may include runs that are being stopped already, so
 * that the unit's waiting tasks are within the limit and fit on workers. Of
 * independent tasks, only some may fit; undefined if none do. Nothing is stopped
 * in vain: either the limit and the workers both suffice, or nothing is chosen.
 */
export function preemptOwnRuns(
  view: PoolView,
  unit: WorkUnit,
  options: OwnPreemptionOptions,
): OwnPreemption | undefined {
  // Halving bounds the tries; the tasks that are left over follow in later passes.
  for (let count = unit.waiting.length; count > 0; count >>= 1) {
    const part = { ...unit, waiting: unit.waiting.slice(0, count) };
    const runs = tryPart(view, part, options);
    if (runs !== undefined) {
      return { unit: part, runs };
    }
    if (unit.spec.isGang) {
      return undefined;
    }
  }
  return undefined;
}

function tryPart(
  view: PoolView,
  unit: WorkUnit,
  options: OwnPreemptionOptions,
): readonly OpenRun[] | undefined {
  const own = chooseOwnRuns(view, unit, options);
  if (own === undefined) {
    return undefined;
  }
  own.forEach((run) => view.release(run));
  const others = options.reserveWorkers(unit);
  if (others === undefined) {
    own.forEach((run) => view.undoRelease(run));
    return undefined;
  }
  own.forEach((run) => view.reallocate(run));
  return [...own, ...others];
}

/** The cheapest runs of the account that free what exceeds the limit. */
function chooseOwnRuns(
  view: PoolView,
  unit: WorkUnit,
  options: OwnPreemptionOptions,
): readonly OpenRun[] | undefined {
  const { headroom, mayStop, isStopping, isReachable, nowMs } = options;
  const { account } = unit.job;
  const excess = headroom.excessOf(unit);
  const { demand } = unit.spec;
  if (
    LIMITED_RESOURCES.some((name) => excess[name] > 0 && demand[name] === 0)
  ) {
    // Only a lowered limit does that, for which nothing is stopped.
    return undefined;
  }
  const slots = view.slots.filter(isReachable).map((slot) => ({
    ...slot,
    runs: slot.runs.filter(({ job }) => job.account === account),
  }));
  const victims = listVictims(slots, {
    mayStop,
    isStopping,
    fits: () => true,
    prefersOneRack: false,
    nowMs,
  });
  const useful = victims
    .map((victim) => ({ victim, use: useOf(victim, excess) }))
    .filter(({ use }) => use > 0)
    .sort((a, b) => a.victim.loss / a.use - b.victim.loss / b.use)
    .map(({ victim }) => victim);
  const suffices = (stopped: readonly Victim[]) => {
    const freed = emptyTotal();
    stopped.forEach((victim) => addFreed(freed, victim));
    return LIMITED_RESOURCES.every((name) => freed[name] >= excess[name]);
  };
  if (!suffices(useful)) {
    return undefined;
  }
  const count = fewestThatFit(
    useful.length,
    (first) => suffices(useful.slice(0, first)),
  );
  return dropUnneeded(useful.slice(0, count), suffices)
    .flatMap(({ runs }) => runs);
}

/** The sum of the shares of each excess that a victim's stop frees. */
function useOf(victim: Victim, excess: TaskDemand): number {
  const freed = emptyTotal();
  addFreed(freed, victim);
  return LIMITED_RESOURCES.reduce(
    (sum, name) =>
      excess[name] === 0 ? sum : sum + Math.min(1, freed[name] / excess[name]),
    0,
  );
}

function addFreed(total: DemandTotal, { runs }: Victim): void {
  for (const { job, step } of runs) {
    addDemand(total, job.spec.steps[step]!.demand, 1);
  }
}
