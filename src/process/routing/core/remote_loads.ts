/**
 * What other data centres could take on, and the budget of the region link.
 *
 * @module
 */

import type { DataCentreId } from "../../../base/identity.ts";
import type { Service } from "../../../version/document/document.ts";
import type { RemoteLoad, RoutedCall } from "./routing_event.ts";
import type { RoutingOptions } from "./routing_options.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Bytes of an answer that are reckoned with beside those of the body. */
const ANSWER_BYTES = 2_048;

interface HeardLoad {
  readonly load: RemoteLoad;
  readonly heardAtMs: number;
  freeSlots: number;
}

/** What a choice among data centres looks at. */
export interface RemoteOptions {
  readonly service: Service;
  readonly nowMs: number;
  readonly serviceTimeMs: number;
}

/** The latest load reports of other data centres for one service. */
export class RemoteLoads {
  readonly #options: RoutingOptions;
  readonly #loads = new Map<DataCentreId, HeardLoad>();
  readonly #bytes = new TokenBucket({ limit: 0 });

  constructor(options: RoutingOptions) {
    this.#options = options;
  }

  hear(load: RemoteLoad, heardAtMs: number): void {
    const { freeSlots } = load;
    this.#loads.set(load.dataCentre, { load, heardAtMs, freeSlots });
  }

  /**
   * The data centre that can answer the call within its deadline, or
   * undefined; one within the region goes first, since its link is free.
   */
  claim(call: RoutedCall, options: RemoteOptions): DataCentreId | undefined {
    const chosen = this.#find(call, options);
    if (chosen === undefined) {
      return undefined;
    }
    chosen.freeSlots -= 1;
    if (chosen.load.isOtherRegion) {
      this.#bytes.take(bytesOf(call));
    }
    return chosen.load.dataCentre;
  }

  /** Whether {@link claim} would find a data centre. */
  canTake(call: RoutedCall, options: RemoteOptions): boolean {
    return this.#find(call, options) !== undefined;
  }

  #find(call: RoutedCall, options: RemoteOptions): HeardLoad | undefined {
    const { service, nowMs, serviceTimeMs } = options;
    if (call.isForwarded) {
      return undefined;
    }
    this.#fill(service, nowMs);
    const fitting = [...this.#loads.values()].filter((heard) => {
      const { roundTripMs, dataCentre } = heard.load;
      const ageMs = nowMs - heard.heardAtMs;
      return ageMs < this.#options.remoteLoadLifetimeMs &&
        heard.freeSlots >= 1 &&
        (service.dataCentreWeights[dataCentre] ?? 1) > 0 &&
        nowMs + roundTripMs + serviceTimeMs < call.deadlineMs;
    });
    fitting.sort((left, right) => compare(left, right, service));
    return fitting.find((heard) =>
      !heard.load.isOtherRegion || this.#bytes.tokens >= bytesOf(call)
    );
  }

  #fill(service: Service, nowMs: number): void {
    const perSecond = service.crossRegionBytesPerSecond;
    const limit = perSecond * this.#options.crossRegionBurstSeconds;
    this.#bytes.fill(nowMs, { perSecond, limit });
  }
}

function bytesOf(call: RoutedCall): number {
  return call.bodyBytes + ANSWER_BYTES;
}

function compare(left: HeardLoad, right: HeardLoad, service: Service): number {
  const byRegion = Number(left.load.isOtherRegion) -
    Number(right.load.isOtherRegion);
  return byRegion || score(right, service) - score(left, service);
}

function score({ load, freeSlots }: HeardLoad, service: Service): number {
  return freeSlots * (service.dataCentreWeights[load.dataCentre] ?? 1);
}
