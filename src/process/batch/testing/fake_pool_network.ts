/**
 * A simulated network between leaders and the fake pool, which loses calls and
 * answers and delays calls.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import {
  failure,
  type FakeClock,
  type RandomSource,
  type Result,
} from "../../../base/mod.ts";
import type { WorkerCallOptions } from "../worker_calls.ts";
import type { FakeWorker } from "./fake_worker.ts";

/** Fault rates, each as a share of calls or of runs. */
export interface PoolFaults {
  lostCalls: number;
  lostAnswers: number;
  /** Calls that are carried out after the caller's timeout. */
  lateCalls: number;
  failingRuns: number;
  /** Runs that stand still for a while. */
  hungRuns: number;
}

export const NO_FAULTS: PoolFaults = {
  lostCalls: 0,
  lostAnswers: 0,
  lateCalls: 0,
  failingRuns: 0,
  hungRuns: 0,
};

/** The longest time after the caller's timeout until a late call arrives. */
const LATE_LIMIT_MS = 8_000;

const ONE_WAY_LATENCY_MS = 5;

/** Delivers calls to workers, with faults. */
export class FakePoolNetwork {
  readonly faults: PoolFaults = { ...NO_FAULTS };
  readonly #options: { clock: FakeClock; random: RandomSource };

  constructor(options: { clock: FakeClock; random: RandomSource }) {
    this.#options = options;
  }

  /**
   * Delivers a call to the worker's present incarnation, if no fault prevents
   * it; a late call may reach the next incarnation.
   */
  call<T>(
    worker: FakeWorker,
    { timeoutMs }: WorkerCallOptions,
    act: (worker: FakeWorker) => T,
  ): Promise<Result<T>> {
    const { clock, random } = this.#options;
    const draw = random.nextUnit();
    const { lostCalls, lostAnswers, lateCalls } = this.faults;
    return new Promise((resolve) => {
      const failAfterTimeout = () =>
        clock.after(timeoutMs, () => resolve(failure("outcomeUnknown")));
      if (worker.isPartitioned || draw < lostCalls) {
        failAfterTimeout();
      } else if (draw < lostCalls + lateCalls) {
        failAfterTimeout();
        const lateMs = timeoutMs + random.nextUnit() * LATE_LIMIT_MS;
        clock.after(lateMs, () => {
          if (
            !worker.isDown && !worker.isPartitioned && !worker.isRefused
          ) {
            act(worker);
          }
        });
      } else {
        clock.after(ONE_WAY_LATENCY_MS, () => {
          if (worker.isDown || worker.isRefused) {
            resolve(failure("unavailable"));
            return;
          }
          const answer = act(worker);
          if (draw > 1 - lostAnswers) {
            failAfterTimeout();
          } else {
            clock.after(ONE_WAY_LATENCY_MS, () => resolve(Right(answer)));
          }
        });
      }
    });
  }
}
