/**
 * The scheduler's state of one worker: its capacity, and how much of it is
 * used, reserved and assigned to guarantees.
 *
 * @module
 */

import type {
  ClientAccountId,
  JobId,
  RackId,
  WorkerId,
} from "../../../base/identity.ts";
import {
  addAmounts,
  type Amounts,
  amountsOf,
  copyAmounts,
  differenceOf,
  zeroAmounts,
} from "./amounts.ts";
import type { JobState } from "./job_state.ts";
import type { Reservation } from "./reservation.ts";
import type { WorkerDescription } from "./scheduler_event.ts";

/** Whether a worker accepts work. */
export const WorkerStatus = {
  up: "up",
  leaving: "leaving",
  quarantined: "quarantined",
  /** Quarantined, but accepting one gang at a time as a probe. */
  probing: "probing",
  lost: "lost",
} as const;

/** One of the values of {@link WorkerStatus}. */
export type WorkerStatus = typeof WorkerStatus[keyof typeof WorkerStatus];

/** Number of job class ranks, from 0 (urgent) to 9. */
export const RANK_COUNT = 10;

const ZERO_AMOUNTS: Readonly<Amounts> = Object.freeze(zeroAmounts());

/** The tasks of one gang on one worker. */
export interface Allocation {
  readonly job: JobState;
  readonly tasks: number;
}

/** One rack and its known workers. */
export interface RackState {
  readonly rackId: RackId;
  readonly workers: WorkerState[];
  /** Free accelerators on its workers that accept work. */
  freeAccelerators: number;
  /** Accelerators of borrowing gangs by rank, except gangs being stopped. */
  readonly evictableByRank: Int32Array;
}

/** The mutable state of one worker. */
export class WorkerState {
  readonly workerId: WorkerId;
  readonly rack: RackState;
  readonly capacity: Readonly<Amounts>;
  status: WorkerStatus = WorkerStatus.up;
  readonly used: Amounts = zeroAmounts();
  /** The part of `used` that belongs to gangs being stopped. */
  readonly stopping: Amounts = zeroAmounts();
  readonly reserved: Amounts = zeroAmounts();
  readonly allocations = new Map<JobId, Allocation>();
  readonly reservations = new Set<Reservation>();
  /** Capacity assigned to guarantees here, by client account. */
  readonly guaranteeCapacityByAccount = new Map<ClientAccountId, Amounts>();
  readonly guaranteeCapacity: Amounts = zeroAmounts();
  /** What guaranteed gangs and reclaims use here, by client account. */
  readonly guaranteeUseByAccount = new Map<ClientAccountId, Amounts>();
  /** Accelerators of borrowing gangs by rank, except gangs being stopped. */
  readonly evictableByRank = new Int32Array(RANK_COUNT);
  /** Keys of abandoned attempts that may still run here, until stopped. */
  readonly staleAttempts = new Set<string>();
  /** Free accelerators recorded in the rack index. */
  indexedFree = 0;

  constructor(options: { description: WorkerDescription; rack: RackState }) {
    this.workerId = options.description.workerId;
    this.rack = options.rack;
    this.capacity = amountsOf(options.description);
  }

  /**
   * Whether work may be placed here: not while a stale attempt may still run,
   * and on a probing worker only if nothing else runs.
   */
  get isPlaceable(): boolean {
    const isOpen = this.status === WorkerStatus.up ||
      (this.status === WorkerStatus.probing && this.allocations.size === 0);
    return isOpen && this.staleAttempts.size === 0;
  }

  /** Whether guarantees may be assigned to this worker. */
  get isHealthy(): boolean {
    return this.status === WorkerStatus.up;
  }

  /**
   * Free resources that no reservation needs, given that reservations first
   * get what gangs being stopped release.
   */
  available(): Amounts {
    const { capacity, used, reserved, stopping } = this;
    return {
      milliCores: capacity.milliCores - used.milliCores -
        Math.max(0, reserved.milliCores - stopping.milliCores),
      memoryBytes: capacity.memoryBytes - used.memoryBytes -
        Math.max(0, reserved.memoryBytes - stopping.memoryBytes),
      accelerators: capacity.accelerators - used.accelerators -
        Math.max(0, reserved.accelerators - stopping.accelerators),
    };
  }

  /** Resources that are free now, including reserved ones. */
  free(): Amounts {
    return differenceOf(this.capacity, this.used);
  }

  /** What `available` will be once the gangs being stopped are gone. */
  availableAfterStops(): Amounts {
    const resources = this.free();
    addAmounts(resources, this.stopping);
    addAmounts(resources, this.reserved, { factor: -1 });
    return resources;
  }

  /** Unused guarantee of a client account here; negative if exceeded. */
  unusedGuarantee(clientAccount: ClientAccountId): Amounts {
    const capacity = this.guaranteeCapacityByAccount.get(clientAccount) ??
      ZERO_AMOUNTS;
    const used = this.guaranteeUseByAccount.get(clientAccount);
    return used === undefined
      ? copyAmounts(capacity)
      : differenceOf(capacity, used);
  }

  /** Accelerators that evicting borrowing gangs of ranks above `rank` frees. */
  evictableAbove(rank: number): number {
    let accelerators = 0;
    for (let index = Math.max(0, rank + 1); index < RANK_COUNT; index++) {
      accelerators += this.evictableByRank[index] ?? 0;
    }
    return accelerators;
  }
}

/** Adds to a client account's entry, and deletes the entry at zero. */
export function addToAccount(
  byAccount: Map<ClientAccountId, Amounts>,
  clientAccount: ClientAccountId,
  change: { readonly amounts: Readonly<Amounts>; readonly factor: number },
): void {
  const entry = byAccount.get(clientAccount) ?? zeroAmounts();
  addAmounts(entry, change.amounts, { factor: change.factor });
  const isEmpty = entry.accelerators === 0 && entry.milliCores === 0 &&
    entry.memoryBytes === 0;
  if (isEmpty) {
    byAccount.delete(clientAccount);
  } else {
    byAccount.set(clientAccount, entry);
  }
}
