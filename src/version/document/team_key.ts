/**
 * Teams' keys: only salted hashes of them are ever kept.
 *
 * @module
 */

import { randomBytes, scrypt, timingSafeEqual } from "node:crypto";

/** The cost of one hash; about 16 MiB of memory while it is worked out. */
const SCRYPT_COST = { N: 16_384, r: 8, p: 1 };

const HASH_BYTES = 32;
const SALT_BYTES = 16;

/** The fewest characters of a new key. */
export const KEY_LENGTH_MIN = 16;

/** The most characters of a key that is looked at. */
export const KEY_LENGTH_MAX = 256;

/** A new hash of a key, as it stands in `keyHashes`. */
export async function hashTeamKey(
  key: string,
  options: { salt?: Uint8Array } = {},
): Promise<string> {
  const salt = Buffer.from(options.salt ?? randomBytes(SALT_BYTES));
  const hash = await derive(key, salt);
  return `scrypt$${salt.toString("hex")}$${hash.toString("hex")}`;
}

/** Whether the key is the one that was hashed; takes the same time for any. */
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

/** A new random key. */
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
