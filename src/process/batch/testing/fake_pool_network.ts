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
  /** How late late calls are; drawn for each call if undefined. */
  latenessMs: number | undefined;
}

export const NO_FAULTS: PoolFaults = {
  lostCalls: 0,
  lostAnswers: 0,
  lateCalls: 0,
  failingRuns: 0,
  hungRuns: 0,
  latenessMs: undefined,
};

/** The longest time after the caller's timeout until a late call arrives. */
const LATE_LIMIT_MS = 8_000;

/** The longest time from the sending of a call until a worker carries it out. */
const HELD_LIMIT_MS = 12_000;

/** How often a worker that is down is looked at again. */
const RESTART_CHECK_MS = 10;

const ONE_WAY_LATENCY_MS = 5;

/** Options of {@link FakePoolNetwork}. */
export interface FakePoolNetworkOptions {
  readonly clock: FakeClock;
  readonly random: RandomSource;
  /**
   * Whether late calls are held by the worker and not by the network: it carries
   * them out though it is cut off, and its next incarnation does so, too.
   */
  readonly areLateCallsHeld?: boolean;
}

/** Delivers calls to workers, with faults. */
export class FakePoolNetwork {
  readonly faults: PoolFaults = { ...NO_FAULTS };
  readonly #options: FakePoolNetworkOptions;

  constructor(options: FakePoolNetworkOptions) {
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
        this.#carryOutLate(worker, timeoutMs, () => act(worker));
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

  #carryOutLate(
    worker: FakeWorker,
    timeoutMs: number,
    act: () => void,
  ): void {
    const { clock, random, areLateCallsHeld = false } = this.#options;
    const { latenessMs = timeoutMs + random.nextUnit() * LATE_LIMIT_MS } =
      this.faults;
    if (!areLateCallsHeld) {
      clock.after(latenessMs, () => {
        if (!worker.isDown && !worker.isPartitioned && !worker.isRefused) {
          act();
        }
      });
      return;
    }
    const isReceived = !worker.isDown && !worker.isRefused;
    const endMs = clock.steadyMs() + HELD_LIMIT_MS;
    const carryOut = () => {
      if (!worker.isDown) {
        act();
      } else if (clock.steadyMs() < endMs) {
        clock.after(RESTART_CHECK_MS, carryOut);
      }
    };
    if (isReceived) {
      clock.after(latenessMs, carryOut);
    }
  }
}
