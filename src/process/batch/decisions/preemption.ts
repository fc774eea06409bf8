/**
 * Chooses which runs to stop so that urgent work can start: those whose stop
 * loses the least work.
 *
 * Less urgent work may use a client account's guaranteed accelerators; a burst
 * of urgent jobs of that account needs them back.
 *
 * @module
 */

import type { JobRecord } from "../job_record.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import { discardedCoreSeconds } from "./delay_cost.ts";
import { coreSeconds } from "./job_work.ts";
import { deallocate, type OpenRun, type WorkerSlot } from "./pool_view.ts";
import { groupByRack } from "./placement.ts";

/** Which runs may be stopped for a unit, and when the unit fits. */
export interface StopRules {
  readonly mayStop: (job: JobRecord) => boolean;
  /**
   * Whether the run is being stopped already, so that its stop costs nothing.
   */
  readonly isStopping: (run: OpenRun) => boolean;
  /** Whether all tasks of the unit fit on these slots. */
  readonly fits: (slots: readonly WorkerSlot[]) => boolean;
  /** Whether the unit runs faster within one rack. */
  readonly prefersOneRack: boolean;
  readonly nowMs: number;
}

/** Runs that are stopped together: one task's run, or all runs of a gang. */
export interface Victim {
  readonly runs: OpenRun[];
  /** Core-seconds of work lost by stopping the runs. */
  loss: number;
}

interface StopChoice {
  readonly runs: readonly OpenRun[];
  readonly loss: number;
}

/**
 * The runs to stop, which may include runs that are being stopped already;
 * undefined if stopping all allowed runs isn't enough.
 */
export function chooseStops(
  slots: readonly WorkerSlot[],
  rules: StopRules,
): readonly OpenRun[] | undefined {
  const usable = slots.filter((slot) => slot.isUsable);
  const victims = listVictims(slots, rules);
  if (rules.prefersOneRack) {
    const victimsByRack = groupVictimsByRack(usable, victims);
    const choices = [...groupByRack(usable)]
      .map(([rack, group]) =>
        chooseStopsOn(group, victimsByRack.get(rack) ?? [], rules)
      )
      .filter((choice) => choice !== undefined)
      .sort((a, b) => a.loss - b.loss);
    if (choices[0] !== undefined) {
      return choices[0].runs;
    }
  }
  return chooseStopsOn(usable, victims, rules)?.runs;
}

/** The victims that have runs in each rack, in the order given. */
function groupVictimsByRack(
  slots: readonly WorkerSlot[],
  victims: readonly Victim[],
): Map<string, Victim[]> {
  const rackOf = new Map(slots.map(({ key, worker }) => [key, worker.rack]));
  const byRack = new Map<string, Victim[]>();
  for (const victim of victims) {
    const racks = new Set(victim.runs.map(({ worker }) => rackOf.get(worker)));
    for (const rack of racks) {
      if (rack !== undefined) {
        const inRack = byRack.get(rack) ?? [];
        inRack.push(victim);
        byRack.set(rack, inRack);
      }
    }
  }
  return byRack;
}

/**
 * Chooses victims on these slots by the least loss for what they free. The
 * choice is greedy, so that a cheaper one may exist.
 */
function chooseStopsOn(
  slots: readonly WorkerSlot[],
  victims: readonly Victim[],
  rules: StopRules,
): StopChoice | undefined {
  const keys = new Set(slots.map((slot) => slot.key));
  const useful = victims
    .map((victim) => ({ victim, freed: freedOn(victim, keys) }))
    .filter(({ freed }) => freed > 0)
    .sort((a, b) => a.victim.loss / a.freed - b.victim.loss / b.freed)
    .map(({ victim }) => victim);
  const wouldFit = (stopped: readonly Victim[]) =>
    rules.fits(withoutRuns(slots, stopped));
  if (!wouldFit(useful)) {
    return undefined;
  }
  const count = fewestThatFit(
    useful.length,
    (first) => wouldFit(useful.slice(0, first)),
  );
  const chosen = dropUnneeded(useful.slice(0, count), wouldFit);
  return {
    runs: chosen.flatMap((victim) => victim.runs),
    loss: chosen.reduce((sum, victim) => sum + victim.loss, 0),
  };
}

