/**
 * The state of one worker of the fake pool.
 *
 * @module
 */

import type { Timer } from "../../../base/mod.ts";
import {
  type TaskRef,
  workerKeyOf,
  type WorkerRecord,
} from "../batch_command.ts";
import type { EndedTask } from "../worker_calls.ts";
import type { FakeWork } from "./fake_work.ts";

/** A run that a worker has. */
export interface HeldRun {
  readonly task: TaskRef;
  readonly run: number;
  timer: Timer | undefined;
  /** Set once it works: a gang's tasks wait for each other. */
  work: FakeWork | undefined;
}

/** One worker, with the state of its present incarnation. */
export class FakeWorker {
  bornMs = 1;
  isDown = false;
  isDraining = false;
  /** Relative to the speed that estimates are for. */
  speed = 1;
  /** Whether all its runs stand still after a part of their work. */
  isHanging = false;
  isPartitioned = false;
  /** Whether the network refuses connections to it while it runs on. */
  isRefused = false;
  /** Whether its announcements are lost. */
  isUnannounced = false;
  /** The highest fence that it has seen. */
  fence = 0;
  leaseEndMs = 0;
  readonly running = new Map<string, HeldRun>();
  /** The highest run of each task that the worker no longer starts. */
  readonly highestRefusedRun = new Map<string, number>();
  ended: EndedTask[] = [];
  endCount = 0;
  acknowledgedEnd = 0;
  /** Ends up to this number came before the lease last expired. */
  expiredEnd = 0;
  /** Lease calls that wait for a run to end. */
  waiters: (() => void)[] = [];

  constructor(
    readonly id: string,
    readonly clockRate: number,
    readonly address = `10.0.0.1:${1 + Number(id.slice(1))}`,
  ) {}

  /** The record that the present incarnation would announce. */
  record(): WorkerRecord {
    return {
      key: workerKeyOf(this.id, this.bornMs),
      id: this.id,
      bornMs: this.bornMs,
      service: "pool",
      address: this.address,
      dataCentre: "east",
      capacity: { cpuMilli: 8_000, memoryMb: 8_000, accelerators: 8 },
      labels: ["a", "r-1"],
      rack: "r-1",
      isDraining: this.isDraining,
    };
  }
}

export const LEASE_LIMIT_MS = 10_000;
export const GANG_WAIT_MS = 3_000;
export const LEASE_CHECK_MS = 50;
