/**
 * Processors, memory and accelerators as whole numbers, so that sums and
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

const MILLI = 1_000;

export function noAmounts(): Amounts {
  return { milliCores: 0, memoryBytes: 0, accelerators: 0 };
}

export function copyAmounts(amounts: Readonly<Amounts>): Amounts {
  return {
    milliCores: amounts.milliCores,
    memoryBytes: amounts.memoryBytes,
    accelerators: amounts.accelerators,
  };
}

/** What one task takes; part cores are rounded up to a thousandth. */
export function amountsOf(resources: TaskResources): Amounts {
  return {
    milliCores: Math.ceil(resources.cores * MILLI),
    memoryBytes: resources.memoryBytes,
    accelerators: resources.accelerators,
  };
}

/** The amounts as a worker is told of them. */
export function resourcesOf(amounts: Readonly<Amounts>): TaskResources {
  return {
    cores: amounts.milliCores / MILLI,
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

/** How many tasks of `need` each fit into `room`, at most a whole gang. */
export function tasksFitting(
  room: Readonly<Amounts>,
  need: Readonly<Amounts>,
): number {
  let fitting = GANG_TASKS_LIMIT;
  if (need.accelerators > 0) {
    fitting = Math.floor(room.accelerators / need.accelerators);
  }
  if (need.milliCores > 0) {
    fitting = Math.min(fitting, Math.floor(room.milliCores / need.milliCores));
  }
  if (need.memoryBytes > 0) {
    fitting = Math.min(
      fitting,
      Math.floor(room.memoryBytes / need.memoryBytes),
    );
  }
  return Math.max(0, fitting);
}

/** The part of a worker's processors and memory that goes with accelerators. */
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
