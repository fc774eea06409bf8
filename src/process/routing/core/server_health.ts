/**
 * Whether a backend server answers well, judged by its own answers.
 *
 * @module
 */

import type { RoutingOptions } from "./routing_options.ts";
import { ServiceTime } from "./service_time.ts";

/** How much a server is trusted. */
export const HealthState = {
  healthy: "healthy",
  /** Gets nothing until its next probe is due. */
  ejected: "ejected",
  /** One probe is on its way. */
  probing: "probing",
} as const;

/** One of the values of {@link HealthState}. */
export type HealthState = typeof HealthState[keyof typeof HealthState];

/** The record of one server's answers. */
export class ServerHealth {
  readonly #options: RoutingOptions;
  readonly latency = new ServiceTime();
  #state: HealthState = HealthState.healthy;
  #failuresInRow = 0;
  #failedAtMs = -Infinity;
  #ejections = 0;
  #probeAtMs = 0;

  constructor(options: RoutingOptions) {
    this.#options = options;
  }

  get state(): HealthState {
    return this.#state;
  }

  get probeAtMs(): number {
    return this.#probeAtMs;
  }

  get isFailing(): boolean {
    return this.#failuresInRow >= this.#options.failuresToEject;
  }

  isProbeDue(nowMs: number): boolean {
    return this.#state === HealthState.ejected && nowMs >= this.#probeAtMs;
  }

  /** Whether its latency stands out from the median of its like. */
  isSlow(medianMs: number): boolean {
    const { slowFactor, slowSamples, slowFloorMs } = this.#options;
    return this.latency.samples >= slowSamples &&
      this.latency.meanMs > Math.max(slowFloorMs, slowFactor * medianMs);
  }

  recordSuccess(durationMs: number): void {
    this.#failuresInRow = 0;
    this.latency.record(durationMs);
  }

  recordFailure(atMs: number): void {
    this.#failuresInRow += 1;
    this.#failedAtMs = atMs;
  }

  /**
   * How many times worse than its latency the server looks for a while after
   * failures; without it one that fails at once would seem the fastest.
   */
  penalty(nowMs: number): number {
    const isRecent = nowMs - this.#failedAtMs < this.#options.probeDelayMs;
    return isRecent ? (1 + this.#failuresInRow) ** 2 : 1;
  }

  eject(nowMs: number): void {
    const { probeDelayMs, probeDelayLimitMs } = this.#options;
    const delayMs = Math.min(
      probeDelayLimitMs,
      probeDelayMs * 2 ** Math.min(this.#ejections, 16),
    );
    this.#ejections += 1;
    this.#state = HealthState.ejected;
    this.#probeAtMs = nowMs + delayMs;
  }

  startProbe(): void {
    this.#state = HealthState.probing;
  }

  /** Takes the server back with a clean record. */
  readmit(): void {
    this.#state = HealthState.healthy;
    this.#failuresInRow = 0;
    this.#ejections = 0;
    this.latency.clear();
  }
}
