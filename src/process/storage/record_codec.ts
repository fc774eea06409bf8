/**
 * Encodes and decodes checksummed records, stored one after another in a file.
 *
 * A record consists of a magic number, the payload's length, how many bytes of
 * the file were synced when the record was written, a CRC-32 over everything
 * but the magic number, and the payload. The synced length distinguishes a torn
 * write, which a crash cut short and which may be discarded, from damage to
 * bytes that had been acknowledged as durable.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";

const MAGIC = 0x52_4c_53_54;
const HEADER_BYTES = 16;

/** The result of scanning a file for records. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[];
  /** The length of the intact records at the start of the file. */
  readonly wholeBytes: number;
  /**
   * `whole`: all records are intact. `torn`: the rest of the file is not known
   * to have been synced and may be truncated. `corrupt`: synced bytes are
   * damaged.
   */
  readonly state: "whole" | "torn" | "corrupt";
}

interface DecodedRecord {
  readonly payload: Uint8Array;
  readonly syncedBytes: number;
  readonly endBytes: number;
}

/**
 * Encodes a record. `syncedBytes` is how many bytes of the file are synced when
 * the record is written.
 */
export function encodeRecord(
  payload: Uint8Array,
  options: { syncedBytes: number },
): Uint8Array {
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.byteLength);
  record.writeUInt32LE(MAGIC, 0);
  record.writeUInt32LE(payload.byteLength, 4);
  record.writeUInt32LE(options.syncedBytes, 8);
  record.set(payload, HEADER_BYTES);
  record.writeUInt32LE(checksum(record), 12);
  return record;
}

function checksum(record: Uint8Array): number {
  const headerChecksum = crc32(record.subarray(4, 12));
  return crc32(record.subarray(HEADER_BYTES), headerChecksum);
}

/** Reads the records of a file up to the first damaged one. */
export function scanRecords(bytes: Uint8Array): RecordScan {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const payloads: Uint8Array[] = [];
  let wholeBytes = 0;
  while (wholeBytes < file.byteLength) {
    const record = readRecord(file, wholeBytes);
    if (record === undefined) {
      const state = classifyDamage(file, wholeBytes);
      return { payloads, wholeBytes, state };
    }
    payloads.push(record.payload);
    wholeBytes = record.endBytes;
  }
  return { payloads, wholeBytes, state: "whole" };
}

/** The payload if the file is exactly one intact record, else undefined. */
export function readSingleRecord(bytes: Uint8Array): Uint8Array | undefined {
  const scan = scanRecords(bytes);
  const isWhole = scan.state === "whole" && scan.payloads.length === 1;
  return isWhole ? scan.payloads[0] : undefined;
}

function readRecord(file: Buffer, start: number): DecodedRecord | undefined {
  const payloadStart = start + HEADER_BYTES;
  if (payloadStart > file.byteLength || file.readUInt32LE(start) !== MAGIC) {
    return undefined;
  }
  const endBytes = payloadStart + file.readUInt32LE(start + 4);
  if (endBytes > file.byteLength) {
    return undefined;
  }
  const record = file.subarray(start, endBytes);
  if (checksum(record) !== file.readUInt32LE(start + 12)) {
    return undefined;
  }
  return {
    payload: file.subarray(payloadStart, endBytes),
    syncedBytes: file.readUInt32LE(start + 8),
    endBytes,
  };
}

/** `corrupt` if a later record proves that the damaged bytes were synced. */
function classifyDamage(file: Buffer, damagedAt: number): "torn" | "corrupt" {
  const magic = Buffer.allocUnsafe(4);
  magic.writeUInt32LE(MAGIC, 0);
  let at = file.indexOf(magic, damagedAt + 1);
  while (at !== -1) {
    const record = readRecord(file, at);
    if (record !== undefined && record.syncedBytes > damagedAt) {
      return "corrupt";
    }
    at = file.indexOf(magic, at + 1);
  }
  return "torn";
}
