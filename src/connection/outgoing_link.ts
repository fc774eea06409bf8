/**
 * The dialling side of one link: keeps a connection to one peer open,
 * authenticates, and sends messages. An idle connection is closed and replaced.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { type ClientOptions, type RawData, WebSocket } from "ws";
import type { InstanceId } from "../base/identity.ts";
import type { Clock, RandomSource, Timer } from "../base/mod.ts";
import { type ClusterKey, isSameMac, type ProofInput } from "./cluster_key.ts";
import {
  decodeFrame,
  encodeFrame,
  type MessageFrame,
  PEER_PROTOCOL_VERSION,
  type PeerFrame,
} from "./peer_frame.ts";

/** Periods and limits of outgoing links. */
export const OUTGOING_LINK_DEFAULTS = {
  /** Between two pings. */
  pingPeriodMs: 1_000,
  /** A connection on which nothing was received for this long is closed. */
  idleTimeoutMs: 3_000,
  /** A handshake that got no answer for this long may be given up. */
  dialPatienceMs: 500,
  /** Before the first reconnection attempt; doubles with each failure. */
  reconnectDelayMs: 100,
  reconnectDelayLimitMs: 2_000,
  /** Messages are dropped while the socket buffers more bytes than this. */
  bufferLimitBytes: 8_388_608,
} as const;

/** Options of an {@link OutgoingLink}. */
export interface OutgoingLinkOptions {
  readonly url: string;
  readonly socketOptions: ClientOptions;
  readonly selfId: InstanceId;
  readonly peerId: InstanceId;
  readonly clusterName: string;
  readonly clusterKey: ClusterKey;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly onOpened: () => void;
  readonly onClosed: (detail: string) => void;
}

interface Connection {
  readonly socket: WebSocket;
  readonly input: Omit<ProofInput, "acceptingNonce">;
  expectedMac: Uint8Array | undefined;
  isOpen: boolean;
  lastReceivedAtMs: number;
}

/** The link from this instance to one peer. */
export class OutgoingLink {
  #options: OutgoingLinkOptions;
  #connection: Connection | undefined;
  #failures = 0;
  #reconnectTimer: Timer | undefined;
  #pingTimer: Timer;
  #isClosed = false;

