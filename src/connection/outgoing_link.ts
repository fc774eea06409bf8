/**
 * The dialling side of one link: keeps a connection to one peer open, proves
 * itself, and sends. A connection on which nothing comes back is given up.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { type ClientOptions, type RawData, WebSocket } from "ws";
import type { InstanceId } from "../base/identity.ts";
import type { Clock, RandomSource, Timer } from "../base/mod.ts";
import type { ClusterKey, ProofInput } from "./cluster_key.ts";
import {
  decodeFrame,
  encodeFrame,
  type MessageFrame,
  PEER_PROTOCOL_VERSION,
  type PeerFrame,
} from "./peer_frame.ts";

/** The periods and bounds of a link. */
export const OUTGOING_LINK_DEFAULTS = {
  /** Between two signs of life. */
  pingPeriodMs: 1_000,
  /** Without any answer for so long the connection is given up. */
  silenceLimitMs: 3_000,
  /** Before the first new try; it doubles with each failure. */
  redialMs: 100,
  redialLimitMs: 2_000,
  /** Bytes not yet taken by the socket beyond which messages are dropped. */
  bufferLimitBytes: 8_388_608,
} as const;

/** How an {@link OutgoingLink} is made. */
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
  heardAtMs: number;
}

/** The link from this instance to one peer. */
export class OutgoingLink {
  #options: OutgoingLinkOptions;
  #connection: Connection | undefined;
  #failures = 0;
  #redial: Timer | undefined;
  #pinger: Timer;
  #isClosed = false;

  constructor(options: OutgoingLinkOptions) {
    this.#options = options;
    this.#pinger = options.clock.every(
      OUTGOING_LINK_DEFAULTS.pingPeriodMs,
      () => this.#checkLife(),
    );
    this.#dial();
  }

  get isOpen(): boolean {
    return this.#connection?.isOpen ?? false;
  }

  /** Sends if the link is open and has room; gives the bytes, or 0. */
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

  close(): void {
    this.#isClosed = true;
    this.#pinger.close();
    this.#redial?.close();
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
      heardAtMs: options.clock.nowMs(),
    };
    this.#connection = connection;
    socket.on("open", () => this.#sayHello(connection));
    socket.on("message", (data) => this.#receive(connection, data));
    socket.on("pong", () => this.#noteLife(connection));
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#lose(connection));
  }

  #sayHello(connection: Connection): void {
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
    this.#noteLife(connection);
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
        this.#prove(connection, frame.nonce);
        return;
      case "welcome":
        this.#open(connection, frame.mac);
        return;
      case "hello":
      case "proof":
      case "message":
        connection.socket.terminate();
        return;
    }
  }

  #prove(connection: Connection, acceptingNonce: Uint8Array): void {
    const key = this.#options.clusterKey;
    const input: ProofInput = { ...connection.input, acceptingNonce };
    connection.expectedMac = key.prove({ ...input, side: "accepting" });
    sendFrame(connection, { kind: "proof", mac: key.prove(input) });
  }

  #open(connection: Connection, mac: Uint8Array): void {
    const expected = connection.expectedMac;
    if (expected === undefined || Buffer.compare(expected, mac) !== 0) {
      connection.socket.terminate();
      return;
    }
    connection.isOpen = true;
    this.#failures = 0;
    this.#options.onOpened();
  }

  #noteLife(connection: Connection): void {
    connection.heardAtMs = this.#options.clock.nowMs();
  }

  #checkLife(): void {
    const connection = this.#connection;
    if (connection === undefined) {
      return;
    }
    const silentMs = this.#options.clock.nowMs() - connection.heardAtMs;
    if (silentMs > OUTGOING_LINK_DEFAULTS.silenceLimitMs) {
      connection.socket.terminate();
      return;
    }
    if (connection.socket.readyState === WebSocket.OPEN) {
      connection.socket.ping();
    }
  }

  #lose(connection: Connection): void {
    if (this.#connection !== connection) {
      return;
    }
    this.#connection = undefined;
    if (connection.isOpen) {
      this.#options.onClosed("the connection ended");
    }
    if (!this.#isClosed) {
      this.#scheduleRedial();
    }
  }

  #scheduleRedial(): void {
    const { redialMs, redialLimitMs } = OUTGOING_LINK_DEFAULTS;
    const backoffMs = Math.min(redialLimitMs, redialMs * 2 ** this.#failures);
    const jitter = 0.5 + this.#options.random.nextUnit() / 2;
    this.#failures = Math.min(this.#failures + 1, 10);
    this.#redial = this.#options.clock.after(
      backoffMs * jitter,
      () => this.#dial(),
    );
  }
}

function sendFrame(connection: Connection, frame: PeerFrame): void {
  connection.socket.send(encodeFrame(frame));
}
