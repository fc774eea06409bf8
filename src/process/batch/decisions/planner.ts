/**
 * One look over all that waits: what starts where, and what is stopped to make
 * room. Pure; the leader commits and carries out what comes of it.
 *
 * @module
 */

import type { BatchItem, TaskRef, WorkerKey } from "../batch_command.ts";
import type { BatchState } from "../batch_state.ts";
import { dueAtMs, type JobRecord } from "../job_record.ts";
import type { ConfigurationIndex } from "../pool_configuration.ts";
import { guaranteedJobs } from "./guarantee.ts";
import { type PlacementRequest, placeTasks } from "./placement.ts";
import { type OpenRun, PoolView, type WorkerCondition } from "./pool_view.ts";
import { chooseStops, mayPreempt } from "./preemption.ts";
import { mayLeaveRack, waitedMs } from "./rack_patience.ts";
import { chainMs, objectiveMs, urgency } from "./rank.ts";
import { waitingUnits, type WorkUnit } from "./work_unit.ts";

/** A start of tasks of one step. */
export type StartItem = Extract<BatchItem, { kind: "start" }>;

/** What the planner is given. */
export interface PlannerInput {
  readonly state: BatchState;
  readonly nowMs: number;
  readonly condition: (key: WorkerKey) => WorkerCondition;
  /** Workers on which earlier runs of the task failed. */
  readonly failedOn: (task: TaskRef) => ReadonlySet<WorkerKey> | undefined;
  /** Runs that are being stopped already. */
  readonly isStopping: (task: TaskRef) => boolean;
}

/** How the planner weighs things; see {@link PLANNER_DEFAULTS}. */
export interface PlannerOptions {
  /**
   * The share of the accelerators in use that is kept free for urgent work
   * while the rest can wait.
   */
  readonly urgentReserveShare?: number;
  /**
   * The share that work which can't wait any more leaves to urgent work. What
   * takes the last room is stopped for urgent work within a second or two, and
   * all that it did is thrown away.
   */
  readonly urgentFloorShare?: number;
  /** Work of that share of its objective's slack left can't wait any more. */
  readonly patienceShare?: number;
  /**
   * How long a covered job waits for a good place: the guarantee is about when
   * it begins.
   */
  readonly guaranteeWaitMs?: number;
  /** Whether urgent work beyond a guarantee may stop other work too. */
  readonly stopsForAllUrgent?: boolean;
}

/** The defaults; docs/design/batch_policy.md has the measurements. */
export const PLANNER_DEFAULTS = {
  urgentReserveShare: 0.3,
  urgentFloorShare: 0.15,
  patienceShare: 0.5,
  guaranteeWaitMs: 1_800,
  stopsForAllUrgent: true,
} as const satisfies PlannerOptions;

/** What the planner decided. */
export interface Plan {
  readonly starts: readonly StartItem[];
  /** Runs to stop so that more urgent work can start. */
  readonly stops: readonly TaskRef[];
}

/** Plans all starts that are possible now. */
export function plan(
  input: PlannerInput,
  options: PlannerOptions = {},
): Plan {
  const settings = { ...PLANNER_DEFAULTS, ...options };
  const { state } = input;
  const index = state.inForce?.index;
  if (index === undefined) {
    return { starts: [], stops: [] };
  }
  const view = new PoolView(input);
  const covered = guaranteedJobs(state);
  const units = rankedUnits(input, covered);
  const { nowMs } = input;
  const starts: StartItem[] = [];
  const stops: TaskRef[] = [];
  for (const unit of units) {
    const yields = index.hasUrgentQueue(unit.queue.service);
    if (yields && mustWait(view, unit, { settings, nowMs })) {
      continue;
    }
    const start = placeUnit(view, unit, { ...input, mayLeaveRack: false });
    if (start !== undefined) {
      starts.push(start);
    }
    if (start?.tasks.length === unit.waiting.length) {
      continue;
    }
    for (const way of waysToRoom(unit, { covered, settings, nowMs, index })) {
      const found = takeWay(view, unit, { ...input, ...way });
      if (found !== undefined) {
        starts.push(...found.starts);
        stops.push(...found.stops);
        break;
      }
    }
  }
  return { starts, stops };
}

