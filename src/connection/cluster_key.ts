/**
 * The key that all instances of one system share, and the proofs made by it.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import type { InstanceId } from "../base/identity.ts";

/** What a proof binds together; a proof for one link serves no other. */
export interface ProofInput {
  /** Which side proves, so that a proof can't be sent back. */
  readonly side: "dialling" | "accepting";
  readonly clusterName: string;
  readonly from: InstanceId;
  readonly to: InstanceId;
  readonly diallingNonce: Uint8Array;
  readonly acceptingNonce: Uint8Array;
}

/** The shared key; the key itself never leaves this object. */
export class ClusterKey {
  #key: Uint8Array;

  constructor(options: { key: Uint8Array }) {
    this.#key = options.key;
  }

  /** HMAC-SHA-256 over all that the proof binds. */
  prove(input: ProofInput): Uint8Array {
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

  /** Whether `mac` is the proof for `input`, in constant time. */
  verify(input: ProofInput, mac: Uint8Array): boolean {
    const expected = this.prove(input);
    return mac.length === expected.length && timingSafeEqual(mac, expected);
  }
}
