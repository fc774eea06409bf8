/**
 * How instances talk: typed one-way messages on named channels. Delivery is
 * not assured, and a message may come late, twice or out of order; whoever
 * needs more builds it from acknowledgements.
 *
 * @module
 */

import type { Stream } from "most";
import type { InstanceId } from "../base/identity.ts";
import type { Result } from "../base/sesame_error.ts";

/** A message that has arrived, with the instance that sent it. */
export interface Received<Message> {
  readonly from: InstanceId;
  readonly message: Message;
}

/** One part's own messages between instances. */
export interface PeerChannel<Message> {
  /** Messages from other instances. */
  readonly received: Stream<Received<Message>>;
  /** Sends if there is a link; false when the message was dropped at once. */
  send(to: InstanceId, message: Message): boolean;
  close(): void;
}

/** What a part says of its channel when it opens it. */
export interface PeerChannelOptions<Message> {
  /** The channel's name; the same part uses it on every instance. */
  readonly name: string;
  /** Checks the shape of what came; a failure closes the connection. */
  readonly decode: (body: unknown) => Result<Message>;
}

/** The links of this instance to its peers. */
export interface PeerNetwork {
  readonly selfId: InstanceId;
  /** All peers named in the settings, reachable or not, without this one. */
  readonly peerIds: readonly InstanceId[];
  /** The peers to which a link is open now. */
  linkedPeerIds(): readonly InstanceId[];
  channel<Message>(
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message>;
}
