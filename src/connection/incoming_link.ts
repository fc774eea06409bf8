/**
 * The accepting side of one link: authenticates the dialling peer, then
 * delivers its messages. A protocol error closes the connection and has no
 * other effect.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type { RawData, WebSocket } from "ws";
import type { InstanceId } from "../base/identity.ts";
import type { ClusterKey, ProofInput } from "./cluster_key.ts";
import {
  decodeFrame,
  encodeFrame,
  type HelloFrame,
  type MessageFrame,
  PEER_PROTOCOL_VERSION,
  type PeerFrame,
} from "./peer_frame.ts";

const NONCE_BYTES = 16;

/** Options of an {@link IncomingLink}. */
export interface IncomingLinkOptions {
  readonly socket: WebSocket;
  readonly selfId: InstanceId;
  /** Whether a peer with this ID may authenticate. */
  readonly isAdmitted: (id: InstanceId) => boolean;
  readonly onAuthenticated: (id: InstanceId) => void;
  readonly clusterName: string;
  readonly clusterKey: ClusterKey;
  readonly onMessage: (from: InstanceId, frame: MessageFrame) => void;
  readonly onRejected: (from: InstanceId | undefined, detail: string) => void;
}

type LinkState =
  | { readonly kind: "waitingForHello" }
  | { readonly kind: "waitingForProof"; readonly input: ProofInput }
  | { readonly kind: "open"; readonly from: InstanceId };

/** One accepted connection from a peer. */
export class IncomingLink {
  #options: IncomingLinkOptions;
  #state: LinkState = { kind: "waitingForHello" };

  constructor(options: IncomingLinkOptions) {
    this.#options = options;
    options.socket.on("message", (data, isBinary) => {
      this.#receive(data, isBinary);
    });
    options.socket.on("error", (error) => this.#reject(error.message));
  }

  /** The authenticated peer; undefined until it is authenticated. */
  get from(): InstanceId | undefined {
    return this.#state.kind === "open" ? this.#state.from : undefined;
  }

  close(): void {
    this.#options.socket.terminate();
  }

  /** Closes the connection because of an error of the peer. */
  reject(detail: string): void {
    this.#reject(detail);
  }

  #receive(data: RawData, isBinary: boolean): void {
    if (!isBinary || !(data instanceof Uint8Array)) {
      this.#reject("not a binary frame");
      return;
    }
    decodeFrame(data).caseOf({
      Left: (error) => this.#reject(error.message),
      Right: (frame) => this.#handle(frame),
    });
  }

  #handle(frame: PeerFrame): void {
    switch (this.#state.kind) {
      case "waitingForHello":
        this.#handleHello(frame);
        return;
      case "waitingForProof":
        this.#handleProof(frame, this.#state.input);
        return;
      case "open":
        this.#handleMessage(frame, this.#state.from);
        return;
    }
  }

  #handleHello(frame: PeerFrame): void {
    if (frame.kind !== "hello") {
      this.#reject(`expected hello, not ${frame.kind}`);
      return;
    }
    const fault = this.#findHelloFault(frame);
    if (fault !== undefined) {
      this.#reject(fault);
      return;
    }
    const acceptingNonce = new Uint8Array(randomBytes(NONCE_BYTES));
    const input: ProofInput = {
      side: "dialling",
      clusterName: frame.clusterName,
      from: frame.from,
      to: frame.to,
      diallingNonce: frame.nonce,
      acceptingNonce,
    };
    this.#state = { kind: "waitingForProof", input };
    this.#send({ kind: "challenge", nonce: acceptingNonce });
  }

  #findHelloFault(hello: HelloFrame): string | undefined {
    if (hello.protocolVersion !== PEER_PROTOCOL_VERSION) {
      return `unsupported protocol version ${hello.protocolVersion}`;
    }
    if (hello.clusterName !== this.#options.clusterName) {
      return `wrong cluster ${hello.clusterName}`;
    }
    if (hello.to !== this.#options.selfId) {
      return `addressed to another instance, ${hello.to}`;
    }
    if (!this.#options.isAdmitted(hello.from)) {
      return `unknown peer ${hello.from}`;
    }
    return undefined;
  }

  #handleProof(frame: PeerFrame, input: ProofInput): void {
    if (frame.kind !== "proof") {
      this.#reject(`expected proof, not ${frame.kind}`);
      return;
    }
    const key = this.#options.clusterKey;
    if (!key.verify(input, frame.mac)) {
      this.#reject("invalid proof of the cluster key");
      return;
    }
    this.#state = { kind: "open", from: input.from };
    this.#options.onAuthenticated(input.from);
    const mac = key.computeMac({ ...input, side: "accepting" });
    this.#send({ kind: "welcome", mac });
  }

  #handleMessage(frame: PeerFrame, from: InstanceId): void {
    if (frame.kind !== "message") {
      this.#reject(`expected message, not ${frame.kind}`);
      return;
    }
    this.#options.onMessage(from, frame);
  }

  #send(frame: PeerFrame): void {
    this.#options.socket.send(encodeFrame(frame));
  }

  #reject(detail: string): void {
    this.#options.onRejected(this.from, detail);
    this.#options.socket.terminate();
  }
}
