/**
 * The network between a leader and the fake pool: loses, delays and repeats.
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

/** How the network and the tasks misbehave, each as a share of calls. */
export interface PoolFaults {
  lostCalls: number;
  lostAnswers: number;
  /** Carried out seconds after the caller gave up. */
  lateCalls: number;
  failingRuns: number;
}

/** Everything works. */
export const NO_FAULTS: PoolFaults = {
  lostCalls: 0,
  lostAnswers: 0,
  lateCalls: 0,
  failingRuns: 0,
};

/** How late a late call is carried out, at most. */
const LATE_LIMIT_MS = 8_000;

const WAY_MS = 5;

/** Brings calls to workers, or doesn't. */
export class FakePoolNetwork {
  readonly faults: PoolFaults = { ...NO_FAULTS };
  readonly #options: { clock: FakeClock; random: RandomSource };

  constructor(options: { clock: FakeClock; random: RandomSource }) {
    this.#options = options;
  }

  /** Brings a call to the present life of a worker, or doesn't. */
  call<T>(
    worker: FakeWorker,
    { timeoutMs }: WorkerCallOptions,
    act: (worker: FakeWorker) => T,
  ): Promise<Result<T>> {
    const { clock, random } = this.#options;
    const draw = random.nextUnit();
    const { lostCalls, lostAnswers, lateCalls } = this.faults;
    return new Promise((resolve) => {
      const giveUp = () =>
        clock.after(timeoutMs, () => resolve(failure("outcomeUnknown")));
      if (worker.isCut || draw < lostCalls) {
        giveUp();
      } else if (draw < lostCalls + lateCalls) {
        giveUp();
        const lateMs = timeoutMs + random.nextUnit() * LATE_LIMIT_MS;
        clock.after(lateMs, () => {
          if (!worker.isDown && !worker.isCut) {
            act(worker);
          }
        });
      } else {
        clock.after(WAY_MS, () => {
          if (worker.isDown) {
            resolve(failure("unavailable"));
            return;
          }
          const answer = act(worker);
          if (draw > 1 - lostAnswers) {
            giveUp();
          } else {
            clock.after(WAY_MS, () => resolve(Right(answer)));
          }
        });
      }
    });
  }
}
