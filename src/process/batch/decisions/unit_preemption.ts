/**
 * Chooses the runs to stop, or the racks to use, for a unit that can't start as
 * it is: urgent work beside less urgent work, and guaranteed jobs.
 *
 * @module
 */

import type { JobRecord } from "../job_record.ts";
import type { ConfigurationIndex } from "../pool_configuration.ts";
import { preemptOwnRuns } from "./account_preemption.ts";
import type { AccountHeadroom } from "./account_headroom.ts";
import type { SharePass } from "./account_shares.ts";
import { placeTasks } from "./placement.ts";
import type {
  Plan,
  PlannedStop,
  PlannerInput,
  PlannerOptions,
} from "./planner.ts";
import { type OpenRun, type PoolView, taskRefOf } from "./pool_view.ts";
import { chooseStops, mayPreempt } from "./preemption.ts";
import { waitedMs } from "./rack_wait.ts";
import { hasSlackLeft } from "./slack.ts";
import { areWorthwhile, costsOfStops, weighsStopsFor } from "./stop_worth.ts";
import { type PlacementInput, placeUnit, requestOf } from "./unit_placement.ts";
import type { WorkUnit } from "./work_unit.ts";

/** The state of a planning pass that preemption depends on. */
export interface PassContext extends PlannerInput {
  readonly view: PoolView;
  readonly headroom: AccountHeadroom;
  /** Undefined without weights. */
  readonly accountShares: SharePass | undefined;
  readonly guaranteedIds: ReadonlySet<string>;
  readonly settings: Required<PlannerOptions>;
  readonly index: ConfigurationIndex;
  /** Whether the pass may look for runs to stop for the unit. */
  readonly mayLook: () => boolean;
}

/**
 * Plans stops for a unit that can't start as it is. Runs of other accounts are
 * preempted only for tasks that are within the unit's account limit.
 */
export function planPreemption(
  unit: WorkUnit,
  context: PassContext,
): Plan | undefined {
  const { view, headroom, guaranteedIds } = context;
  const options = preemptionOptions(unit, context);
  if (options.length === 0) {
    return undefined;
  }
  const unitNow = headroom.within(unit);
  // Urgent tasks within the limit go first: they need no stop of their own account.
  const isHeldBack = unitNow === undefined ||
    (unitNow !== unit && guaranteedIds.has(unit.job.id));
  if (isHeldBack && context.mayLook()) {
    const plan = planPreemptionInAccount(unit, { ...context, options });
    if (plan !== undefined) {
      return plan;
    }
  }
  for (const option of unitNow === undefined ? [] : options) {
    if (!context.mayLook()) {
      return undefined;
    }
    const plan = tryPreemption(view, unitNow!, { ...context, ...option });
    if (plan !== undefined) {
      return plan;
    }
  }
  return undefined;
}

/**
 * Preempts other runs of the unit's account, which is at its limit, and further
 * runs if workers have no capacity either. A guaranteed job may stop all runs
 * beyond the guarantee; other urgent work only what it may preempt elsewhere.
 */
function planPreemptionInAccount(
  unit: WorkUnit,
  context: PassContext & { options: readonly PreemptionOption[] },
): Plan | undefined {
  const { view, condition, guaranteedIds, options } = context;
  const isStopping = (run: OpenRun) => context.isStopping(taskRefOf(run));
  const isGuaranteed = guaranteedIds.has(unit.job.id);
  const preemption = preemptOwnRuns(view, unit, {
    ...context,
    mayStop: (job) =>
      isGuaranteed
        ? !guaranteedIds.has(job.id)
        : options.some(({ mayStop }) => mayStop(job)),
    isStopping,
    isReachable: ({ key }) => condition(key).isReachable,
    reserveWorkers: (part) => {
      for (const option of options) {
        const runs = reserveWorkers(view, part, { ...context, ...option });
        if (runs !== undefined) {
          return runs;
        }
      }
      return undefined;
    },
  });
  return preemption && {
    starts: [],
    stops: reserveRoom(preemption.unit, preemption.runs, context),
  };
}

/** A way to make room for a unit that doesn't fit. */
interface PreemptionOption {
  /** Whether the job's runs may be stopped for the unit. */
  readonly mayStop: (job: JobRecord) => boolean;
  readonly mayUseOtherRacks: boolean;
  /** Whether the stops may cost no more than the unit's being late. */
  readonly weighsStops: boolean;
}

