/**
 * Free capacity of other data centres, and the byte budget for other regions.
 *
 * @module
 */

import type { DataCentreId } from "../../../base/identity.ts";
import type { Service } from "../../../version/document/document.ts";
import type { RemoteLoad, RoutedCall } from "./routing_event.ts";
import type { RoutingOptions } from "./routing_options.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Budgeted for the answer, in addition to the bytes of the request body. */
const ANSWER_ALLOWANCE_BYTES = 2_048;

interface ReportedLoad {
  readonly load: RemoteLoad;
  readonly reportedAtMs: number;
  freeSlots: number;
}

/** Inputs of a choice among data centres. */
export interface RemoteChoiceOptions {
  readonly service: Service;
  readonly nowMs: number;
  readonly serviceTimeMs: number;
}

/** The latest load reports of other data centres for one service. */
export class RemoteLoads {
  readonly #options: RoutingOptions;
  readonly #loads = new Map<DataCentreId, ReportedLoad>();
  readonly #byteBudget = new TokenBucket({ limit: 0 });

  constructor(options: RoutingOptions) {
    this.#options = options;
  }

  recordReport(load: RemoteLoad, reportedAtMs: number): void {
    const { freeSlots } = load;
    this.#loads.set(load.dataCentre, { load, reportedAtMs, freeSlots });
  }

  /**
   * Reserves a slot in a data centre that can answer the call within its
   * deadline; undefined if there is none. Those of the same region come first,
   * since bytes within the region aren't limited.
   */
  reserve(
    call: RoutedCall,
    options: RemoteChoiceOptions,
  ): DataCentreId | undefined {
    const chosen = this.#findBest(call, options);
    if (chosen === undefined) {
      return undefined;
    }
    chosen.freeSlots -= 1;
    if (chosen.load.isOtherRegion) {
      this.#byteBudget.tryTake(bytesOf(call));
    }
    return chosen.load.dataCentre;
  }

  /** Whether {@link reserve} would find a data centre. */
  canReserve(call: RoutedCall, options: RemoteChoiceOptions): boolean {
    return this.#findBest(call, options) !== undefined;
  }

  #findBest(
    call: RoutedCall,
    options: RemoteChoiceOptions,
  ): ReportedLoad | undefined {
    const { service, nowMs, serviceTimeMs } = options;
    if (call.isForwarded) {
      return undefined;
    }
    this.#refillBudget(service, nowMs);
    const candidates = [...this.#loads.values()].filter((report) => {
      const { roundTripMs, dataCentre } = report.load;
      const ageMs = nowMs - report.reportedAtMs;
      return ageMs < this.#options.remoteLoadLifetimeMs &&
        report.freeSlots >= 1 &&
        (service.dataCentreWeights[dataCentre] ?? 1) > 0 &&
        nowMs + roundTripMs + serviceTimeMs < call.deadlineMs;
    });
    candidates.sort((left, right) => compare(left, right, service));
    return candidates.find((report) =>
      !report.load.isOtherRegion || this.#byteBudget.tokens >= bytesOf(call)
    );
  }

  #refillBudget(service: Service, nowMs: number): void {
    const perSecond = service.crossRegionBytesPerSecond;
    const limit = perSecond * this.#options.crossRegionBurstSeconds;
    this.#byteBudget.refill(nowMs, { perSecond, limit });
  }
}

function bytesOf(call: RoutedCall): number {
  return call.bodyBytes + ANSWER_ALLOWANCE_BYTES;
}

function compare(
  left: ReportedLoad,
  right: ReportedLoad,
  service: Service,
): number {
  const byRegion = Number(left.load.isOtherRegion) -
    Number(right.load.isOtherRegion);
  return byRegion || score(right, service) - score(left, service);
}

function score({ load, freeSlots }: ReportedLoad, service: Service): number {
  return freeSlots * (service.dataCentreWeights[load.dataCentre] ?? 1);
}
