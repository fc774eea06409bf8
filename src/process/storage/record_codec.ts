/**
 * Checksummed records, one after another in a file.
 *
 * A record is a mark, its length, how much of its file was synced when it was
 * written, a CRC-32 (by `node:zlib`) over all but the mark, and its payload.
 * What was synced tells a write that a crash cut short, whose loss harms
 * nobody, from damage to something that was promised.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";

const MARK = 0x52_4c_53_54;
const HEADER_BYTES = 16;

/** What a scan of a file's records found. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[];
  /** How much of the file, from its start, is whole records. */
  readonly wholeBytes: number;
  /**
   * `torn`: the rest was never synced and may be cut off. `corrupt`: synced
   * bytes are damaged.
   */
  readonly state: "whole" | "torn" | "corrupt";
}

interface FoundRecord {
  readonly payload: Uint8Array;
  readonly syncedBytes: number;
  readonly endBytes: number;
}

/** One record with the given payload. */
export function encodeRecord(
  payload: Uint8Array,
  options: { syncedBytes: number },
): Uint8Array {
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.byteLength);
  record.writeUInt32LE(MARK, 0);
  record.writeUInt32LE(payload.byteLength, 4);
  record.writeUInt32LE(options.syncedBytes, 8);
  record.set(payload, HEADER_BYTES);
  record.writeUInt32LE(checksum(record), 12);
  return record;
}

function checksum(record: Uint8Array): number {
  const ofHeader = crc32(record.subarray(4, 12));
  return crc32(record.subarray(HEADER_BYTES), ofHeader);
}

/** Reads all records of a file. */
export function scanRecords(bytes: Uint8Array): RecordScan {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const payloads: Uint8Array[] = [];
  let wholeBytes = 0;
  while (wholeBytes < file.byteLength) {
    const record = readRecord(file, wholeBytes);
    if (record === undefined) {
      const state = judgeDamage(file, wholeBytes);
      return { payloads, wholeBytes, state };
    }
    payloads.push(record.payload);
    wholeBytes = record.endBytes;
  }
  return { payloads, wholeBytes, state: "whole" };
}

/** The payload of a file that holds exactly one record. */
export function readOnlyRecord(bytes: Uint8Array): Uint8Array | undefined {
  const scan = scanRecords(bytes);
  const isWhole = scan.state === "whole" && scan.payloads.length === 1;
  return isWhole ? scan.payloads[0] : undefined;
}

function readRecord(file: Buffer, start: number): FoundRecord | undefined {
  const payloadStart = start + HEADER_BYTES;
  if (payloadStart > file.byteLength || file.readUInt32LE(start) !== MARK) {
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

/** Whether a later record proves that the damaged place had been synced. */
function judgeDamage(file: Buffer, damagedAt: number): "torn" | "corrupt" {
  const mark = Buffer.allocUnsafe(4);
  mark.writeUInt32LE(MARK, 0);
  let at = file.indexOf(mark, damagedAt + 1);
  while (at !== -1) {
    const record = readRecord(file, at);
    if (record !== undefined && record.syncedBytes > damagedAt) {
      return "corrupt";
    }
    at = file.indexOf(mark, at + 1);
  }
  return "torn";
}