  constructor(options: OutgoingLinkOptions) {
    this.#options = options;
    this.#pingTimer = options.clock.every(
      OUTGOING_LINK_DEFAULTS.pingPeriodMs,
      () => this.#checkActivity(),
    );
    this.#dial();
  }

  get isOpen(): boolean {
    return this.#connection?.isOpen ?? false;
  }

  /**
   * Sends the frame and returns its size in bytes; returns 0 if it was dropped,
   * because the link is not open or the socket buffers too much.
   */
  send(frame: MessageFrame): number {
    const connection = this.#connection;
    if (connection === undefined || !connection.isOpen) {
      return 0;
    }
    const { bufferLimitBytes } = OUTGOING_LINK_DEFAULTS;
    if (connection.socket.bufferedAmount > bufferLimitBytes) {
      return 0;
    }
    const bytes = encodeFrame(frame);
    connection.socket.send(bytes);
    return bytes.length;
  }

  /** Dials again, unless a link is open; for a peer that has just connected. */
  dialNow(): void {
    this.#failures = 0;
    const connection = this.#connection;
    if (this.#isClosed || connection?.isOpen === true) {
      return;
    }
    if (connection === undefined) {
      this.#reconnectTimer?.close();
      this.#dial();
    } else if (
      this.#idleMs(connection) > OUTGOING_LINK_DEFAULTS.dialPatienceMs
    ) {
      // Its packets may have been lost while the peer was away.
      connection.socket.terminate();
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#pingTimer.close();
    this.#reconnectTimer?.close();
    this.#connection?.socket.terminate();
  }

  #dial(): void {
    const options = this.#options;
    const socket = new WebSocket(options.url, options.socketOptions);
    const connection: Connection = {
      socket,
      input: {
        side: "dialling",
        clusterName: options.clusterName,
        from: options.selfId,
        to: options.peerId,
        diallingNonce: new Uint8Array(randomBytes(16)),
      },
      expectedMac: undefined,
      isOpen: false,
      lastReceivedAtMs: options.clock.nowMs(),
    };
    this.#connection = connection;
    socket.on("open", () => this.#sendHello(connection));
    socket.on("message", (data) => this.#receive(connection, data));
    socket.on("pong", () => this.#recordActivity(connection));
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#handleClose(connection));
  }

  #sendHello(connection: Connection): void {
    const { input } = connection;
    sendFrame(connection, {
      kind: "hello",
      protocolVersion: PEER_PROTOCOL_VERSION,
      clusterName: input.clusterName,
      from: input.from,
      to: input.to,
      nonce: input.diallingNonce,
    });
  }

  #receive(connection: Connection, data: RawData): void {
    this.#recordActivity(connection);
    if (!(data instanceof Uint8Array)) {
      connection.socket.terminate();
      return;
    }
    decodeFrame(data).caseOf({
      Left: () => connection.socket.terminate(),
      Right: (frame) => this.#handle(connection, frame),
    });
  }

  #handle(connection: Connection, frame: PeerFrame): void {
    switch (frame.kind) {
      case "challenge":
        this.#sendProof(connection, frame.nonce);
        return;
      case "welcome":
        this.#handleWelcome(connection, frame.mac);
        return;
      case "hello":
      case "proof":
      case "message":
        connection.socket.terminate();
        return;
    }
  }

  #sendProof(connection: Connection, acceptingNonce: Uint8Array): void {
    const key = this.#options.clusterKey;
    const input: ProofInput = { ...connection.input, acceptingNonce };
    connection.expectedMac = key.computeMac({ ...input, side: "accepting" });
    sendFrame(connection, { kind: "proof", mac: key.computeMac(input) });
  }

  #handleWelcome(connection: Connection, mac: Uint8Array): void {
    const expected = connection.expectedMac;
    if (expected === undefined || !isSameMac(expected, mac)) {
      connection.socket.terminate();
      return;
    }
    connection.isOpen = true;
    this.#failures = 0;
    this.#options.onOpened();
  }

  #recordActivity(connection: Connection): void {
    connection.lastReceivedAtMs = this.#options.clock.nowMs();
  }

  #idleMs(connection: Connection): number {
    return this.#options.clock.nowMs() - connection.lastReceivedAtMs;
  }

  #checkActivity(): void {
    const connection = this.#connection;
    if (connection === undefined) {
      return;
    }
    if (this.#idleMs(connection) > OUTGOING_LINK_DEFAULTS.idleTimeoutMs) {
      connection.socket.terminate();
      return;
    }
    if (connection.socket.readyState === WebSocket.OPEN) {
      connection.socket.ping();
    }
  }

  #handleClose(connection: Connection): void {
    if (this.#connection !== connection) {
      return;
    }
    this.#connection = undefined;
    if (connection.isOpen) {
      this.#options.onClosed("the connection was closed");
    }
    if (!this.#isClosed) {
      this.#scheduleReconnect();
    }
  }

  #scheduleReconnect(): void {
    const { reconnectDelayMs, reconnectDelayLimitMs } = OUTGOING_LINK_DEFAULTS;
    const backoffMs = Math.min(
      reconnectDelayLimitMs,
      reconnectDelayMs * 2 ** this.#failures,
    );
    const jitter = 0.5 + this.#options.random.nextUnit() / 2;
    this.#failures = Math.min(this.#failures + 1, 10);
    this.#reconnectTimer = this.#options.clock.after(
      backoffMs * jitter,
      () => this.#dial(),
    );
  }
}

function sendFrame(connection: Connection, frame: PeerFrame): void {
  connection.socket.send(encodeFrame(frame));
}
