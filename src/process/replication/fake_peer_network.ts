/**
 * Simulated links between instances of one process, with delay, loss,
 * duplication, reordering and one-way cuts, for tests and benchmarks.
 *
 * @module
 */

import { Channel } from "../../base/channel.ts";
import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { RandomSource } from "../../base/random_source.ts";
import type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";

/** The current faults of all links. */
export interface FakeLinkFaults {
  /** Fractions of messages that are lost or duplicated. */
  lossRate: number;
  duplicateRate: number;
  /** The largest random addition to each message's delay. */
  jitterMs: number;
}

/** Options of {@link FakePeerHub}. */
export interface FakePeerHubOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The one-way delay, in milliseconds. */
  readonly delayMs?: (from: InstanceId, to: InstanceId) => number;
  /** Called with every message that is sent. */
  readonly onSend?: (from: InstanceId, to: InstanceId, body: unknown) => void;
}

interface Endpoint {
  readonly name: string;
  readonly deliver: (from: InstanceId, body: unknown) => void;
}

/** The simulated links among all instances that join. */
export class FakePeerHub {
  readonly faults: FakeLinkFaults = {
    lossRate: 0,
    duplicateRate: 0,
    jitterMs: 0,
  };
  #options: FakePeerHubOptions;
  #endpoints = new Map<InstanceId, Set<Endpoint>>();
  #cuts = new Set<string>();

  constructor(options: FakePeerHubOptions) {
    this.#options = options;
  }

  /** Adds an instance and returns its network. */
  join(
    selfId: InstanceId,
    options: { peerIds: readonly InstanceId[] },
  ): PeerNetwork {
    const endpoints = new Set<Endpoint>();
    this.#endpoints.set(selfId, endpoints);
    return {
      selfId,
      peerIds: options.peerIds.filter((id) => id !== selfId),
      linkedPeerIds: () =>
        options.peerIds.filter((id) =>
          id !== selfId && this.#endpoints.has(id) && !this.isCut(selfId, id)
        ),
      channel: (channel) => this.#open(selfId, endpoints, channel),
    };
  }

  /** Drops all messages in one direction. */
  cut(from: InstanceId, to: InstanceId): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Drops all messages to and from the instance. */
  isolate(id: InstanceId): void {
    for (const other of this.#endpoints.keys()) {
      this.cut(id, other);
      this.cut(other, id);
    }
  }

  /** Removes all cuts. */
  heal(): void {
    this.#cuts.clear();
  }

  isCut(from: InstanceId, to: InstanceId): boolean {
    return this.#cuts.has(`${from} ${to}`);
  }

  #open<Message>(
    selfId: InstanceId,
    endpoints: Set<Endpoint>,
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message> {
    const received = new Channel<Received<Message>>();
    const endpoint: Endpoint = {
      name: options.name,
      deliver: (from, body) =>
        options.decode(body).ifRight((message) =>
          received.push({ from, message })
        ),
    };
    endpoints.add(endpoint);
    return {
      received: received.stream,
      send: (to, message) => this.#send(selfId, to, options.name, message),
      close: () => {
        endpoints.delete(endpoint);
        received.close();
      },
    };
  }

  #send(
    from: InstanceId,
    to: InstanceId,
    name: string,
    message: unknown,
  ): boolean {
    const target = this.#endpoints.get(to);
    if (target === undefined || target.size === 0) {
      return false;
    }
    this.#options.onSend?.(from, to, message);
    const { random } = this.#options;
    const copies = random.nextUnit() < this.faults.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (random.nextUnit() >= this.faults.lossRate) {
        this.#deliverLater({ from, to, name, message });
      }
    }
    return true;
  }

  #deliverLater(
    sent: { from: InstanceId; to: InstanceId; name: string; message: unknown },
  ): void {
    const { from, to, name, message } = sent;
    const { clock, random, delayMs } = this.#options;
    const jitterMs = random.nextUnit() * this.faults.jitterMs;
    clock.after((delayMs?.(from, to) ?? 0) + jitterMs, () => {
      if (this.isCut(from, to)) {
        return;
      }
      for (const endpoint of this.#endpoints.get(to) ?? []) {
        if (endpoint.name === name) {
          endpoint.deliver(from, message);
        }
      }
    });
  }
}