/**
 * The ways to make room for a unit, in the order tried. Less urgent work is
 * preempted first. A guaranteed job that has to start now may then preempt any
 * work beyond a guarantee, urgent work too, and last use other racks.
 */
function preemptionOptions(
  unit: WorkUnit,
  { guaranteedIds, settings, nowMs, index, accountShares }: PassContext,
): PreemptionOption[] {
  const isGuaranteed = guaranteedIds.has(unit.job.id);
  const canPreempt = isGuaranteed ||
    (settings.stopsForAllUrgent && unit.queue.priority === 0 &&
      hasSlackLeft(unit, 0, nowMs));
  if (!canPreempt) {
    return [];
  }
  const isBeyondGuarantee = (job: JobRecord) => !guaranteedIds.has(job.id);
  const shareRule = isGuaranteed
    ? undefined
    : accountShares?.preemptionRule(unit);
  const isLessUrgent = (job: JobRecord) =>
    isBeyondGuarantee(job) &&
    mayPreempt(unit.queue, index.queueNamed(job.queue)) &&
    shareRule?.(job) !== false;
  const mustStartNow = isGuaranteed &&
    waitedMs(unit, nowMs) > settings.guaranteeWaitMs;
  const weighsStops = !isGuaranteed &&
    weighsStopsFor(unit.queue, settings.stopWeighing);
  const mayStop = isBeyondGuarantee;
  return [
    { mayStop: isLessUrgent, mayUseOtherRacks: false, weighsStops },
    ...(mustStartNow
      ? [
        { mayStop, mayUseOtherRacks: false, weighsStops },
        { mayStop, mayUseOtherRacks: true, weighsStops },
      ]
      : []),
  ];
}

/**
 * Starts a gang in several racks if that is allowed and it fits there, or else
 * chooses runs to stop for the unit.
 */
function tryPreemption(
  view: PoolView,
  unit: WorkUnit,
  input: PassContext & PreemptionOption,
): Plan | undefined {
  if (input.mayUseOtherRacks && unit.spec.isGang) {
    const start = placeUnit(view, unit, input);
    if (start !== undefined) {
      return { starts: [start], stops: [] };
    }
  }
  const runs = reserveWorkers(view, unit, input);
  return runs && { starts: [], stops: reserveRoom(unit, runs, input) };
}

/**
 * Chooses the runs to stop for a unit and reserves their capacity for it in the
 * view; undefined if no stops would make enough room. Capacity that the unit
 * leaves over stays allocated, since the runs still occupy it.
 */
function reserveWorkers(
  view: PoolView,
  unit: WorkUnit,
  input: PlacementInput & PreemptionOption,
): readonly OpenRun[] | undefined {
  const { nowMs, mayStop } = input;
  const isStopping = (run: OpenRun) => input.isStopping(taskRefOf(run));
  const request = requestOf(view, unit, input);
  const chosen = chooseStops(view.ofService(unit.queue.service), {
    nowMs,
    mayStop,
    isStopping,
    prefersOneRack: unit.spec.prefersOneRack,
    fits: (slots) => placeTasks(slots, request).length === unit.waiting.length,
  });
  if (chosen === undefined) {
    return undefined;
  }
  const stops = chosen.filter((run) => !isStopping(run));
  const costs = costsOfStops(unit, stops, input);
  if (input.weighsStops && !areWorthwhile(costs, unit, nowMs)) {
    return undefined;
  }
  chosen.forEach((run) => view.release(run));
  placeUnit(view, unit, input);
  chosen.forEach((run) => view.reallocate(run));
  return chosen;
}

/** Reserves account room for a unit, and returns the stops to order for it. */
function reserveRoom(
  unit: WorkUnit,
  runs: readonly OpenRun[],
  context: PassContext,
): PlannedStop[] {
  const { headroom, accountShares, isStopping } = context;
  headroom.reserve(unit, runs);
  accountShares?.charge(unit, unit.waiting.length);
  const stops = runs.filter((run) => !isStopping(taskRefOf(run)));
  const costs = costsOfStops(unit, stops, context);
  return stops.map((run) => {
    const { cost, runs: jobRuns } = costs.get(run.job.id)!;
    return { ...taskRefOf(run), forJobId: unit.job.id, cost: cost / jobRuns };
  });
}
