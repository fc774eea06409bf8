/**
 * The peer network over WebSocket (`ws`): one dialled and one accepted
 * connection for each peer.
 *
 * @module
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { type WebSocket, WebSocketServer } from "ws";
import type { InstanceId } from "../base/identity.ts";
import {
  Channel,
  type Clock,
  type EventLog,
  type RandomSource,
} from "../base/mod.ts";
import {
  ByteBudget,
  ConnectionRefusals,
  guardConnections,
  GuardedConnection,
  type MetricsRegistry,
  RefusalReason,
  RequestMemory,
  TurnQueue,
} from "../process/http/mod.ts";
import type { HybridClock } from "../process/timeline/hybrid_clock.ts";
import type { ClusterKey } from "./cluster_key.ts";
import { IncomingLink } from "./incoming_link.ts";
import {
  AUTHENTICATION_TIMEOUT_MS,
  clientOptions,
  createLinkServer,
  FRAME_LIMIT_BYTES,
  HANDSHAKE_HEADER_BYTES,
  listen,
  type PeerTls,
} from "./link_transport.ts";
import { OutgoingLink } from "./outgoing_link.ts";
import type { MessageFrame } from "./peer_frame.ts";
import type {
  PeerChannel,
  PeerChannelOptions,
  PeerNetwork,
  Received,
} from "./peer_network.ts";
import { UnauthenticatedConnections } from "./unauthenticated_connections.ts";

/** The maximum number of concurrent unauthenticated connections. */
const UNAUTHENTICATED_LIMIT = 64;

/** How much an unauthenticated connection may send: `hello` and `proof`. */
const UNAUTHENTICATED_BYTES = 8_192;

/** Limits of all handshakes together; one takes less than 20 kB. */
const HANDSHAKE_MEMORY_BYTES = 4_194_304;

/** The listen address of one peer. */
export interface PeerAddress {
  readonly id: InstanceId;
  /** IP address and port. */
  readonly address: string;
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
  readonly metrics?: MetricsRegistry;
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
  /** Connections before the end of the WebSocket handshake. */
  #handshakes = new Set<GuardedConnection>();
  readonly #handshakeMemory = new RequestMemory({
    limitBytes: HANDSHAKE_MEMORY_BYTES,
  });
  readonly #handshakeInput = new ByteBudget({
    limitBytes: HANDSHAKE_MEMORY_BYTES,
  });
  readonly #turns = new TurnQueue();
  readonly #unauthenticated = new UnauthenticatedConnections({
    limit: UNAUTHENTICATED_LIMIT,
    onDisplaced: (socket) => this.#refuse(socket),
  });
  readonly #refusals: ConnectionRefusals;
  #channels = new Map<string, Deliver>();

  constructor(options: WsPeerNetworkOptions) {
    this.#options = options;
    this.selfId = options.self.id;
    options.peers.forEach((peer) => this.#peerIds.add(peer.id));
    this.#refusals = new ConnectionRefusals({
      clock: options.clock,
      eventLog: options.events,
      ...(options.metrics === undefined ? {} : { metrics: options.metrics }),
    });
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
    const { tls } = this.#options;
    this.#server = createLinkServer(tls);
    const sockets = new WebSocketServer({
      noServer: true,
      maxPayload: FRAME_LIMIT_BYTES,
      perMessageDeflate: false,
    });
    guardConnections(this.#server, (socket) => this.#guard(socket), {
      event: tls === undefined ? "connection" : "secureConnection",
    });
    // A listener of links answers no requests.
    this.#server.on("request", (request) => this.#refuse(request.socket));
    this.#server.on("clientError", (_, stream) => this.#refuse(stream));
    this.#server.on("upgrade", (request, stream) => {
      this.#upgrade(sockets, request, stream as unknown as GuardedConnection);
    });
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
    for (const connection of this.#handshakes) {
      connection.destroy();
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

  /** The connection until its handshake. */
  #guard(socket: Socket): GuardedConnection {
    const connection = new GuardedConnection({
      socket,
      memory: this.#handshakeMemory,
      heldInput: this.#handshakeInput,
      turns: this.#turns,
      headerBytes: HANDSHAKE_HEADER_BYTES,
      pendingRequests: 1,
      onOverload: () => this.#refuse(connection),
      onHeadTooLarge: () => this.#refuse(connection),
      onInputDropped: () => this.#refuse(connection),
    });
    this.#handshakes.add(connection);
    const timer = this.#options.clock.after(
      AUTHENTICATION_TIMEOUT_MS,
      () => this.#refuse(connection),
    );
    const end = () => {
      timer.close();
      this.#handshakes.delete(connection);
    };
    connection.once("detach", end);
    connection.once("close", end);
    this.#unauthenticated.add(socket);
    return connection;
  }

  #upgrade(
    sockets: WebSocketServer,
    request: IncomingMessage,
    connection: GuardedConnection,
  ): void {
    const { socket, input } = connection.detach();
    sockets.handleUpgrade(request, socket, input, (accepted) => {
      const link = this.#accept(accepted, socket);
      this.#limitUnauthenticated(link, { socket, input });
    });
    socket.resume();
  }

  /**
   * Closes a connection that sends more than an authentication needs: a frame
   * is held in memory until it is complete.
   */
  #limitUnauthenticated(
    link: IncomingLink,
    { socket, input }: { socket: Socket; input: Uint8Array },
  ): void {
    let bytes = input.length;
    const check = () => {
      if (link.from !== undefined) {
        socket.off("data", count);
      } else if (bytes > UNAUTHENTICATED_BYTES) {
        this.#refuse(socket);
      }
    };
    const count = (chunk: Uint8Array) => {
      bytes += chunk.length;
      check();
    };
    socket.on("data", count);
    check();
  }

  #refuse(connection: { destroy(): unknown }): void {
    this.#refusals.note(RefusalReason.unknownPeer);
    connection.destroy();
  }

  #accept(accepted: WebSocket, socket: Socket): IncomingLink {
    const link: IncomingLink = new IncomingLink({
      socket: accepted,
      selfId: this.selfId,
      isAdmitted: (id) => this.#isAdmitted(id),
      onAuthenticated: (id) => {
        this.#unauthenticated.remove(socket);
        this.#admit(id);
      },
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
    accepted.on("close", () => {
      timer.close();
      this.#incoming.delete(link);
    });
    return link;
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
