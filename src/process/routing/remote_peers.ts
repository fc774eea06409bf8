/**
 * The instances of other data centres: how far they are and what they could
 * take on.
 *
 * @module
 */

import type { Clock } from "../../base/clock.ts";
import type {
  DataCentreId,
  InstanceId,
  ServiceId,
} from "../../base/identity.ts";
import type { Router } from "./router.ts";
import type { RoutingInstance } from "./routing_instance.ts";

/** What is reckoned with before a round trip was measured. */
const DEFAULT_ROUND_TRIP_MS = 50;
const ROUND_TRIP_WEIGHT = 0.2;

/** A report counts for this long. */
const LIFETIME_MS = 2_500;

interface RemotePeer {
  readonly instance: RoutingInstance;
  roundTripMs: number;
  heardAtMs: number;
  freeSlots: Map<ServiceId, number>;
}

/** The peers of other data centres. */
export class RemotePeers {
  readonly #self: RoutingInstance;
  readonly #clock: Clock;
  readonly #router: Pick<Router, "handle">;
  readonly #peers = new Map<InstanceId, RemotePeer>();

  constructor(
    options: {
      self: RoutingInstance;
      peers: readonly RoutingInstance[];
      clock: Clock;
      router: Pick<Router, "handle">;
    },
  ) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#router = options.router;
    for (const instance of options.peers) {
      if (instance.dataCentre !== options.self.dataCentre) {
        this.#peers.set(instance.id, {
          instance,
          roundTripMs: DEFAULT_ROUND_TRIP_MS,
          heardAtMs: -Infinity,
          freeSlots: new Map(),
        });
      }
    }
  }

  isRemote(peer: InstanceId): boolean {
    return this.#peers.has(peer);
  }

  /** Takes a report, and tells the core what the data centre has free. */
  hear(from: InstanceId, freeSlots: Readonly<Record<ServiceId, number>>): void {
    const peer = this.#peers.get(from);
    if (peer === undefined) {
      return;
    }
    peer.heardAtMs = this.#clock.nowMs();
    peer.freeSlots = new Map(Object.entries(freeSlots));
    const { dataCentre } = peer.instance;
    for (const service of peer.freeSlots.keys()) {
      this.#tell(dataCentre, service);
    }
  }

  /** Takes the echo of a report of this instance. */
  measure(from: InstanceId, sentAtMs: number): void {
    const peer = this.#peers.get(from);
    if (peer !== undefined) {
      const tripMs = Math.max(0, this.#clock.nowMs() - sentAtMs);
      peer.roundTripMs += (tripMs - peer.roundTripMs) * ROUND_TRIP_WEIGHT;
    }
  }

  /** The instance there with the most free slots, one of which is taken. */
  choose(dataCentre: DataCentreId, service: ServiceId): InstanceId | undefined {
    const peers = this.#freshIn(dataCentre);
    peers.sort((left, right) => freeOf(right, service) - freeOf(left, service));
    const [chosen] = peers;
    chosen?.freeSlots.set(service, freeOf(chosen, service) - 1);
    return chosen?.instance.id;
  }

  #freshIn(dataCentre: DataCentreId): RemotePeer[] {
    const sinceMs = this.#clock.nowMs() - LIFETIME_MS;
    return [...this.#peers.values()].filter((peer) =>
      peer.instance.dataCentre === dataCentre && peer.heardAtMs >= sinceMs
    );
  }

  #tell(dataCentre: DataCentreId, service: ServiceId): void {
    const peers = this.#freshIn(dataCentre);
    const freeSlots = peers.reduce(
      (sum, peer) => sum + freeOf(peer, service),
      0,
    );
    const isOtherRegion = peers.some(({ instance }) =>
      instance.region !== this.#self.region
    );
    const roundTripMs = Math.max(...peers.map((peer) => peer.roundTripMs));
    this.#router.handle({
      kind: "remoteLoadReported",
      atMs: this.#clock.nowMs(),
      load: { dataCentre, service, freeSlots, roundTripMs, isOtherRegion },
    });
  }
}

function freeOf(peer: RemotePeer, service: ServiceId): number {
  return peer.freeSlots.get(service) ?? 0;
}
