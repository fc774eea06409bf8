/**
 * Team keys, of which only salted hashes are stored.
 *
 * @module
 */

import { randomBytes, scrypt, timingSafeEqual } from "node:crypto";

/** Scrypt parameters; a hash needs about 16 MiB of memory while computed. */
const SCRYPT_COST = { N: 16_384, r: 8, p: 1 };

const HASH_BYTES = 32;
const SALT_BYTES = 16;

/** Minimum characters of a new key. */
export const KEY_LENGTH_MIN = 16;

/** Maximum characters of a key; longer ones are rejected without hashing. */
export const KEY_LENGTH_MAX = 256;

/** Hashes a key for `keyHashes`, with a random salt by default. */
export async function hashTeamKey(
  key: string,
  options: { salt?: Uint8Array } = {},
): Promise<string> {
  const salt = Buffer.from(options.salt ?? randomBytes(SALT_BYTES));
  const hash = await derive(key, salt);
  return `scrypt$${salt.toString("hex")}$${hash.toString("hex")}`;
}

/** Whether the key matches the hash, compared in constant time. */
export async function matchesTeamKey(
  key: string,
  keyHash: string,
): Promise<boolean> {
  const [, salt = "", expected = ""] = keyHash.split("$");
  const hash = await derive(key, Buffer.from(salt, "hex"));
  const expectedHash = Buffer.from(expected, "hex");
  return expectedHash.length === hash.length &&
    timingSafeEqual(expectedHash, hash);
}

/** Creates a random key. */
export function createTeamKey(): string {
  return randomBytes(24).toString("base64url");
}

function derive(key: string, salt: Buffer): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    scrypt(key, salt, HASH_BYTES, SCRYPT_COST, (error, hash) => {
      if (error === null) {
        resolve(hash);
      } else {
        reject(error);
      }
    });
  });
}
