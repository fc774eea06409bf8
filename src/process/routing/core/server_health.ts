/**
 * The health of a backend server, derived from its answers and failures.
 *
 * @module
 */

import type { RoutingOptions } from "./routing_options.ts";
import { ServiceTime } from "./service_time.ts";

/** Whether a server gets normal traffic or only probes. */
export const HealthState = {
  healthy: "healthy",
  /** Gets nothing until its next probe is due. */
  ejected: "ejected",
  /** One probe is in flight. */
  probing: "probing",
} as const;

/** One of the values of {@link HealthState}. */
export type HealthState = typeof HealthState[keyof typeof HealthState];

/** The health of one server. */
export class ServerHealth {
  readonly #options: RoutingOptions;
  readonly latency = new ServiceTime();
  #state: HealthState = HealthState.healthy;
  #consecutiveFailures = 0;
  #lastFailureAtMs = -Infinity;
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
    return this.#consecutiveFailures >= this.#options.failuresToEject;
  }

  isProbeDue(nowMs: number): boolean {
    return this.#state === HealthState.ejected && nowMs >= this.#probeAtMs;
  }

  /** Whether its latency is far above `medianMs`, that of the other servers. */
  isSlow(medianMs: number): boolean {
    const { slowFactor, minLatencySamples, slowFloorMs } = this.#options;
    return this.latency.samples >= minLatencySamples &&
      this.latency.meanMs > Math.max(slowFloorMs, slowFactor * medianMs);
  }

  recordSuccess(durationMs: number): void {
    this.#consecutiveFailures = 0;
    this.latency.record(durationMs);
  }

  recordFailure(atMs: number): void {
    this.#consecutiveFailures += 1;
    this.#lastFailureAtMs = atMs;
  }

  /**
   * Factor on the server's latency for a while after a failure; without it, a
   * server that fails immediately would look the fastest.
   */
  latencyFactor(nowMs: number): number {
    const isRecent = nowMs - this.#lastFailureAtMs < this.#options.probeDelayMs;
    return isRecent ? (1 + this.#consecutiveFailures) ** 2 : 1;
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

  /** Makes the server healthy again and clears its failures and latency. */
  readmit(): void {
    this.#state = HealthState.healthy;
    this.#consecutiveFailures = 0;
    this.#ejections = 0;
    this.latency.clear();
  }
}
