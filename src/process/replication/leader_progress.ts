/**
 * What a leader knows of one other member, and what it may send to it.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import type { LogSnapshot } from "./log_entry.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Bytes of entries that may be on their way to one member. */
const IN_FLIGHT_BYTES_LIMIT = 1024 * 1024;

interface SentEntries {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** How far a snapshot has got; it stays the same till it has arrived. */
export interface SnapshotProgress {
  readonly snapshot: LogSnapshot;
  offsetBytes: number;
  sentAtMs: number;
}

/** One other member as its leader sees it. */
export class LeaderProgress {
  readonly id: InstanceId;
  readonly incarnation: number;
  readonly bucket: TokenBucket;
  /** The last entry that the member is known to keep. */
  matchIndex = 0;
  /** The next entry to send. */
  nextIndex: number;
  wantsVote = false;
  isDurable = false;
  /** When the newest message was sent that the member has answered. */
  answeredSentAtMs = -Infinity;
  lastHeardMs: number;
  lastSentMs = -Infinity;
  sentMessages = 0;
  /** The newest stamp of the member's own clock. */
  stampMs = 0;
  sentCommitIndex = 0;
  snapshot: SnapshotProgress | undefined;
  #inFlight: SentEntries[] = [];
  #inFlightBytes = 0;
  #progressedMs: number;

  constructor(options: {
    id: InstanceId;
    incarnation: number;
    nextIndex: number;
    nowMs: number;
    bytesPerSecond: number;
  }) {
    this.id = options.id;
    this.incarnation = options.incarnation;
    this.nextIndex = options.nextIndex;
    this.lastHeardMs = options.nowMs;
    this.#progressedMs = options.nowMs;
    this.bucket = new TokenBucket({
      bytesPerSecond: options.bytesPerSecond,
      nowMs: options.nowMs,
    });
  }

  /** Whether more entries may be sent now. */
  hasRoom(nowMs: number): boolean {
    return this.#inFlightBytes < IN_FLIGHT_BYTES_LIMIT &&
      this.bucket.hasTokens(nowMs);
  }

  markSent(sent: SentEntries, nowMs: number): void {
    if (this.#inFlight.length === 0) {
      this.#progressedMs = nowMs;
    }
    this.#inFlight.push(sent);
    this.#inFlightBytes += sent.bytes;
    this.bucket.take(sent.bytes, nowMs);
    this.nextIndex = sent.lastIndex + 1;
  }

  markMessage(nowMs: number): void {
    this.lastSentMs = nowMs;
    this.sentMessages += 1;
  }

  markMatched(index: number, nowMs: number): void {
    if (index > this.matchIndex) {
      this.matchIndex = index;
      this.#progressedMs = nowMs;
    }
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    while ((this.#inFlight[0]?.lastIndex ?? Infinity) <= this.matchIndex) {
      this.#inFlightBytes -= this.#inFlight.shift()!.bytes;
    }
  }

  /** Goes back to an earlier entry, as the member lacks it. */
  rewindTo(index: number): void {
    this.nextIndex = Math.max(this.matchIndex + 1, index);
    this.#inFlight = [];
    this.#inFlightBytes = 0;
  }

  /** Sends again what was not answered for `resendMs`. */
  rewindIfStalled(nowMs: number, resendMs: number): void {
    const isStalled = this.#inFlight.length > 0 &&
      nowMs - this.#progressedMs >= resendMs;
    if (isStalled) {
      this.rewindTo(this.matchIndex + 1);
    }
    const { snapshot } = this;
    if (snapshot !== undefined && nowMs - snapshot.sentAtMs >= resendMs) {
      snapshot.sentAtMs = -Infinity;
    }
  }
}