/**
 * The smallest count that fits, by galloping and binary search. Expects that
 * `limit` fits, and that every count above a fitting one fits too.
 */
export function fewestThatFit(
  limit: number,
  fitsWith: (count: number) => boolean,
): number {
  let tooFew = -1;
  let enough = limit;
  for (let step = 1; tooFew + step < enough; step *= 2) {
    if (fitsWith(tooFew + step)) {
      enough = tooFew + step;
    } else {
      tooFew += step;
    }
  }
  while (enough - tooFew > 1) {
    const middle = Math.floor((tooFew + enough) / 2);
    if (fitsWith(middle)) {
      enough = middle;
    } else {
      tooFew = middle;
    }
  }
  return enough;
}

/** Maximum number of victims that are looked at one by one. */
const DROP_TRIES_LIMIT = 256;

/**
 * Drops victims that aren't needed for the unit to fit, highest loss first. Of
 * thousands only those with the highest loss are tried: calls wait meanwhile.
 */
export function dropUnneeded(
  chosen: readonly Victim[],
  wouldFit: (stopped: readonly Victim[]) => boolean,
): readonly Victim[] {
  let kept = [...chosen];
  const byLoss = [...chosen].sort((a, b) => b.loss - a.loss);
  for (const victim of byLoss.slice(0, DROP_TRIES_LIMIT)) {
    const fewer = kept.filter((other) => other !== victim);
    if (wouldFit(fewer)) {
      kept = fewer;
    }
  }
  return kept;
}

/** The runs that may be stopped, those of a gang together. */
export function listVictims(
  slots: readonly WorkerSlot[],
  rules: StopRules,
): Victim[] {
  const victims = new Map<string, Victim>();
  for (const run of slots.flatMap((slot) => slot.runs)) {
    const { job, occurrence, step, index } = run;
    if (rules.isStopping(run) || rules.mayStop(job)) {
      const isGang = job.spec.steps[step]!.isGang;
      const member = isGang ? "all" : index;
      const key = `${job.id}.${occurrence}.${step}.${member}`;
      const victim = victims.get(key) ?? { runs: [], loss: 0 };
      victim.runs.push(run);
      victim.loss += lossOf(run, rules);
      victims.set(key, victim);
    }
  }
  return [...victims.values()];
}

/** Core-seconds of work lost by stopping one run. */
function lossOf(run: OpenRun, rules: StopRules): number {
  if (rules.isStopping(run)) {
    return 0;
  }
  const spec = run.job.spec.steps[run.step]!;
  return discardedCoreSeconds(spec, rules.nowMs - run.startedAtMs);
}

/** Cores, accelerators included, that a victim's stop frees on some workers. */
function freedOn(victim: Victim, keys: ReadonlySet<string>): number {
  return victim.runs
    .filter((run) => keys.has(run.worker))
    .reduce((sum, { job, step }) => {
      const { demand } = job.spec.steps[step]!;
      return sum + coreSeconds(demand, { tasks: 1, estimateMs: 1_000 });
    }, 0);
}

/** Copies of the slots with the victims' demand freed. */
function withoutRuns(
  slots: readonly WorkerSlot[],
  stopped: readonly Victim[],
): WorkerSlot[] {
  const copies = slots.map((slot) => ({ ...slot, free: { ...slot.free } }));
  const byKey = new Map(copies.map((slot) => [slot.key, slot]));
  for (const run of stopped.flatMap((victim) => victim.runs)) {
    const slot = byKey.get(run.worker);
    if (slot !== undefined) {
      deallocate(slot, run.job.spec.steps[run.step]!.demand);
    }
  }
  return copies;
}

/** Whether one queue may preempt another; not if the other is unknown. */
export function mayPreempt(
  urgent: QueueConfiguration,
  other: QueueConfiguration | undefined,
): boolean {
  return urgent.priority === 0 && (other?.priority ?? 0) > 0;
}
