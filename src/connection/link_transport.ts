/**
 * Servers and WebSocket options of the links between instances, with their
 * limits.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { ClientOptions } from "ws";
import { splitAddress } from "../base/split_address.ts";

/** The maximum size of a frame. */
export const FRAME_LIMIT_BYTES = 4_194_304;

/** The maximum size of the headers of a WebSocket handshake. */
export const HANDSHAKE_HEADER_BYTES = 4_096;

/**
 * How long an accepted connection may take to authenticate, and a dialled one
 * to complete the WebSocket handshake.
 */
export const AUTHENTICATION_TIMEOUT_MS = 5_000;

/** PEM texts for mutual TLS between instances. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}

const HANDSHAKE_OPTIONS = {
  maxHeaderSize: HANDSHAKE_HEADER_BYTES,
  // Node's own answer would bypass the limits.
  requireHostHeader: false,
} as const;

/** A server for links, over TLS if it is given. */
export function createLinkServer(tls: PeerTls | undefined): Server {
  if (tls === undefined) {
    return createServer(HANDSHAKE_OPTIONS);
  }
  return createTlsServer({
    ...HANDSHAKE_OPTIONS,
    handshakeTimeout: AUTHENTICATION_TIMEOUT_MS,
    cert: tls.certificate,
    key: tls.key,
    ca: tls.authority,
    requestCert: true,
    rejectUnauthorized: true,
  });
}

/** The options of a dialled WebSocket. */
export function clientOptions(tls: PeerTls | undefined): ClientOptions {
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

/** Listens; rejects if that fails. */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}
