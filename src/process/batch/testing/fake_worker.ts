/**
 * What a worker of the fake pool holds.
 *
 * @module
 */

import type { Timer } from "../../../base/mod.ts";
import type { TaskRef } from "../batch_command.ts";
import type { EndedTask } from "../worker_calls.ts";

/** A run that is on a worker. */
export interface HeldRun {
  readonly task: TaskRef;
  readonly run: number;
  timer: Timer | undefined;
}

/** One machine with its present life. */
export class FakeWorker {
  bornMs = 1;
  isDown = false;
  isCut = false;
  epoch = 0;
  leaseEndMs = 0;
  readonly running = new Map<string, HeldRun>();
  readonly barred = new Map<string, number>();
  ended: EndedTask[] = [];
  endCount = 0;
  notedEnd = 0;
  /** Ends up to this number came before the lease last ran out. */
  lapsedEnd = 0;
  waiters: (() => void)[] = [];

  constructor(readonly id: string, readonly clockRate: number) {}
}

export const LEASE_LIMIT_MS = 10_000;
export const GANG_WAIT_MS = 3_000;
export const LEASE_CHECK_MS = 50;
