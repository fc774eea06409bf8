/**
 * Orders a unit's candidate workers by speed class, and excludes some.
 *
 * Load condition: a pool with known slow workers and demand that oscillates. A
 * gang runs at the speed of its slowest member, and urgent work may be on time
 * only on workers that aren't slow. Without a slow worker nothing is ordered or
 * excluded.
 *
 * @module
 */

import type { StepSpec } from "../job_spec.ts";
import { countFitting, type WorkerSlot } from "./pool_view.ts";

/** What is known of a unit's time when it is placed. */
export interface SpeedNeed {
  readonly isUrgent: boolean;
  /** Whether a guarantee limits the time until it starts. */
  readonly mustStart: boolean;
  readonly estimateMs: number;
  /** How much later than now it may start on a typical worker and be on time. */
  readonly slackMs: number;
  readonly waitedMs: number;
  /** The longest wait for workers of one class; by default not limited. */
  readonly waitLimitMs?: number;
}

/** Which decisions are made; see {@link SPEED_RULES}. */
export interface SpeedRules {
  /** Whether gangs are kept to workers of one class. */
  readonly keepsGangsTogether: boolean;
  /** Whether work that would be late on slow workers waits for others. */
  readonly avoidsSlow: boolean;
  /** Whether work with time left takes slow workers first. */
  readonly takesSlowFirst: boolean;
}

/** The decisions that the load tool found to help callers. */
export const SPEED_RULES: SpeedRules = {
  keepsGangsTogether: true,
  avoidsSlow: true,
  takesSlowFirst: true,
};

/** With a larger share of slow workers, none is treated as slow. */
const SLOW_WORKERS_SHARE_LIMIT = 0.5;

/** Options of {@link speedGroups}. */
export interface SpeedGroupOptions {
  readonly step: StepSpec;
  /** Tasks to place. */
  readonly tasks: number;
  readonly need: SpeedNeed;
  readonly rules: SpeedRules;
  readonly mayUseOtherRacks: boolean;
  /**
   * All candidates, if the slots are a part of them; what is decided for a part
   * has to agree with where the unit is placed later.
   */
  readonly pool?: readonly WorkerSlot[];
}

/**
 * Groups of candidates in the order tried: disjoint ones for independent tasks;
 * of a gang's, each may hold it all.
 */
export function speedGroups(
  slots: readonly WorkerSlot[],
  options: SpeedGroupOptions,
): (readonly WorkerSlot[])[] {
  const { step, need, rules, pool = slots } = options;
  const slowInPool = pool.filter(isSlow);
  const areTreatedAlike = slowInPool.length === 0 ||
    slowInPool.length > pool.length * SLOW_WORKERS_SHARE_LIMIT;
  if (areTreatedAlike) {
    return [slots];
  }
  const slow = slots.filter(isSlow);
  const normal = slots.filter((slot) => !isSlow(slot));
  const extraMs = extraTimeMs(slowInPool, need.estimateMs);
  const isOnTimeOnSlow = need.slackMs >= extraMs;
  const normalInPool = pool.filter((slot) => !isSlow(slot));
  const mayWait = waitsForClass(normalInPool, extraMs, options);
  if (rules.avoidsSlow && !isOnTimeOnSlow && mayWait) {
    return [normal];
  }
  const slowFirst = rules.takesSlowFirst && isOnTimeOnSlow && !need.isUrgent;
  const ordered = slowFirst ? [slow, normal] : [normal, slow];
  if (!step.isGang) {
    return rules.avoidsSlow || slowFirst ? ordered : [slots];
  }
  if (!rules.keepsGangsTogether) {
    return slowFirst ? [slow, slots] : [slots];
  }
  return mayWait ? ordered : [...ordered, slots];
}

function isSlow({ slowSpeed }: WorkerSlot): boolean {
  return slowSpeed !== undefined;
}

/** By how much longer work takes on the slow workers, on average. */
function extraTimeMs(slow: readonly WorkerSlot[], estimateMs: number): number {
  const factors = slow.reduce((sum, { slowSpeed }) => sum + 1 / slowSpeed!, 0);
  return estimateMs * (factors / slow.length - 1);
}

/**
 * Whether a unit waits for workers of one class. Nobody knows how long that
 * takes: it waits no longer than it would lose on slow workers, so that the wait
 * costs at most as much again, and shorter beside a mostly free pool. Work that
 * the normal workers couldn't hold even when empty doesn't wait.
 */
function waitsForClass(
  normal: readonly WorkerSlot[],
  extraMs: number,
  options: SpeedGroupOptions,
): boolean {
  const { need, step, tasks, mayUseOtherRacks } = options;
  const limitMs = Math.min(extraMs, need.waitLimitMs ?? Infinity);
  if (need.mustStart || need.waitedMs >= limitMs) {
    return false;
  }
  const most = Math.min(tasks, step.tasksPerWorkerLimit ?? Infinity);
  const byRack = new Map<string, number>();
  const needsRack = !mayUseOtherRacks &&
    (step.prefersOneRack || step.dataRack !== undefined);
  for (const { worker } of normal) {
    if (step.dataRack === undefined || worker.rack === step.dataRack) {
      const rack = needsRack ? worker.rack : "";
      const count = countFitting(step.demand, worker.capacity, most);
      byRack.set(rack, (byRack.get(rack) ?? 0) + count);
    }
  }
  return Math.max(0, ...byRack.values()) >= (step.isGang ? tasks : 1);
}
