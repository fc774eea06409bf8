/**
 * The peer network over WebSocket (`ws`): one dialled and one accepted
 * connection for each peer.
 *
 * @module
 */

import { createServer as createHttpServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { type ClientOptions, type WebSocket, WebSocketServer } from "ws";
import type { InstanceId } from "../base/identity.ts";
import {
  Channel,
  type Clock,
  type EventLog,
  type RandomSource,
} from "../base/mod.ts";
import { splitAddress } from "../base/split_address.ts";
import type { HybridClock } from "../process/timeline/hybrid_clock.ts";
import type { ClusterKey } from "./cluster_key.ts";
import { IncomingLink } from "./incoming_link.ts";
import { OutgoingLink } from "./outgoing_link.ts";
import type { MessageFrame } from "./peer_frame.ts";
import type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "./peer_network.ts";

/** The maximum size of a frame. */
export const FRAME_LIMIT_BYTES = 4_194_304;

/** The maximum number of concurrent unauthenticated connections. */
const UNAUTHENTICATED_LIMIT = 64;

/**
 * How long an accepted connection may take to authenticate, and a dialled one
 * to complete the WebSocket handshake.
 */
const AUTHENTICATION_TIMEOUT_MS = 5_000;

/** The listen address of one peer. */
export interface PeerAddress {
  readonly id: InstanceId;
  /** IP address and port. */
  readonly address: string;
}

/** PEM texts for mutual TLS between instances. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

/** Options of a {@link WsPeerNetwork}. */
export interface WsPeerNetworkOptions {
  readonly self: PeerAddress;
  readonly peers: readonly PeerAddress[];
  readonly clusterName: string;
  readonly clusterKey: ClusterKey;
  readonly tls?: PeerTls;
  readonly clock: Clock;
  readonly hybridClock: HybridClock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /**
   * The address of a peer that is not in `peers` but may authenticate with the
   * cluster key; undefined if that peer is not admitted. Without this function,
   * only `peers` are admitted.
   */
  readonly admit?: (id: InstanceId) => PeerAddress | undefined;
  /** Called when a peer that is not in `peers` has authenticated. */
  readonly onAdmitted?: (id: InstanceId) => void;
}

type Deliver = (from: InstanceId, body: unknown) => boolean;

/** Traffic counters of the network. */
export interface PeerTraffic {
  sentMessages: number;
  /** Frame bytes, without WebSocket and TCP overhead. */
  sentBytes: number;
  /** `sentBytes` by channel. */
  readonly sentBytesByChannel: Record<string, number>;
  droppedMessages: number;
  receivedMessages: number;
  rejectedConnections: number;
}

/** The links of this instance to its peers. */
export class WsPeerNetwork implements PeerNetwork {
  readonly selfId: InstanceId;
  readonly #peerIds = new Set<InstanceId>();
  readonly traffic: PeerTraffic = {
    sentMessages: 0,
    sentBytes: 0,
    sentBytesByChannel: {},
    droppedMessages: 0,
    receivedMessages: 0,
    rejectedConnections: 0,
  };
  #options: WsPeerNetworkOptions;
  #server: Server | undefined;
  #outgoing = new Map<InstanceId, OutgoingLink>();
  #incoming = new Set<IncomingLink>();
  #channels = new Map<string, Deliver>();

  constructor(options: WsPeerNetworkOptions) {
    this.#options = options;
    this.selfId = options.self.id;
    options.peers.forEach((peer) => this.#peerIds.add(peer.id));
  }

  /** All known peers, reachable or not, without this instance. */
  get peerIds(): readonly InstanceId[] {
    return [...this.#peerIds];
  }

  /** Adds a peer and dials it; does nothing if the peer is known. */
  addPeer(peer: PeerAddress): void {
    if (peer.id === this.selfId || this.#peerIds.has(peer.id)) {
      return;
    }
    this.#peerIds.add(peer.id);
    this.#outgoing.set(peer.id, this.#dial(peer));
  }

  /** Listens and dials every peer; rejects if listening fails. */
  async open(): Promise<void> {
    this.#server = createServer(this.#options.tls);
    const sockets = new WebSocketServer({
      server: this.#server,
      maxPayload: FRAME_LIMIT_BYTES,
      perMessageDeflate: false,
    });
    sockets.on("connection", (socket) => this.#accept(socket));
    sockets.on("error", () => undefined);
    await listen(this.#server, this.#options.self.address);
    for (const peer of this.#options.peers) {
      this.#outgoing.set(peer.id, this.#dial(peer));
    }
  }

  linkedPeerIds(): readonly InstanceId[] {
    return this.peerIds.filter((id) => this.#outgoing.get(id)?.isOpen);
  }

  channel<Message>(
    options: PeerChannelOptions<Message>,
  ): PeerChannel<Message> {
    const received = new Channel<Received<Message>>();
    this.#channels.set(options.name, (from, body) => {
      const decoded = options.decode(body);
      decoded.ifRight((message) => received.push({ from, message }));
      return decoded.isRight();
    });
    return {
      received: received.stream,
      send: (to, message) => this.#send(to, options.name, message),
      close: () => {
        this.#channels.delete(options.name);
        received.close();
      },
    };
  }

  close(): Promise<void> {
    for (const link of this.#outgoing.values()) {
      link.close();
    }
    for (const link of this.#incoming) {
      link.close();
    }
    const server = this.#server;
    if (server === undefined) {
      return Promise.resolve();
    }
    return new Promise((resolve) => server.close(() => resolve()));
  }

  #send(to: InstanceId, channel: string, body: unknown): boolean {
    const frame: MessageFrame = {
      kind: "message",
      channel,
      ...this.#options.hybridClock.next(),
      body,
    };
    const bytes = this.#outgoing.get(to)?.send(frame) ?? 0;
    if (bytes === 0) {
      this.traffic.droppedMessages += 1;
      return false;
    }
    this.traffic.sentMessages += 1;
    this.traffic.sentBytes += bytes;
    const { sentBytesByChannel } = this.traffic;
    sentBytesByChannel[channel] = (sentBytesByChannel[channel] ?? 0) + bytes;
    return true;
  }

  #dial(peer: PeerAddress): OutgoingLink {
    const { tls, events } = this.#options;
    const scheme = tls === undefined ? "ws" : "wss";
    return new OutgoingLink({
      url: `${scheme}://${peer.address}`,
      socketOptions: clientOptions(tls),
      selfId: this.selfId,
      peerId: peer.id,
      clusterName: this.#options.clusterName,
      clusterKey: this.#options.clusterKey,
      clock: this.#options.clock,
      random: this.#options.random,
      onOpened: () => events.emit("linkOpened", { peer: peer.id }),
      onClosed: (detail) =>
        events.emit("linkClosed", { peer: peer.id, detail }),
    });
  }

  #accept(socket: WebSocket): void {
    if (this.#countUnauthenticated() >= UNAUTHENTICATED_LIMIT) {
      socket.terminate();
      return;
    }
    const link: IncomingLink = new IncomingLink({
      socket,
      selfId: this.selfId,
      isAdmitted: (id) => this.#isAdmitted(id),
      onAuthenticated: (id) => this.#admit(id),
      clusterName: this.#options.clusterName,
      clusterKey: this.#options.clusterKey,
      onMessage: (from, frame) => this.#deliver(link, from, frame),
      onRejected: (from, detail) => this.#countRejected(from, detail),
    });
    this.#incoming.add(link);
    const timer = this.#options.clock.after(AUTHENTICATION_TIMEOUT_MS, () => {
      if (link.from === undefined) {
        link.reject("authentication timed out");
      }
    });
    socket.on("close", () => {
      timer.close();
      this.#incoming.delete(link);
    });
  }

  #isAdmitted(id: InstanceId): boolean {
    return this.#peerIds.has(id) ||
      this.#options.admit?.(id) !== undefined;
  }

  /** Connects to a peer that has connected to this instance. */
  #admit(id: InstanceId): void {
    this.#outgoing.get(id)?.dialNow();
    const peer = this.#peerIds.has(id) ? undefined : this.#options.admit?.(id);
    if (peer !== undefined) {
      this.#options.onAdmitted?.(id);
      this.addPeer(peer);
    }
  }

  #countUnauthenticated(): number {
    let count = 0;
    for (const link of this.#incoming) {
      count += link.from === undefined ? 1 : 0;
    }
    return count;
  }

  #deliver(link: IncomingLink, from: InstanceId, frame: MessageFrame): void {
    this.#options.hybridClock.observe(frame);
    const deliver = this.#channels.get(frame.channel);
    if (deliver === undefined) {
      return;
    }
    if (!deliver(from, frame.body)) {
      link.reject(`malformed message on channel ${frame.channel}`);
      return;
    }
    this.traffic.receivedMessages += 1;
  }

  #countRejected(from: InstanceId | undefined, detail: string): void {
    this.traffic.rejectedConnections += 1;
    this.#options.events.emit("frameRejected", { peer: from, detail });
  }
}

function createServer(tls: PeerTls | undefined): Server {
  if (tls === undefined) {
    return createHttpServer();
  }
  return createTlsServer({
    cert: tls.certificate,
    key: tls.key,
    ca: tls.authority,
    requestCert: true,
    rejectUnauthorized: true,
  });
}

function clientOptions(tls: PeerTls | undefined): ClientOptions {
  const shared: ClientOptions = {
    perMessageDeflate: false,
    maxPayload: FRAME_LIMIT_BYTES,
    handshakeTimeout: AUTHENTICATION_TIMEOUT_MS,
  };
  if (tls === undefined) {
    return shared;
  }
  return {
    ...shared,
    cert: tls.certificate,
    key: tls.key,
    ca: tls.authority,
    // Peers are addressed by IP address and authenticated by the cluster key,
    // so the certificate's host name is not checked. Node accepts the name if
    // this function returns a falsy value.
    checkServerIdentity: () => false,
  };
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
