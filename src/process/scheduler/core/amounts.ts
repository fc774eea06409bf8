/**
 * Amounts of processors, memory and accelerators as integers, so that sums and
 * differences are exact.
 *
 * @module
 */

import { GANG_TASKS_LIMIT, type TaskResources } from "./job.ts";

/** An amount of each resource of a worker. */
export interface Amounts {
  milliCores: number;
  memoryBytes: number;
  accelerators: number;
}

const MILLICORES_PER_CORE = 1_000;

export function zeroAmounts(): Amounts {
  return { milliCores: 0, memoryBytes: 0, accelerators: 0 };
}

export function copyAmounts(amounts: Readonly<Amounts>): Amounts {
  return {
    milliCores: amounts.milliCores,
    memoryBytes: amounts.memoryBytes,
    accelerators: amounts.accelerators,
  };
}

/** Converts resources to amounts; cores are rounded up to thousandths. */
export function amountsOf(resources: TaskResources): Amounts {
  return {
    milliCores: Math.ceil(resources.cores * MILLICORES_PER_CORE),
    memoryBytes: resources.memoryBytes,
    accelerators: resources.accelerators,
  };
}

/** Converts amounts to the form that is sent to workers. */
export function resourcesOf(amounts: Readonly<Amounts>): TaskResources {
  return {
    cores: amounts.milliCores / MILLICORES_PER_CORE,
    memoryBytes: amounts.memoryBytes,
    accelerators: amounts.accelerators,
  };
}

/** Adds `factor` times `part` to `total`, in place. */
export function addAmounts(
  total: Amounts,
  part: Readonly<Amounts>,
  options: { factor: number } = { factor: 1 },
): void {
  total.milliCores += part.milliCores * options.factor;
  total.memoryBytes += part.memoryBytes * options.factor;
  total.accelerators += part.accelerators * options.factor;
}

export function minimumAmounts(
  left: Readonly<Amounts>,
  right: Readonly<Amounts>,
): Amounts {
  return {
    milliCores: Math.min(left.milliCores, right.milliCores),
    memoryBytes: Math.min(left.memoryBytes, right.memoryBytes),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}

export function differenceOf(
  left: Readonly<Amounts>,
  right: Readonly<Amounts>,
): Amounts {
  return {
    milliCores: left.milliCores - right.milliCores,
    memoryBytes: left.memoryBytes - right.memoryBytes,
    accelerators: left.accelerators - right.accelerators,
  };
}

export function isWithin(
  part: Readonly<Amounts>,
  whole: Readonly<Amounts>,
): boolean {
  return part.milliCores <= whole.milliCores &&
    part.memoryBytes <= whole.memoryBytes &&
    part.accelerators <= whole.accelerators;
}

export function isSameAmounts(
  left: Readonly<Amounts>,
  right: Readonly<Amounts>,
): boolean {
  return isWithin(left, right) && isWithin(right, left);
}

/** How many tasks fit; without accelerators at most `GANG_TASKS_LIMIT`. */
export function tasksFitting(
  available: Readonly<Amounts>,
  need: Readonly<Amounts>,
): number {
  let fitting = GANG_TASKS_LIMIT;
  if (need.accelerators > 0) {
    fitting = Math.floor(available.accelerators / need.accelerators);
  }
  if (need.milliCores > 0) {
    fitting = Math.min(
      fitting,
      Math.floor(available.milliCores / need.milliCores),
    );
  }
  if (need.memoryBytes > 0) {
    fitting = Math.min(
      fitting,
      Math.floor(available.memoryBytes / need.memoryBytes),
    );
  }
  return Math.max(0, fitting);
}

/** The share of a worker's resources proportional to its accelerators. */
export function proportionalShare(
  capacity: Readonly<Amounts>,
  accelerators: number,
): Amounts {
  const fraction = capacity.accelerators === 0
    ? 0
    : accelerators / capacity.accelerators;
  return {
    milliCores: Math.floor(capacity.milliCores * fraction),
    memoryBytes: Math.floor(capacity.memoryBytes * fraction),
    accelerators,
  };
}
