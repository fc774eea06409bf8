/**
 * Links between instances within one process, for tests: messages can be
 * lost, delayed and doubled.
 *
 * @module
 */

import { Channel, type Clock } from "../../base/mod.ts";
import type { InstanceId } from "../../base/identity.ts";
import type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";

/** When each copy of a message arrives; none for a lost message. */
export type DelaysOf = (from: InstanceId, to: InstanceId) => readonly number[];

/** The links of one process's instances. */
export class MemoryHub {
  readonly #clock: Clock;
  readonly #ports = new Map<InstanceId, MemoryNetwork>();
  /** How messages fare from now on. */
  delaysOf: DelaysOf = () => [0];
  /** Whether two instances are linked. */
  isLinked: (from: InstanceId, to: InstanceId) => boolean = () => true;

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  get instanceIds(): InstanceId[] {
    return [...this.#ports.keys()];
  }

  network(selfId: InstanceId): MemoryNetwork {
    const network = new MemoryNetwork({ hub: this, selfId });
    this.#ports.set(selfId, network);
    return network;
  }

  /** Sends a copy, so that nothing is shared between instances. */
  send(
    from: InstanceId,
    options: { to: InstanceId; channel: string; message: unknown },
  ): boolean {
    const { to, channel, message } = options;
    if (!this.isLinked(from, to) || !this.#ports.has(to)) {
      return false;
    }
    for (const delayMs of this.delaysOf(from, to)) {
      const copy = structuredClone(message);
      this.#clock.after(delayMs, () => {
        this.#ports.get(to)?.deliver(channel, { from, message: copy });
      });
    }
    return true;
  }
}

/** One instance's links. */
export class MemoryNetwork implements PeerNetwork {
  readonly selfId: InstanceId;
  readonly #hub: MemoryHub;
  readonly #channels = new Map<
    string,
    (received: Received<unknown>) => void
  >();

  constructor(options: { hub: MemoryHub; selfId: InstanceId }) {
    this.#hub = options.hub;
    this.selfId = options.selfId;
  }

  get peerIds(): readonly InstanceId[] {
    return this.#hub.instanceIds.filter((id) => id !== this.selfId);
  }

  linkedPeerIds(): readonly InstanceId[] {
    return this.peerIds.filter((id) => this.#hub.isLinked(this.selfId, id));
  }

  channel<Message>(
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message> {
    const arrivals = new Channel<Received<Message>>();
    const { name, decode } = options;
    this.#channels.set(name, ({ from, message }) => {
      decode(message).ifRight((decoded) =>
        arrivals.push({ from, message: decoded })
      );
    });
    return {
      received: arrivals.stream,
      send: (to, message) =>
        this.#hub.send(this.selfId, { to, channel: name, message }),
      close: () => {
        this.#channels.delete(name);
        arrivals.close();
      },
    };
  }

  deliver(channel: string, received: Received<unknown>): void {
    this.#channels.get(channel)?.(received);
  }
}
