/**
 * The key shared by all instances of a cluster, and proofs of holding it.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import type { InstanceId } from "../base/identity.ts";

/**
 * What a proof covers. The nonces of both sides make each proof valid for one
 * connection only.
 */
export interface ProofInput {
  /** The proving side, so that a proof can't be reflected to its sender. */
  readonly side: "dialling" | "accepting";
  readonly clusterName: string;
  readonly from: InstanceId;
  readonly to: InstanceId;
  readonly diallingNonce: Uint8Array;
  readonly acceptingNonce: Uint8Array;
}

/** The shared key, which can't be read back from this object. */
export class ClusterKey {
  #key: Uint8Array;

  constructor(options: { key: Uint8Array }) {
    this.#key = options.key;
  }

  /** The proof: HMAC-SHA-256 over all fields of `input`. */
  computeMac(input: ProofInput): Uint8Array {
    const mac = createHmac("sha256", this.#key);
    mac.update(JSON.stringify([
      input.side,
      input.clusterName,
      input.from,
      input.to,
    ]));
    mac.update(input.diallingNonce);
    mac.update(input.acceptingNonce);
    return new Uint8Array(mac.digest());
  }

  /** Whether `mac` is the proof for `input`; compares in constant time. */
  verify(input: ProofInput, mac: Uint8Array): boolean {
    return isSameMac(this.computeMac(input), mac);
  }
}

/** Whether two proofs are the same; compares in constant time. */
export function isSameMac(expected: Uint8Array, mac: Uint8Array): boolean {
  return mac.length === expected.length && timingSafeEqual(mac, expected);
}
