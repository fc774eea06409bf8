/**
 * Limits on what a client account may have running across all workers. A start
 * is within the limit if every limited total is at most its limit afterwards,
 * also one that the start doesn't raise: after a limit was lowered, an account
 * above it starts nothing until enough of its runs have ended.
 *
 * @module
 */

import type { ClientAccountId } from "../../../base/identity.ts";
import type { JobSpec, TaskDemand } from "../job_spec.ts";
import type {
  AccountConfiguration,
  ConfigurationIndex,
} from "../pool_configuration.ts";
import type { AccountUsage } from "./account_usage.ts";

/** The resources that a limit can name; 0 means no limit. */
export const LIMITED_RESOURCES = [
  "cpuMilli",
  "memoryMb",
  "accelerators",
] as const satisfies readonly (keyof TaskDemand)[];

/**
 * The limit on what an account has running; undefined if there is none. An
 * account that the configuration doesn't name any more has none.
 */
export function runningLimitOf(
  index: ConfigurationIndex | undefined,
  account: ClientAccountId | undefined,
): TaskDemand | undefined {
  return account === undefined
    ? undefined
    : index?.accountNamed(account)?.runningLimit;
}

/** How many more tasks of this demand are within the limit, at most `most`. */
export function countWithinLimit(
  limit: TaskDemand,
  demand: TaskDemand,
  { used, most }: { used: TaskDemand; most: number },
): number {
  let count = most;
  for (const resource of LIMITED_RESOURCES) {
    if (limit[resource] > 0) {
      const left = limit[resource] - used[resource];
      if (left < 0) {
        return 0;
      }
      if (demand[resource] > 0) {
        count = Math.min(count, Math.floor(left / demand[resource]));
      }
    }
  }
  return count;
}

/** Whether the start of `count` tasks is within their account's limit. */
export function isStartWithinLimit(
  usage: AccountUsage,
  index: ConfigurationIndex | undefined,
  start: {
    account: ClientAccountId | undefined;
    demand: TaskDemand;
    count: number;
  },
): boolean {
  const { account, demand, count } = start;
  const limit = runningLimitOf(index, account);
  if (limit === undefined || account === undefined) {
    return true;
  }
  const used = usage.of(account);
  return countWithinLimit(limit, demand, { used, most: count }) === count;
}

/**
 * Why a job can never run under the account's limit: the step with a gang, or a
 * single task, that exceeds it by itself. Undefined if there is none.
 */
export function findStepBeyondLimit(
  spec: JobSpec,
  account: AccountConfiguration | undefined,
): string | undefined {
  const limit = account?.runningLimit;
  if (limit === undefined) {
    return undefined;
  }
  for (
    const [position, { isGang, taskCount, demand }] of spec.steps.entries()
  ) {
    const tasks = isGang ? taskCount : 1;
    for (const resource of LIMITED_RESOURCES) {
      const needed = demand[resource] * tasks;
      if (limit[resource] > 0 && needed > limit[resource]) {
        const what = isGang
          ? `the gang of step ${position}`
          : `a task of step ${position}`;
        return `${what} needs ${resource} ${needed}, above the limit of ` +
          `${limit[resource]} for account ${account!.name}`;
      }
    }
  }
  return undefined;
}

/**
 * How many accounts have reached their limit in some resource: no task that
 * needs it can start.
 */
export function countAccountsAtLimit(
  usage: AccountUsage,
  index: ConfigurationIndex | undefined,
): number {
  let count = 0;
  for (const [account, used] of usage.totals) {
    const limit = runningLimitOf(index, account);
    const isAtLimit = limit !== undefined &&
      LIMITED_RESOURCES.some((resource) =>
        limit[resource] > 0 && used[resource] >= limit[resource]
      );
    count += isAtLimit ? 1 : 0;
  }
  return count;
}
