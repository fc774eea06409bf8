/**
 * In-memory links between instances, for tests.
 *
 * @module
 * @internal
 */

import { pack, unpack } from "msgpackr";
import { Channel } from "../../base/channel.ts";
import type { InstanceId } from "../../base/identity.ts";
import type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "../../connection/peer_network.ts";

type Deliver = (from: InstanceId, body: unknown) => void;

/** All links; an instance that is cut off neither sends nor receives. */
export class FakePeerLinks {
  readonly #instanceIds: readonly InstanceId[];
  readonly #receivers = new Map<string, Deliver>();
  readonly #cutOff = new Set<InstanceId>();
  /** Messages and bytes sent so far. */
  readonly sent = { messages: 0, bytes: 0 };

  constructor(options: { instanceIds: readonly InstanceId[] }) {
    this.#instanceIds = options.instanceIds;
  }

  cutOff(instanceId: InstanceId): void {
    this.#cutOff.add(instanceId);
  }

  reconnect(instanceId: InstanceId): void {
    this.#cutOff.delete(instanceId);
  }

  network(selfId: InstanceId): PeerNetwork {
    const peerIds = this.#instanceIds.filter((id) => id !== selfId);
    return {
      selfId,
      peerIds,
      linkedPeerIds: () => peerIds.filter((id) => this.#isLinked(selfId, id)),
      channel: (options) => this.#channel(selfId, options),
    };
  }

  #channel<Message>(
    selfId: InstanceId,
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message> {
    const received = new Channel<Received<Message>>();
    this.#receivers.set(`${options.name}@${selfId}`, (from, body) => {
      options.decode(body).ifRight((message) =>
        received.push({ from, message })
      );
    });
    return {
      received: received.stream,
      send: (to, message) => this.#send(selfId, to, { ...options, message }),
      close: () => received.close(),
    };
  }

  #send(
    from: InstanceId,
    to: InstanceId,
    frame: { name: string; message: unknown },
  ): boolean {
    const deliver = this.#receivers.get(`${frame.name}@${to}`);
    if (deliver === undefined || !this.#isLinked(from, to)) {
      return false;
    }
    const bytes = pack(frame.message);
    this.sent.messages++;
    this.sent.bytes += bytes.length;
    deliver(from, unpack(bytes));
    return true;
  }

  #isLinked(from: InstanceId, to: InstanceId): boolean {
    return !this.#cutOff.has(from) && !this.#cutOff.has(to);
  }
}
