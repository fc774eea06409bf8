/**
 * Reads the cluster key and the TLS files that the settings name.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Right } from "purify-ts/Either";
import { failure, type Result } from "../../base/mod.ts";
import { ClusterKey, type PeerTls } from "../../connection/mod.ts";
import type { Settings } from "../settings/mod.ts";

/** Shorter keys could be guessed. */
const MIN_KEY_BYTES = 16;

/** Used when the settings name no key file; not secret. */
const DEFAULT_KEY = new TextEncoder().encode("sesamethread-open-cluster");

/** The key and TLS files of this instance's cluster. */
export interface ClusterFiles {
  readonly clusterKey: ClusterKey;
  readonly tls: PeerTls | undefined;
}

/**
 * Reads the files. Fails with `notFound` or `invalid`, with the path of the
 * file as the location.
 */
export function readClusterFiles(
  cluster: Settings["cluster"],
): Result<ClusterFiles> {
  return readKey(cluster.keyFile).chain((clusterKey) =>
    readTls(cluster).map((tls) => ({ clusterKey, tls }))
  );
}

function readKey(path: string | undefined): Result<ClusterKey> {
  if (path === undefined) {
    return Right(new ClusterKey({ key: DEFAULT_KEY }));
  }
  return readBytes(path).chain((bytes) => {
    if (bytes.length < MIN_KEY_BYTES) {
      const detail = `${path}: expected at least ${MIN_KEY_BYTES} bytes`;
      return failure("invalid", { detail, location: path });
    }
    return Right(new ClusterKey({ key: bytes }));
  });
}

function readTls(cluster: Settings["cluster"]): Result<PeerTls | undefined> {
  const { tlsCertificateFile, tlsKeyFile, tlsAuthorityFile } = cluster;
  const isTlsConfigured = tlsCertificateFile !== undefined &&
    tlsKeyFile !== undefined && tlsAuthorityFile !== undefined;
  if (!isTlsConfigured) {
    return Right(undefined);
  }
  return readText(tlsCertificateFile).chain((certificate) =>
    readText(tlsKeyFile).chain((key) =>
      readText(tlsAuthorityFile).map((authority) => ({
        certificate,
        key,
        authority,
      }))
    )
  );
}

function readText(path: string): Result<string> {
  return readBytes(path).map((bytes) => new TextDecoder().decode(bytes));
}

function readBytes(path: string): Result<Uint8Array> {
  try {
    return Right(new Uint8Array(readFileSync(path)));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return failure("notFound", { detail, location: path });
  }
}