function rankedUnits(
  { state, nowMs }: PlannerInput,
  covered: ReadonlySet<string>,
): WorkUnit[] {
  const index = state.inForce!.index;
  const ranked: { unit: WorkUnit; urgency: number }[] = [];
  for (const job of state.liveJobs.values()) {
    const queue = index.queueNamed(job.queue);
    if (queue === undefined) {
      continue;
    }
    for (const unit of waitingUnits(job, { queue, nowMs })) {
      ranked.push({
        unit,
        urgency: covered.has(job.id) ? Infinity : urgency(unit, nowMs),
      });
    }
  }
  ranked.sort((a, b) =>
    compare(b.urgency, a.urgency) ||
    a.unit.job.acceptedAtMs - b.unit.job.acceptedAtMs
  );
  return ranked.map(({ unit }) => unit);
}

/**
 * Whether less urgent work leaves its room to urgent work that may come: the
 * pool is nearly full, and the work has time or would take the last room.
 */
function mustWait(
  view: PoolView,
  unit: WorkUnit,
  { settings, nowMs }: { settings: Required<PlannerOptions>; nowMs: number },
): boolean {
  if (unit.queue.priority === 0) {
    return false;
  }
  const { total, free } = view.acceleratorsOf(unit.queue.service);
  const { accelerators } = unit.spec.demand;
  const needed = unit.spec.isGang
    ? accelerators * unit.waiting.length
    : accelerators;
  const leavesFree = (share: number) => free - needed >= total * share;
  if (hasTime(unit, settings.patienceShare, nowMs)) {
    return !leavesFree(settings.urgentReserveShare);
  }
  const { urgentFloorShare } = settings;
  const canEverLeaveIt = needed <= total * (1 - urgentFloorShare);
  return canEverLeaveIt && !unit.spec.isLasting &&
    !leavesFree(urgentFloorShare);
}

/** Whether more than a share of the slack in the objective is left. */
function hasTime(unit: WorkUnit, share: number, nowMs: number): boolean {
  const { job, queue } = unit;
  const beganMs = Math.max(dueAtMs(job, unit.occurrence), job.submittedAtMs);
  const chain = chainMs(job);
  const slackMs = objectiveMs(job, queue) - chain;
  const leftMs = beganMs + objectiveMs(job, queue) - nowMs - chain;
  return leftMs > slackMs * share;
}

/** Equal infinities compare as equal. */
function compare(left: number, right: number): number {
  return left === right ? 0 : left - right;
}

/** What placing a unit goes by. */
interface PlacingInput extends PlannerInput {
  /** Whether it takes a slower place though it hasn't waited for long. */
  readonly mayLeaveRack: boolean;
}

/** A way to room for a unit that finds none. */
interface WayToRoom {
  /** Which jobs' runs may be stopped for it. */
  readonly mayStop: (job: JobRecord) => boolean;
  readonly mayLeaveRack: boolean;
}

/**
 * The ways to room, the best first: less urgent work stops. A covered job that
 * has to begin now also takes room from urgent work beyond any guarantee, and
 * in the end a slower place.
 */
