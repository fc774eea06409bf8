/**
 * Plans over all waiting work: which tasks start on which workers, and which
 * runs are stopped to make room. A pure function of its input; the leader
 * commits the starts and orders the stops.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../../base/identity.ts";
import type { BatchItem, TaskRef, WorkerKey } from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import { AccountHeadroom } from "./account_headroom.ts";
import { SharePass, type ShareStandings } from "./account_shares.ts";
import { guaranteedJobs } from "./guarantee.ts";
import { PreemptionTurns } from "./preemption_turns.ts";
import { planPreemption } from "./unit_preemption.ts";
import { PoolView, taskRefOf, type WorkerCondition } from "./pool_view.ts";
import type { SpeedRules } from "./speed_preference.ts";
import { StopWeighing } from "./stop_worth.ts";
import { rankedUnits } from "./unit_order.ts";
import { placeUnit } from "./unit_placement.ts";
import { mustWait } from "./urgent_reserve.ts";
import type { WorkUnit } from "./work_unit.ts";

/** A start of tasks of one step. */
export type StartItem = Extract<BatchItem, { kind: "start" }>;

/** The planner's input. */
export interface PlannerInput {
  readonly state: BatchState;
  readonly nowMs: number;
  /**
   * Unix time by the machine's time of day; by default `nowMs`. An occurrence is
   * due only by both: `nowMs` stays ahead of a time of day that was set forward
   * and back, and the time of day may be set forward now.
   */
  readonly timeOfDayMs?: number;
  readonly condition: (key: WorkerKey) => WorkerCondition;
  /** Workers on which earlier runs of the task failed. */
  readonly failedOn: (task: TaskRef) => ReadonlySet<WorkerKey> | undefined;
  /** Runs that are being stopped already. */
  readonly isStopping: (task: TaskRef) => boolean;
  /** The standings of the client accounts; by default only their present use. */
  readonly shares?: ShareStandings | undefined;
  /** How known slow workers are used; by default {@link SPEED_RULES}. */
  readonly speedRules?: SpeedRules;
}

/** The planner's parameters; see {@link PLANNER_DEFAULTS}. */
export interface PlannerOptions {
  /**
   * The share of the usable accelerators that less urgent work keeps free for
   * urgent work while it can still wait.
   */
  readonly urgentReserveShare?: number;
  /**
   * The share of the usable accelerators that less urgent work keeps free even
   * when it can't wait any more. Work on the last free accelerators would be
   * preempted within a second or two, and all that it did would be lost.
   */
  readonly urgentFloorShare?: number;
  /** Work can wait while more than this share of its slack is left. */
  readonly slackShareToWait?: number;
  /**
   * How long a guaranteed job waits for capacity in its preferred rack, before
   * it also preempts urgent work beyond a guarantee and uses other racks: the
   * guarantee limits the time until it starts.
   */
  readonly guaranteeWaitMs?: number;
  /** Whether urgent jobs beyond a guarantee may preempt less urgent work. */
  readonly stopsForAllUrgent?: boolean;
  /**
   * For which urgent jobs beyond a guarantee only work is preempted whose loss
   * costs less than their being late.
   */
  readonly stopWeighing?: StopWeighing;
}

/** The defaults; see docs/design/batch_policy.md. */
export const PLANNER_DEFAULTS = {
  urgentReserveShare: 0.3,
  urgentFloorShare: 0.15,
  slackShareToWait: 0.5,
  guaranteeWaitMs: 1_800,
  stopsForAllUrgent: true,
  stopWeighing: StopWeighing.whereConfigured,
} as const satisfies PlannerOptions;

/** A run to stop so that more urgent work can start. */
export interface PlannedStop extends TaskRef {
  /** The job that gets the capacity. */
  readonly forJobId: JobId;
  /** What it costs the caller of the stopped job; its stops share the cost. */
  readonly cost: number;
}

/** What the planner decided. */
export interface Plan {
  readonly starts: readonly StartItem[];
  readonly stops: readonly PlannedStop[];
  /** The client accounts whose limit holds waiting tasks back; none if absent. */
  readonly accountsHeldBack?: ReadonlySet<ClientAccountId>;
}

/**
 * Maximum number of tasks that one pass starts, but for the last unit: calls and
 * renewals are handled between passes.
 */
const STARTS_PER_PASS_LIMIT = 1_024;

/** Maximum number of open runs; limits memory and the size of reports. */
const OPEN_RUNS_LIMIT = 20_000;

/** The share of these that work without priority 0 may have. */
const LESS_URGENT_RUNS_SHARE = 0.8;

/**
 * Plans the starts that are possible now, the most urgent first. When there are
 * more than one pass makes, the others are left to the next passes.
 */
export function plan(
  given: PlannerInput,
  options: PlannerOptions = {},
): Plan {
  const settings = { ...PLANNER_DEFAULTS, ...options };
  const { state } = given;
  const index = state.inForce?.index;
  if (index === undefined) {
    return { starts: [], stops: [] };
  }
  const guaranteedIds = guaranteedJobs(state);
  const view = new PoolView({
    ...given,
    // No unit preempts guaranteed jobs.
    isStoppable: (run) =>
      !guaranteedIds.has(run.job.id) || given.isStopping(taskRefOf(run)),
  });
  const input = { ...given, guaranteedIds };
  const units = rankedUnits(input, guaranteedIds);
  const { nowMs } = input;
  const starts: StartItem[] = [];
  const stops: PlannedStop[] = [];
  let startsLeft = STARTS_PER_PASS_LIMIT;
  let openRunsLeft = OPEN_RUNS_LIMIT - view.openRuns;
  const reservedRuns = OPEN_RUNS_LIMIT * (1 - LESS_URGENT_RUNS_SHARE);
  const headroom = new AccountHeadroom({ state });
  const shares = SharePass.begin({ ...input, headroom, view, guaranteedIds });
  const push = (unit: WorkUnit, start: StartItem) => {
    starts.push(start);
    headroom.start(unit, start.tasks.length);
    shares?.charge(unit, start.tasks.length);
    startsLeft -= start.tasks.length;
    openRunsLeft -= start.tasks.length;
  };
  const turns = new PreemptionTurns({
    units: units.length,
    stoppableRuns: view.stoppableRuns,
    nowMs,
  });
  let position = 0;
  for (const unit of shares?.order(units) ?? units) {
    position += 1;
    if (startsLeft <= 0) {
      break;
    }
    if (openRunsLeft <= (unit.queue.priority === 0 ? 0 : reservedRuns)) {
      continue;
    }
    const hasUrgentQueue = index.hasUrgentQueue(unit.queue.service);
    if (hasUrgentQueue && mustWait(view, unit, { settings, nowMs })) {
      continue;
    }
    const unitNow = headroom.within(unit);
    const start = unitNow &&
      placeUnit(view, unitNow, { ...input, mayUseOtherRacks: false });
    if (start !== undefined) {
      push(unit, start);
    }
    if (start?.tasks.length === unit.waiting.length) {
      continue;
    }
    const rest = headroom.restOf(unit, start?.tasks ?? []);
    const partialPlan = planPreemption(rest, {
      ...input,
      view,
      headroom,
      accountShares: shares,
      guaranteedIds,
      settings,
      index,
      mayLook: () => turns.take(position),
    });
    partialPlan?.starts.forEach((more) => push(unit, more));
    stops.push(...partialPlan?.stops ?? []);
  }
  return { starts, stops, accountsHeldBack: headroom.heldBack };
}
