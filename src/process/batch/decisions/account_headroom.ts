/**
 * The headroom that each client account has below its limit, in one planning
 * pass: what it has running, what the pass starts, and what the pass reserves
 * for tasks that wait for the stops of other runs.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import type { BatchState } from "../batch_state.ts";
import type { TaskDemand } from "../job_spec.ts";
import {
  countWithinLimit,
  LIMITED_RESOURCES,
  runningLimitOf,
} from "./account_limits.ts";
import { addDemand, type DemandTotal, emptyTotal } from "./account_usage.ts";
import type { OpenRun } from "./pool_view.ts";
import type { WorkUnit } from "./work_unit.ts";

/** The totals of one account with a limit. */
interface Room {
  readonly limit: TaskDemand;
  /** Committed open runs, and starts of this pass. */
  readonly running: DemandTotal;
  /** For tasks that start once runs have stopped. */
  readonly reserved: DemandTotal;
  /** Of the account's own runs whose stops the reservations wait for. */
  readonly released: DemandTotal;
}

/**
 * The accounts' headroom in one pass. A unit of an account without a limit, or
 * without an account, is never restricted.
 */
export class AccountHeadroom {
  readonly #state: BatchState;
  readonly #rooms = new Map<ClientAccountId, Room | undefined>();
  readonly #heldBack = new Set<ClientAccountId>();

  constructor({ state }: { state: BatchState }) {
    this.#state = state;
  }

  /** The accounts of which the limit has held waiting tasks back. */
  get heldBack(): ReadonlySet<ClientAccountId> {
    return this.#heldBack;
  }

  /**
   * The unit with the waiting tasks that may start now: all of a gang, or the
   * first ones; undefined if none may.
   */
  within(unit: WorkUnit): WorkUnit | undefined {
    const headroom = this.#roomOf(unit.job.account);
    if (headroom === undefined) {
      return unit;
    }
    const waiting = unit.waiting.length;
    const count = Math.min(
      ...[headroom.running, totalAfterStops(headroom)].map((used) =>
        countWithinLimit(headroom.limit, unit.spec.demand, {
          used,
          most: waiting,
        })
      ),
    );
    if (count === waiting) {
      return unit;
    }
    this.#heldBack.add(unit.job.account!);
    return count === 0 || unit.spec.isGang
      ? undefined
      : { ...unit, waiting: unit.waiting.slice(0, count) };
  }

  /**
   * What of a unit waits after a start of some of its tasks. The whole unit for
   * an account without a limit.
   */
  restOf(unit: WorkUnit, started: readonly { index: number }[]): WorkUnit {
    if (started.length === 0 || this.#roomOf(unit.job.account) === undefined) {
      return unit;
    }
    const indices = new Set(started.map(({ index }) => index));
    const waiting = unit.waiting.filter((index) => !indices.has(index));
    return { ...unit, waiting };
  }

  /** Counts tasks of a unit that this pass starts. */
  start(unit: WorkUnit, tasks: number): void {
    const headroom = this.#roomOf(unit.job.account);
    if (headroom !== undefined) {
      addDemand(headroom.running, unit.spec.demand, tasks);
    }
  }

  /** Reserves room for a unit that starts once the runs have stopped. */
  reserve(unit: WorkUnit, stopped: readonly OpenRun[]): void {
    const headroom = this.#roomOf(unit.job.account);
    if (headroom !== undefined) {
      addDemand(headroom.reserved, unit.spec.demand, unit.waiting.length);
    }
    for (const { job, step } of stopped) {
      const { demand } = job.spec.steps[step]!;
      const released = this.#roomOf(job.account)?.released;
      if (released !== undefined) {
        addDemand(released, demand, 1);
      }
    }
  }

  /**
   * How much the account's runs must give up before all waiting tasks of the
   * unit are within its limit.
   */
  excessOf(unit: WorkUnit): TaskDemand {
    const excess = emptyTotal();
    const headroom = this.#roomOf(unit.job.account);
    if (headroom !== undefined) {
      const total = totalAfterStops(headroom);
      addDemand(total, unit.spec.demand, unit.waiting.length);
      for (const resource of LIMITED_RESOURCES) {
        excess[resource] = headroom.limit[resource] === 0
          ? 0
          : Math.max(0, total[resource] - headroom.limit[resource]);
      }
    }
    return excess;
  }

  #roomOf(account: ClientAccountId | undefined): Room | undefined {
    if (account === undefined) {
      return undefined;
    }
    if (!this.#rooms.has(account)) {
      const { inForce, accountUsage } = this.#state;
      const limit = runningLimitOf(inForce?.index, account);
      this.#rooms.set(
        account,
        limit && {
          limit,
          running: { ...accountUsage.of(account) },
          reserved: emptyTotal(),
          released: emptyTotal(),
        },
      );
    }
    return this.#rooms.get(account);
  }
}

/** The total once the stops have happened and the reserved tasks run. */
function totalAfterStops({ running, reserved, released }: Room): DemandTotal {
  const total = { ...running };
  addDemand(total, reserved, 1);
  addDemand(total, released, -1);
  return total;
}
