/**
 * Cluster membership as seen by this instance: sends its heartbeats, receives
 * those of its peers, and publishes changes of their states.
 *
 * @module
 */

import type { Stream } from "most";
import type { DataCentreId, InstanceId } from "../../base/identity.ts";
import {
  Channel,
  type Clock,
  type EventLog,
  type Timer,
} from "../../base/mod.ts";
import type { PeerChannel, PeerNetwork } from "../../connection/mod.ts";
import { decodeHeartbeat, type Heartbeat } from "./heartbeat.ts";
import {
  type ConfiguredPeer,
  MEMBERSHIP_DEFAULTS,
  MembershipCore,
  type PeerChange,
  PeerState,
  type PeerView,
} from "./membership_core.ts";

/** Options of a {@link Membership}. */
export interface MembershipOptions {
  readonly self: ConfiguredPeer;
  readonly httpAddress: string;
  readonly peers: readonly ConfiguredPeer[];
  /** Greater than in any earlier run of this instance. */
  readonly incarnation: number;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** The membership service of one running instance. */
export class Membership {
  #options: MembershipOptions;
  #core: MembershipCore;
  #channel: PeerChannel<Heartbeat>;
  #changes = new Channel<PeerChange>();
  #timer: Timer;
  #sequence = 0;
  #isLeaving = false;

  /** Every change of a peer's state. */
  readonly changes: Stream<PeerChange> = this.#changes.stream;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#core = new MembershipCore({ peers: options.peers });
    this.#channel = options.network.channel<Heartbeat>({
      name: "membership",
      decode: decodeHeartbeat,
    });
    this.#channel.received.observe(({ from, message }) => {
      const atMs = options.clock.nowMs();
      this.#publish(
        this.#core.applyHeartbeat(from, { heartbeat: message, atMs }),
      );
    });
    this.#timer = options.clock.every(
      MEMBERSHIP_DEFAULTS.heartbeatPeriodMs,
      () => this.#handleHeartbeatTimer(),
    );
  }

  /** Every configured peer, as seen by this instance. */
  peers(): PeerView[] {
    return this.#core.peers();
  }

  /**
   * The instances of a data centre that are alive or slow. Includes this
   * instance until it leaves.
   */
  usableInstanceIds(dataCentre: DataCentreId): InstanceId[] {
    const ids = this.#core.peers()
      .filter((peer) => peer.dataCentre === dataCentre && isUsable(peer))
      .map((peer) => peer.id);
    const { self } = this.#options;
    const isOwn = self.dataCentre === dataCentre && !this.#isLeaving;
    return isOwn ? [self.id, ...ids] : ids;
  }

  /** The HTTP address of an instance; undefined while unknown. */
  httpAddressOf(id: InstanceId): string | undefined {
    const { self, httpAddress } = this.#options;
    return id === self.id
      ? httpAddress
      : this.#core.peers().find((peer) => peer.id === id)?.httpAddress;
  }

  /** Notifies all peers immediately that this instance is stopping. */
  leave(): void {
    this.#isLeaving = true;
    this.#sendHeartbeat();
  }

  close(): void {
    this.#timer.close();
    this.#channel.close();
    this.#changes.close();
  }

  #handleHeartbeatTimer(): void {
    this.#publish(this.#core.tick(this.#options.clock.nowMs()));
    this.#sendHeartbeat();
  }

  #sendHeartbeat(): void {
    const heartbeat: Heartbeat = {
      incarnation: this.#options.incarnation,
      sequence: this.#sequence++,
      httpAddress: this.#options.httpAddress,
      isLeaving: this.#isLeaving,
      missing: this.#core.missing(),
    };
    for (const peer of this.#options.peers) {
      this.#channel.send(peer.id, heartbeat);
    }
  }

  #publish(changes: readonly PeerChange[]): void {
    for (const change of changes) {
      this.#options.events.emit("peerStateChanged", {
        peer: change.peer.id,
        before: change.before,
        state: change.peer.state,
        incarnation: change.peer.incarnation,
      });
      this.#changes.push(change);
    }
  }
}

function isUsable(peer: PeerView): boolean {
  return peer.state === PeerState.alive || peer.state === PeerState.slow;
}
