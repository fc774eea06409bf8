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
import { FakePeerLink } from "./fake_peer_link.ts";

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
  /**
   * How long a link takes to open. With it, an instance sends only to peers that
   * it knows, and over open links; without it, everyone reaches everyone.
   */
  readonly linkOpenMs?: (from: InstanceId, to: InstanceId) => number;
  /** Called with every message that is sent. */
  readonly onSend?: (from: InstanceId, to: InstanceId, body: unknown) => void;
}

interface Endpoint {
  readonly name: string;
  readonly deliver: (from: InstanceId, body: unknown) => void;
}

/** Options of {@link FakePeerHub.join}. */
export interface FakePeerOptions {
  readonly peerIds: readonly InstanceId[];
  /** The instance's own clock, which opens its links; the hub's if absent. */
  readonly clock?: Clock;
  /** Runs an action of the instance as soon as it isn't frozen. */
  readonly whenRunning?: (action: () => void) => void;
  readonly isFrozen?: () => boolean;
  /** Called with each instance whose link to this one opens. */
  readonly admit?: (id: InstanceId) => void;
}

/** An instance's network, whose peers may grow. */
export interface FakePeerNetwork extends PeerNetwork {
  /** Adds a peer and dials it; does nothing if the peer is known. */
  addPeer(id: InstanceId): void;
}

/** One life of an instance. */
interface Joined {
  readonly options: FakePeerOptions;
  readonly endpoints: Set<Endpoint>;
  readonly links: Map<InstanceId, FakePeerLink>;
}

/** The simulated links among all instances that join. */
export class FakePeerHub {
  readonly faults: FakeLinkFaults = {
    lossRate: 0,
    duplicateRate: 0,
    jitterMs: 0,
  };
  #options: FakePeerHubOptions;
  #joined = new Map<InstanceId, Joined>();
  #cuts = new Set<string>();

  constructor(options: FakePeerHubOptions) {
    this.#options = options;
  }

  /** Adds an instance, or its next life, and returns its network. */
  join(selfId: InstanceId, options: FakePeerOptions): FakePeerNetwork {
    this.leave(selfId);
    const joined: Joined = { options, endpoints: new Set(), links: new Map() };
    this.#joined.set(selfId, joined);
    const peerIds = new Set<InstanceId>();
    const addPeer = (id: InstanceId) => {
      if (id !== selfId && !peerIds.has(id)) {
        peerIds.add(id);
        this.#dial(selfId, id);
      }
    };
    options.peerIds.forEach(addPeer);
    return {
      selfId,
      get peerIds() {
        return [...peerIds];
      },
      addPeer,
      linkedPeerIds: () =>
        [...peerIds].filter((id) =>
          this.#hasLink(joined, id) && !this.isCut(selfId, id)
        ),
      channel: (channel) => this.#open(selfId, joined, channel),
    };
  }

  /** Ends an instance's life: its links close, and it receives nothing. */
  leave(id: InstanceId): void {
    this.#joined.get(id)?.links.forEach((link) => link.close());
    this.#joined.delete(id);
    for (const other of this.#joined.values()) {
      other.links.get(id)?.handleLoss();
    }
  }

  /** Drops all messages in one direction. */
  cut(from: InstanceId, to: InstanceId): void {
    this.#cuts.add(`${from} ${to}`);
  }

  /** Drops all messages to and from the instance. */
  isolate(id: InstanceId): void {
    for (const other of this.#joined.keys()) {
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

  #dial(from: InstanceId, to: InstanceId): void {
    const { linkOpenMs, clock, random } = this.#options;
    const joined = this.#joined.get(from);
    if (linkOpenMs === undefined || joined === undefined) {
      return;
    }
    const link = new FakePeerLink({
      clock: joined.options.clock ?? clock,
      random,
      openMs: () => linkOpenMs(from, to),
      reachPeer: () => this.#reach(from, to),
      onOpened: () => {
        const target = this.#joined.get(to);
        target?.options.admit?.(from);
        target?.links.get(from)?.dialNow();
      },
    });
    joined.links.set(to, link);
  }

  #reach(from: InstanceId, to: InstanceId): "open" | "refused" | "silent" {
    const target = this.#joined.get(to);
    if (this.isCut(from, to) || this.isCut(to, from)) {
      return "silent";
    }
    if (target === undefined) {
      return "refused";
    }
    return target.options.isFrozen?.() === true ? "silent" : "open";
  }

  #hasLink(joined: Joined, to: InstanceId): boolean {
    return this.#options.linkOpenMs === undefined
      ? this.#joined.has(to)
      : joined.links.get(to)?.isOpen === true;
  }

  #open<Message>(
    selfId: InstanceId,
    joined: Joined,
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
    joined.endpoints.add(endpoint);
    return {
      received: received.stream,
      send: (to, message) =>
        this.#hasLink(joined, to) &&
        this.#send(selfId, to, options.name, message),
      close: () => {
        joined.endpoints.delete(endpoint);
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
    const target = this.#joined.get(to);
    if (target === undefined || target.endpoints.size === 0) {
      return false;
    }
    this.#options.onSend?.(from, to, message);
    const { random } = this.#options;
    const copies = random.nextUnit() < this.faults.duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (random.nextUnit() >= this.faults.lossRate) {
        this.#deliverLater({ from, to, name, message, life: target });
      }
    }
    return true;
  }

  #deliverLater(
    sent: {
      from: InstanceId;
      to: InstanceId;
      name: string;
      message: unknown;
      life: Joined;
    },
  ): void {
    const { from, to, name, message } = sent;
    const { clock, random, delayMs } = this.#options;
    const jitterMs = random.nextUnit() * this.faults.jitterMs;
    clock.after((delayMs?.(from, to) ?? 0) + jitterMs, () => {
      const target = this.#joined.get(to);
      // A connection ends with the process that accepted it.
      const isOver = this.#options.linkOpenMs !== undefined &&
        target !== sent.life;
      if (target === undefined || isOver || this.isCut(from, to)) {
        return;
      }
      const runNow = (action: () => void) => action();
      (target.options.whenRunning ?? runNow)(() => {
        for (const endpoint of target.endpoints) {
          if (endpoint.name === name) {
            endpoint.deliver(from, message);
          }
        }
      });
    });
  }
}
