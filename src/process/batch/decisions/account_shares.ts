/**
 * Shares of client accounts by weight, for the load in which demand exceeds
 * capacity: accounts within their share start before those over it, whatever the
 * urgency of their jobs. Guaranteed jobs stay first, and capacity that nobody
 * else can use goes to anyone.
 *
 * @module
 */

import type { ClientAccountId, JobId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import type { JobRecord } from "../job_record.ts";
import type { TaskDemand } from "../job_spec.ts";
import type { ConfigurationIndex } from "../pool_configuration.ts";
import type { AccountHeadroom } from "./account_headroom.ts";
import {
  addDemand,
  ANONYMOUS_ACCOUNT,
  type DemandTotal,
  emptyTotal,
} from "./account_usage.ts";
import type { PoolView } from "./pool_view.ts";
import { waitedMs } from "./rack_wait.ts";
import type { WorkUnit } from "./work_unit.ts";

/** What a leader remembers of the accounts from earlier passes. */
export interface ShareStandings {
  /** The account's dominant share of the pool, averaged with decay over time. */
  readonly averageOf: (account: ClientAccountId) => number;
  /** Whether the job was accepted beyond its account's rate. */
  readonly isBeyondRate: (jobId: JobId) => boolean;
}

/** The weight of an account that a version with weights gives none. */
const DEFAULT_WEIGHT = 1;

/**
 * While a unit of an account within its share has waited for so long, accounts
 * over theirs start nothing in its service: otherwise their small tasks would
 * take each piece of capacity that a wide gang waits for. The end bounds what an
 * idle pool costs if the unit can't be placed for another reason.
 */
const HOLD_AFTER_MS = 5_000;
const HOLD_UNTIL_MS = 35_000;

/** Tasks of an account over its share that are placed at once. */
const PART_TASKS = 16;

const RESOURCES = ["cpuMilli", "memoryMb", "accelerators"] as const;

/** Whether shares apply under this version. */
export function hasWeights({ configuration }: ConfigurationIndex): boolean {
  return configuration.accounts.some(({ weight }) => weight !== undefined);
}

/** The account's weight under a version with weights. */
export function weightOf(
  index: ConfigurationIndex,
  account: ClientAccountId,
): number {
  return index.accountNamed(account)?.weight ?? DEFAULT_WEIGHT;
}

/** The capacity of all known workers. */
export function poolCapacity(state: BatchState): TaskDemand {
  const total = emptyTotal();
  for (const { capacity } of state.workers.values()) {
    addDemand(total, capacity, 1);
  }
  return total;
}

/** The largest of the shares of cores, memory and accelerators. */
export function dominantShare(used: TaskDemand, total: TaskDemand): number {
  const share = (name: keyof TaskDemand) =>
    total[name] > 0 ? used[name] / total[name] : 0;
  return Math.max(share("cpuMilli"), share("memoryMb"), share("accelerators"));
}

const NOTHING: TaskDemand = emptyTotal();

/** Input of {@link SharePass}. */
export interface SharePassInput {
  readonly state: BatchState;
  readonly nowMs: number;
  /** None for a leader that has just begun. */
  readonly shares?: ShareStandings | undefined;
  readonly headroom: AccountHeadroom;
  readonly view: PoolView;
  readonly guaranteedIds: ReadonlySet<JobId>;
}

/** An account's waiting units that weren't looked at yet, the first one first. */
interface AccountQueue {
  readonly account: ClientAccountId;
  readonly units: WorkUnit[];
}

/** The order of units in one planning pass. */
export class SharePass {
  readonly #input: SharePassInput;
  readonly #index: ConfigurationIndex;
  readonly #capacity: TaskDemand;
  /** Running totals with the starts and reservations of this pass. */
  readonly #used = new Map<ClientAccountId, DemandTotal>();
  /** Services in which accounts over their share start nothing. */
  readonly #held = new Set<string>();
  #activeWeight = 0;
  #chargedTasks = 0;

  private constructor(input: SharePassInput, index: ConfigurationIndex) {
    this.#input = input;
    this.#index = index;
    this.#capacity = poolCapacity(input.state);
    for (const [account, total] of input.state.accountUsage.totals) {
      this.#used.set(account, { ...total });
    }
  }

  /** A pass; undefined if the version in force gives no weights. */
  static begin(input: SharePassInput): SharePass | undefined {
    const index = input.state.inForce?.index;
    return index !== undefined && hasWeights(index)
      ? new SharePass(input, index)
      : undefined;
  }

  /**
   * The units, the first to be placed first. Each is chosen after the ones before
   * were placed, and charged if they started.
   */
  *order(ranked: readonly WorkUnit[]): Generator<WorkUnit> {
    const { guaranteedIds } = this.#input;
    this.#sumActiveWeights(ranked);
    const isGuaranteed = ({ job }: WorkUnit) => guaranteedIds.has(job.id);
    yield* ranked.filter(isGuaranteed);
    const others = ranked.filter((unit) => !isGuaranteed(unit));
    const ranks = new Map(others.map((unit, rank) => [unit, rank]));
    const isBeyondRate = ({ job }: WorkUnit) => this.#isBeyondRate(job);
    const groups = [
      others.filter((unit) => !isBeyondRate(unit)),
      others.filter(isBeyondRate),
    ];
    for (const group of groups) {
      yield* this.#orderGroup(queuesByAccount(group), ranks);
    }
  }

  *#orderGroup(
    queues: AccountQueue[],
    ranks: Map<WorkUnit, number>,
  ): Generator<WorkUnit> {
    for (;;) {
      const queue = this.#nextQueue(queues, ranks);
      if (queue === undefined) {
        return;
      }
      const unit = queue.units.shift()!;
      const { service } = unit.queue;
      if (this.#isHeld(service) && this.#useWith(unit) > 1) {
        continue;
      }
      const isContested = this.#held.has(service) ||
        queues.some(({ units }) => units.length > 0 && units !== queue.units);
      const part = isContested ? this.#partOf(unit) : unit;
      const chargedBefore = this.#chargedTasks;
      yield part;
      const charged = this.#chargedTasks - chargedBefore;
      if (charged === 0) {
        this.#holdFor(unit);
      }
      const waiting = unit.waiting.slice(part.waiting.length);
      if (charged >= part.waiting.length && waiting.length > 0) {
        const rest = { ...unit, waiting };
        ranks.set(rest, ranks.get(unit)!);
        queue.units.unshift(rest);
      }
    }
  }

  /**
   * The part of a unit that is placed at once: the tasks that bring its account to
   * its share, or a few of them beyond it, so that one wide step can't take what
   * others wait for. Gangs aren't divided, nor steps with a limit per worker,
   * which counts only committed runs.
   */
  #partOf(unit: WorkUnit): WorkUnit {
    const { isGang, tasksPerWorkerLimit, demand } = unit.spec;
    if (isGang || tasksPerWorkerLimit !== undefined) {
      return unit;
    }
    const account = accountOf(unit);
    const used = this.#used.get(account) ?? NOTHING;
    const share = weightOf(this.#index, account) / this.#activeWeight;
    let count = this.#useWith(unit) > 1 ? PART_TASKS : unit.waiting.length;
    for (const name of RESOURCES) {
      const left = this.#capacity[name] * share - used[name];
      if (demand[name] > 0 && left > 0) {
        count = Math.min(count, Math.max(1, Math.round(left / demand[name])));
      }
    }
    return count >= unit.waiting.length
      ? unit
      : { ...unit, waiting: unit.waiting.slice(0, count) };
  }

  /** Counts tasks of a unit that start, or are to start after stops. */
  charge(unit: WorkUnit, tasks: number): void {
    const account = accountOf(unit);
    const used = this.#used.get(account) ?? emptyTotal();
    addDemand(used, unit.spec.demand, tasks);
    this.#used.set(account, used);
    this.#chargedTasks += tasks;
  }

  /**
   * Whether urgent work beyond a guarantee may stop a job's runs: only if the
   * order places the unit before the stopped tasks. Otherwise these would start
   * again on what they gave up, and be stopped again in the next pass.
   */
  preemptionRule(unit: WorkUnit): (other: JobRecord) => boolean {
    const account = accountOf(unit);
    const { demand } = unit.spec;
    const use = this.#useWith(unit);
    const isBeyondRate = this.#isBeyondRate(unit.job);
    const precedes = new Map<ClientAccountId, boolean>([[account, true]]);
    const isBefore = (other: ClientAccountId) => {
      // What the order compares once the other account gave up the demand.
      const left = () => this.#useOf(other, demand, 0.5 - unit.waiting.length);
      const known = precedes.get(other) ?? (use <= 1 || left() > use);
      precedes.set(other, known);
      return known;
    };
    return (other) =>
      this.#isBeyondRate(other) === isBeyondRate
        ? isBefore(other.account ?? ANONYMOUS_ACCOUNT)
        : !isBeyondRate;
  }

  #sumActiveWeights(units: readonly WorkUnit[]): void {
    const active = new Set([...units.map(accountOf), ...this.#used.keys()]);
    this.#activeWeight = 0;
    for (const account of active) {
      this.#activeWeight += weightOf(this.#index, account);
    }
  }

  /**
   * The account whose unit is next: of those within their share the one with the
   * most urgent unit, or else the one with the least use for its weight.
   */
  #nextQueue(
    queues: readonly AccountQueue[],
    ranks: ReadonlyMap<WorkUnit, number>,
  ): AccountQueue | undefined {
    let best: AccountQueue | undefined;
    let bestKey = [Infinity, Infinity];
    for (const queue of queues) {
      const [unit] = queue.units;
      if (unit !== undefined) {
        const use = this.#useWith(unit);
        // Rank decides among accounts within their share; -1 sorts them first.
        const key = [use <= 1 ? -1 : use, ranks.get(unit)!];
        if (
          key[0]! < bestKey[0]! ||
          (key[0] === bestKey[0] && key[1]! < bestKey[1]!)
        ) {
          best = queue;
          bestKey = key;
        }
      }
    }
    return best;
  }

  /**
   * What the unit's account would use with half a task more, relative to its
   * share. Half a task rounds the share to the nearest number of tasks.
   */
  #useWith(unit: WorkUnit): number {
    return this.#useOf(accountOf(unit), unit.spec.demand, 0.5);
  }

  /**
   * What the account would use with some more tasks, or fewer, relative to its
   * share; above 1 it is over. The use is
   * the decayed average, or the present one if that is larger, so that an account
   * can't take a whole pool within one pass.
   */
  #useOf(account: ClientAccountId, next: TaskDemand, tasks: number): number {
    const used = { ...this.#used.get(account) ?? NOTHING };
    addDemand(used, next, tasks);
    const share = Math.max(
      dominantShare(used, this.#capacity),
      this.#input.shares?.averageOf(account) ?? 0,
    );
    return share * this.#activeWeight / weightOf(this.#index, account);
  }

  #isBeyondRate({ id }: JobRecord): boolean {
    return this.#input.shares?.isBeyondRate(id) === true;
  }

  /**
   * Whether accounts over their share start nothing in the service. Not while
   * more than half of its accelerators are free: no job may wait for capacity then,
   * and the unit that still waits isn't short of accelerators.
   */
  #isHeld(service: string): boolean {
    if (!this.#held.has(service)) {
      return false;
    }
    const { total, free } = this.#input.view.acceleratorsOf(service);
    return free * 2 <= total;
  }

  /** Holds accounts over their share back, if a unit has waited too long. */
  #holdFor(unit: WorkUnit): void {
    const { nowMs, headroom } = this.#input;
    const waitMs = waitedMs(unit, nowMs);
    const isDue = waitMs >= HOLD_AFTER_MS && waitMs < HOLD_UNTIL_MS;
    // One that its own account's limit keeps waiting gains nothing from it.
    if (
      isDue && this.#useWith(unit) <= 1 && headroom.within(unit) !== undefined
    ) {
      this.#held.add(unit.queue.service);
    }
  }
}

function accountOf({ job }: WorkUnit): ClientAccountId {
  return job.account ?? ANONYMOUS_ACCOUNT;
}

function queuesByAccount(units: readonly WorkUnit[]): AccountQueue[] {
  const byAccount = new Map<ClientAccountId, WorkUnit[]>();
  for (const unit of units) {
    const account = accountOf(unit);
    const queue = byAccount.get(account) ?? [];
    queue.push(unit);
    byAccount.set(account, queue);
  }
  return [...byAccount].map(([account, units]) => ({ account, units }));
}
