/**
 * What has to stop so that urgent work can start: the runs whose stop throws
 * the least away.
 *
 * For bursts of urgent jobs while their client account's guaranteed
 * accelerators are lent to less urgent work.
 *
 * @module
 */

import type { JobRecord } from "../job_record.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import { giveBack, type OpenRun, type WorkerSlot } from "./pool_view.ts";
import { groupByRack } from "./placement.ts";
import { coreSeconds } from "./rank.ts";

/** Which runs may be stopped for a unit, and which are being stopped. */
export interface StopRules {
  readonly mayStop: (job: JobRecord) => boolean;
  readonly isStopping: (run: OpenRun) => boolean;
  /** Whether the unit fits on these slots as a whole. */
  readonly fits: (slots: readonly WorkerSlot[]) => boolean;
  /** Whether the unit is better off in one rack. */
  readonly prefersOneRack: boolean;
  readonly nowMs: number;
}

/** Work that a stop after a checkpoint costs: the resume. */
const CHECKPOINT_LOSS_MS = 300;

/** Runs that end together: one task's, or those of a whole gang. */
interface Victim {
  readonly runs: OpenRun[];
  /** Core-seconds that a stop throws away. */
  loss: number;
}

interface Choice {
  readonly runs: readonly OpenRun[];
  readonly loss: number;
}

/** The runs to stop, or undefined where no stops would make enough room. */
export function chooseStops(
  slots: readonly WorkerSlot[],
  rules: StopRules,
): readonly OpenRun[] | undefined {
  const usable = slots.filter((slot) => slot.isUsable);
  const victims = listVictims(slots, rules);
  if (rules.prefersOneRack) {
    const choices = [...groupByRack(usable).values()]
      .map((rack) => chooseIn(rack, victims, rules))
      .filter((choice) => choice !== undefined)
      .sort((a, b) => a.loss - b.loss);
    if (choices[0] !== undefined) {
      return choices[0].runs;
    }
  }
  return chooseIn(usable, victims, rules)?.runs;
}

/** The cheapest choice found that makes room on these slots. */
function chooseIn(
  slots: readonly WorkerSlot[],
  victims: readonly Victim[],
  rules: StopRules,
): Choice | undefined {
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
  const chosen = dropNeedless(useful.slice(0, count), wouldFit);
  return {
    runs: chosen.flatMap((victim) => victim.runs),
    loss: chosen.reduce((sum, victim) => sum + victim.loss, 0),
  };
}

/** The least number that fits, where `limit` does and more never fit less. */
function fewestThatFit(
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

/** Leaves out, the dearest first, what isn't needed for the room. */
function dropNeedless(
  chosen: readonly Victim[],
  wouldFit: (stopped: readonly Victim[]) => boolean,
): readonly Victim[] {
  let kept = [...chosen];
  const byLoss = [...chosen].sort((a, b) => b.loss - a.loss);
  for (const victim of byLoss) {
    const fewer = kept.filter((other) => other !== victim);
    if (wouldFit(fewer)) {
      kept = fewer;
    }
  }
  return kept;
}

function listVictims(
  slots: readonly WorkerSlot[],
  rules: StopRules,
): Victim[] {
  const victims = new Map<string, Victim>();
  for (const run of slots.flatMap((slot) => slot.runs)) {
    const { job, occurrence, step, index } = run;
    if (rules.isStopping(run) || rules.mayStop(job)) {
      const isGang = job.spec.steps[step]!.isGang;
      const member = isGang ? "all" : index;
      const name = `${job.id}.${occurrence}.${step}.${member}`;
      const victim = victims.get(name) ?? { runs: [], loss: 0 };
      victim.runs.push(run);
      victim.loss += lossOf(run, rules);
      victims.set(name, victim);
    }
  }
  return [...victims.values()];
}

/** What stopping one run throws away, in core-seconds. */
function lossOf(run: OpenRun, rules: StopRules): number {
  if (rules.isStopping(run)) {
    return 0;
  }
  const spec = run.job.spec.steps[run.step]!;
  const ranMs = spec.isCheckpointing
    ? CHECKPOINT_LOSS_MS
    : Math.max(CHECKPOINT_LOSS_MS, rules.nowMs - run.startedAtMs);
  return coreSeconds(spec.demand, { tasks: 1, estimateMs: ranMs });
}

/** How much a victim frees on some workers, in core-seconds a second. */
function freedOn(victim: Victim, keys: ReadonlySet<string>): number {
  return victim.runs
    .filter((run) => keys.has(run.worker))
    .reduce((sum, { job, step }) => {
      const { demand } = job.spec.steps[step]!;
      return sum + coreSeconds(demand, { tasks: 1, estimateMs: 1_000 });
    }, 0);
}

/** Copies of the slots on which the victims no longer run. */
function withoutRuns(
  slots: readonly WorkerSlot[],
  stopped: readonly Victim[],
): WorkerSlot[] {
  const copies = slots.map((slot) => ({ ...slot, free: { ...slot.free } }));
  const byKey = new Map(copies.map((slot) => [slot.key, slot]));
  for (const run of stopped.flatMap((victim) => victim.runs)) {
    const slot = byKey.get(run.worker);
    if (slot !== undefined) {
      giveBack(slot, run.job.spec.steps[run.step]!.demand);
    }
  }
  return copies;
}

/** Whether a queue's work may stop that of another. */
export function mayPreempt(
  urgent: QueueConfiguration,
  other: QueueConfiguration | undefined,
): boolean {
  return urgent.priority === 0 && (other?.priority ?? 0) > 0;
}
