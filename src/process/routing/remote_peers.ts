/**
 * Round-trip times and free slots of the instances of other data centres.
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

/** Assumed before any round trip has been measured. */
const DEFAULT_ROUND_TRIP_MS = 50;
/** Weight of a new measurement in the smoothed round trip. */
const ROUND_TRIP_WEIGHT = 0.2;

/** A load report expires after this long. */
const LOAD_LIFETIME_MS = 2_500;

interface RemotePeer {
  readonly instance: RoutingInstance;
  roundTripMs: number;
  reportedAtMs: number;
  freeSlots: Map<ServiceId, number>;
}

/** Tracks the peers of other data centres. */
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
          reportedAtMs: -Infinity,
          freeSlots: new Map(),
        });
      }
    }
  }

  isRemote(peer: InstanceId): boolean {
    return this.#peers.has(peer);
  }

  /** Records a load report and updates the data centre's load in the core. */
  recordLoad(
    from: InstanceId,
    freeSlots: Readonly<Record<ServiceId, number>>,
  ): void {
    const peer = this.#peers.get(from);
    if (peer === undefined) {
      return;
    }
    peer.reportedAtMs = this.#clock.nowMs();
    peer.freeSlots = new Map(Object.entries(freeSlots));
    const { dataCentre } = peer.instance;
    for (const service of peer.freeSlots.keys()) {
      this.#reportLoad(dataCentre, service);
    }
  }

  /** Updates the round-trip time from the echo of a load report. */
  recordEcho(from: InstanceId, sentAtMs: number): void {
    const peer = this.#peers.get(from);
    if (peer !== undefined) {
      const tripMs = Math.max(0, this.#clock.nowMs() - sentAtMs);
      peer.roundTripMs += (tripMs - peer.roundTripMs) * ROUND_TRIP_WEIGHT;
    }
  }

  /**
   * Reserves a slot of the data centre's instance with the most free slots;
   * undefined when none has reported recently.
   */
  reserveSlot(
    dataCentre: DataCentreId,
    service: ServiceId,
  ): InstanceId | undefined {
    const peers = this.#recentPeersIn(dataCentre);
    peers.sort((left, right) =>
      freeSlotsOf(right, service) - freeSlotsOf(left, service)
    );
    const [chosen] = peers;
    chosen?.freeSlots.set(service, freeSlotsOf(chosen, service) - 1);
    return chosen?.instance.id;
  }

  #recentPeersIn(dataCentre: DataCentreId): RemotePeer[] {
    const sinceMs = this.#clock.nowMs() - LOAD_LIFETIME_MS;
    return [...this.#peers.values()].filter((peer) =>
      peer.instance.dataCentre === dataCentre && peer.reportedAtMs >= sinceMs
    );
  }

  #reportLoad(dataCentre: DataCentreId, service: ServiceId): void {
    const peers = this.#recentPeersIn(dataCentre);
    const freeSlots = peers.reduce(
      (sum, peer) => sum + freeSlotsOf(peer, service),
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

function freeSlotsOf(peer: RemotePeer, service: ServiceId): number {
  return peer.freeSlots.get(service) ?? 0;
}
