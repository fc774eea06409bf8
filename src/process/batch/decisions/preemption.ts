/**
 * What has to stop so that urgent work can start: the runs whose stop throws
 * the least away.
 *
 * @module
 */

import type { StepSpec } from "../job_spec.ts";
import type { JobRecord } from "../job_record.ts";
import type { QueueConfiguration } from "../pool_configuration.ts";
import {
  countFitting,
  giveBack,
  isEligible,
  type OpenRun,
  type WorkerSlot,
} from "./pool_view.ts";
import { groupByRack } from "./placement.ts";
import { coreSeconds } from "./rank.ts";
import type { WorkUnit } from "./work_unit.ts";

/** Which runs may be stopped for a unit, and which are being stopped. */
export interface StopRules {
  readonly mayStop: (job: JobRecord) => boolean;
  readonly isStopping: (run: OpenRun) => boolean;
  readonly nowMs: number;
}

/** What stopping one run throws away, in core-seconds. */
function lossOf(run: OpenRun, rules: StopRules): number {
  if (rules.isStopping(run)) {
    return 0;
  }
  const spec = run.job.spec.steps[run.step]!;
  const ranMs = spec.isCheckpointing
    ? CHECKPOINT_LOSS_MS
    : Math.max(0, rules.nowMs - run.startedAtMs);
  const tasks = spec.isGang ? spec.taskCount : 1;
  return coreSeconds(spec.demand, { tasks, estimateMs: ranMs });
}

/** Work that a stop after a checkpoint costs: the resume. */
const CHECKPOINT_LOSS_MS = 300;

/** The runs to stop, or undefined where no stops would make enough room. */
export function chooseStops(
  slots: readonly WorkerSlot[],
  unit: WorkUnit,
  rules: StopRules,
): OpenRun[] | undefined {
  const eligible = slots.filter((slot) =>
    slot.isUsable && isEligible(unit.spec, slot.worker)
  );
  const groups = unit.spec.prefersOneRack
    ? [...groupByRack(eligible).values(), eligible]
    : [eligible];
  let best: { stops: OpenRun[]; loss: number } | undefined;
  for (const [position, group] of groups.entries()) {
    const isFallback = unit.spec.prefersOneRack &&
      position === groups.length - 1;
    if (isFallback && best !== undefined) {
      break;
    }
    const found = clearGroup(group, unit, rules);
    if (found !== undefined && (best === undefined || found.loss < best.loss)) {
      best = found;
    }
  }
  return best?.stops;
}

/** Clears workers in the order of their loss for each task that then fits. */
function clearGroup(
  slots: readonly WorkerSlot[],
  unit: WorkUnit,
  rules: StopRules,
): { stops: OpenRun[]; loss: number } | undefined {
  const needed = unit.waiting.length;
  const offers = slots.map((slot) => clearWorker(slot, unit.spec, rules));
  offers.sort((a, b) => a.loss / a.gain - b.loss / b.gain);
  let room = slots.reduce(
    (sum, slot) => sum + countFitting(unit.spec.demand, slot.free, needed),
    0,
  );
  const stops: OpenRun[] = [];
  let loss = 0;
  for (const offer of offers) {
    if (room >= needed) {
      break;
    }
    if (offer.gain > 0) {
      room += offer.gain;
      loss += offer.loss;
      stops.push(...offer.stops);
    }
  }
  return room >= needed ? { stops, loss } : undefined;
}

interface Offer {
  readonly stops: readonly OpenRun[];
  readonly loss: number;
  /** How many more tasks fit afterwards. */
  readonly gain: number;
}

/** Stops on one worker, cheapest first, until one more task fits, and on. */
function clearWorker(
  slot: WorkerSlot,
  spec: StepSpec,
  rules: StopRules,
): Offer {
  const before = countFitting(spec.demand, slot.free, Infinity);
  const stoppable = slot.runs
    .filter((run) => rules.isStopping(run) || rules.mayStop(run.job))
    .sort((a, b) => lossOf(a, rules) - lossOf(b, rules));
  const scratch: WorkerSlot = { ...slot, free: { ...slot.free } };
  const stops: OpenRun[] = [];
  let best: Offer = { stops: [], loss: 0, gain: 0 };
  let loss = 0;
  for (const run of stoppable) {
    stops.push(run);
    loss += lossOf(run, rules);
    giveBack(scratch, run.job.spec.steps[run.step]!.demand);
    const gain = countFitting(spec.demand, scratch.free, Infinity) - before;
    if (gain > best.gain) {
      best = { stops: [...stops], loss, gain };
    }
  }
  return best;
}

/** Whether a queue's work may stop that of another. */
export function mayPreempt(
  urgent: QueueConfiguration,
  other: QueueConfiguration | undefined,
): boolean {
  return urgent.priority === 0 && (other?.priority ?? 0) > 0;
}
