/**
 * One worker as the scheduler knows it: what it has, what is taken, what is
 * reserved and what is promised to guarantees.
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
  noAmounts,
} from "./amounts.ts";
import type { JobState } from "./job_state.ts";
import type { Reservation } from "./reservation.ts";
import type { WorkerDescription } from "./scheduler_event.ts";

/** Whether a worker takes work. */
export const WorkerStatus = {
  up: "up",
  leaving: "leaving",
  quarantined: "quarantined",
  /** Quarantined, and taking one gang at a time to show that it works. */
  probing: "probing",
  lost: "lost",
} as const;

/** One of the values of {@link WorkerStatus}. */
export type WorkerStatus = typeof WorkerStatus[keyof typeof WorkerStatus];

/** How many ranks of job class there are. */
export const RANK_COUNT = 10;

const NOTHING: Readonly<Amounts> = Object.freeze(noAmounts());

/** The tasks of one gang on one worker. */
export interface Allocation {
  readonly job: JobState;
  readonly tasks: number;
}

/** One rack and the workers that have announced themselves in it. */
export interface RackState {
  readonly rackId: RackId;
  readonly workers: WorkerState[];
  /** Free accelerators on its workers that take work. */
  freeAccelerators: number;
  /** Accelerators held beyond guarantees, by rank; not those stopping. */
  readonly evictableByRank: Int32Array;
}

/** One worker. */
export class WorkerState {
  readonly workerId: WorkerId;
  readonly rack: RackState;
  readonly capacity: Readonly<Amounts>;
  status: WorkerStatus = WorkerStatus.up;
  readonly used: Amounts = noAmounts();
  /** The part of `used` whose gangs are being stopped. */
  readonly stopping: Amounts = noAmounts();
  readonly reserved: Amounts = noAmounts();
  readonly allocations = new Map<JobId, Allocation>();
  readonly reservations = new Set<Reservation>();
  /** What the guarantee cells take here, by client account. */
  readonly promisedByAccount = new Map<ClientAccountId, Amounts>();
  readonly promised: Amounts = noAmounts();
  /** What work within guarantees takes here, by client account. */
  readonly guaranteedByAccount = new Map<ClientAccountId, Amounts>();
  /** Accelerators held beyond guarantees, by rank; not those stopping. */
  readonly evictableByRank = new Int32Array(RANK_COUNT);
  /** Attempts that it runs though nobody wants them, until they stop. */
  readonly staleAttempts = new Set<string>();
  /** Free accelerators as last entered in the rack index. */
  indexedFree = 0;

  constructor(options: { description: WorkerDescription; rack: RackState }) {
    this.workerId = options.description.workerId;
    this.rack = options.rack;
    this.capacity = amountsOf(options.description);
  }

  /** Whether work may be placed here; a probe only while nothing runs. */
  get isPlaceable(): boolean {
    const isOpen = this.status === WorkerStatus.up ||
      (this.status === WorkerStatus.probing && this.allocations.size === 0);
    return isOpen && this.staleAttempts.size === 0;
  }

  /** Whether guarantee cells may lie here. */
  get isHealthy(): boolean {
    return this.status === WorkerStatus.up;
  }

  /** What is free and not needed by any reservation. */
  room(): Amounts {
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

  /** What is free at this moment, whatever is reserved. */
  free(): Amounts {
    return differenceOf(this.capacity, this.used);
  }

  /** What is free once all that stops has stopped and reservations are met. */
  futureRoom(): Amounts {
    const room = this.free();
    addAmounts(room, this.stopping);
    addAmounts(room, this.reserved, { factor: -1 });
    return room;
  }

  /** What of its promise a client account doesn't use here, or is over. */
  unusedPromise(clientAccount: ClientAccountId): Amounts {
    const promised = this.promisedByAccount.get(clientAccount) ?? NOTHING;
    const used = this.guaranteedByAccount.get(clientAccount);
    return used === undefined
      ? copyAmounts(promised)
      : differenceOf(promised, used);
  }

  /** Accelerators that eviction of work above `rank` would free. */
  evictableAbove(rank: number): number {
    let accelerators = 0;
    for (let index = Math.max(0, rank + 1); index < RANK_COUNT; index++) {
      accelerators += this.evictableByRank[index] ?? 0;
    }
    return accelerators;
  }
}

/** Adds to one client account's entry, which vanishes at zero. */
export function addToAccount(
  byAccount: Map<ClientAccountId, Amounts>,
  clientAccount: ClientAccountId,
  change: { readonly amounts: Readonly<Amounts>; readonly factor: number },
): void {
  const entry = byAccount.get(clientAccount) ?? noAmounts();
  addAmounts(entry, change.amounts, { factor: change.factor });
  const isEmpty = entry.accelerators === 0 && entry.milliCores === 0 &&
    entry.memoryBytes === 0;
  if (isEmpty) {
    byAccount.delete(clientAccount);
  } else {
    byAccount.set(clientAccount, entry);
  }
}