function waysToRoom(
  unit: WorkUnit,
  { covered, settings, nowMs, index }: {
    covered: ReadonlySet<string>;
    settings: Required<PlannerOptions>;
    nowMs: number;
    index: ConfigurationIndex;
  },
): WayToRoom[] {
  const isCovered = covered.has(unit.job.id);
  const mayMakeRoom = isCovered ||
    (settings.stopsForAllUrgent && unit.queue.priority === 0 &&
      hasTime(unit, 0, nowMs));
  if (!mayMakeRoom) {
    return [];
  }
  const isLent = (job: JobRecord) => !covered.has(job.id);
  const isLessUrgent = (job: JobRecord) =>
    isLent(job) && mayPreempt(unit.queue, index.queueNamed(job.queue));
  const mustBegin = isCovered &&
    waitedMs(unit, nowMs) > settings.guaranteeWaitMs;
  return [
    { mayStop: isLessUrgent, mayLeaveRack: false },
    ...(mustBegin
      ? [
        { mayStop: isLent, mayLeaveRack: false },
        { mayStop: isLent, mayLeaveRack: true },
      ]
      : []),
  ];
}

/** Starts the unit now in a slower place, or stops what is in its way. */
function takeWay(
  view: PoolView,
  unit: WorkUnit,
  input: PlacingInput & WayToRoom,
): Plan | undefined {
  if (input.mayLeaveRack && unit.spec.isGang) {
    const start = placeUnit(view, unit, input);
    if (start !== undefined) {
      return { starts: [start], stops: [] };
    }
  }
  const stops = makeRoom(view, unit, input);
  return stops === undefined ? undefined : { starts: [], stops };
}

function placeUnit(
  view: PoolView,
  unit: WorkUnit,
  input: PlacingInput,
): StartItem | undefined {
  const { job, occurrence, step, nextRun } = unit;
  const slots = view.ofService(unit.queue.service);
  const placed = placeTasks(slots, requestOf(view, unit, input));
  if (placed.length === 0) {
    return undefined;
  }
  return {
    kind: "start",
    jobId: job.id,
    occurrence,
    step,
    run: nextRun,
    tasks: placed,
  };
}

function requestOf(
  view: PoolView,
  unit: WorkUnit,
  input: PlacingInput,
): PlacementRequest {
  const { spec, waiting, tasks } = unit;
  return {
    step: spec,
    indices: waiting,
    avoided: avoidedWorkers(view, unit, input),
    onWorker: (key) => tasks.filter((task) => task.worker === key).length,
    mayLeaveRack: input.mayLeaveRack || mayLeaveRack(view, unit, input.nowMs),
  };
}

/** Workers on which a waiting task failed before, if enough are left. */
function avoidedWorkers(
  view: PoolView,
  unit: WorkUnit,
  input: PlannerInput,
): ReadonlySet<WorkerKey> {
  const avoided = new Set<WorkerKey>();
  for (const index of unit.waiting) {
    const { job, occurrence, step } = unit;
    const task = { jobId: job.id, occurrence, step, index };
    input.failedOn(task)?.forEach((key) => avoided.add(key));
  }
  if (avoided.size === 0) {
    return avoided;
  }
  const others = view.ofService(unit.queue.service)
    .filter((slot) => slot.isUsable && !avoided.has(slot.key))
    .map((slot) => ({ ...slot, free: { ...slot.worker.capacity } }));
  const placed = placeTasks(others, {
    step: unit.spec,
    indices: unit.waiting,
    onWorker: () => 0,
    mayLeaveRack: true,
  });
  return placed.length > 0 ? avoided : new Set();
}

/**
 * Chooses what stops for a unit, and keeps the room for it in the view;
 * undefined where no stops would make enough room. What is left of that room
 * is nobody's yet: the runs are still there.
 */
function makeRoom(
  view: PoolView,
  unit: WorkUnit,
  input: PlacingInput & { mayStop: (job: JobRecord) => boolean },
): TaskRef[] | undefined {
  const { nowMs, mayStop } = input;
  const isStopping = (run: OpenRun) => input.isStopping(refOf(run));
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
  chosen.forEach((run) => view.release(run));
  placeUnit(view, unit, input);
  chosen.forEach((run) => view.hold(run));
  return chosen.filter((run) => !isStopping(run)).map(refOf);
}

function refOf({ job, occurrence, step, index }: OpenRun): TaskRef {
  return { jobId: job.id, occurrence, step, index };
}
