/**
 * Communication between instances: typed one-way messages on named channels.
 * Messages may be lost, delayed, duplicated or reordered; users that need
 * reliable delivery add acknowledgements.
 *
 * @module
 */

import type { Stream } from "most";
import type { InstanceId } from "../base/identity.ts";
import type { Result } from "../base/sesame_error.ts";

/** A received message and its sender. */
export interface Received<Message> {
  readonly from: InstanceId;
  readonly message: Message;
}

/** A module's own channel for messages between instances. */
export interface PeerChannel<Message> {
  /** Messages from other instances. */
  readonly received: Stream<Received<Message>>;
  /** Sends if a link is open; false if the message was dropped locally. */
  send(to: InstanceId, message: Message): boolean;
  close(): void;
}

/** Options of a {@link PeerChannel}. */
export interface PeerChannelOptions<Message> {
  /** The channel's name, the same on every instance. */
  readonly name: string;
  /** Validates a received body; a failure closes the connection. */
  readonly decode: (body: unknown) => Result<Message>;
}

/** The links of this instance to its peers. */
export interface PeerNetwork {
  readonly selfId: InstanceId;
  /** All known peers, reachable or not, without this instance. */
  readonly peerIds: readonly InstanceId[];
  /** The peers to which a link is currently open. */
  linkedPeerIds(): readonly InstanceId[];
  channel<Message>(
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message>;
}
