/**
 * A leader's view of one other member, and the flow control of what it sends.
 *
 * @module
 */

import type { InstanceId } from "../../base/identity.ts";
import { CatchUpRounds } from "./catch_up_rounds.ts";
import type { LogSnapshot } from "./log_entry.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Unacknowledged bytes of entries above which a member gets no more. */
const IN_FLIGHT_BYTES_LIMIT = 1024 * 1024;

interface SentEntries {
  readonly lastIndex: number;
  readonly bytes: number;
}

/** A snapshot transfer, which goes on even when a newer snapshot is made. */
export interface SnapshotProgress {
  readonly snapshot: LogSnapshot;
  offsetBytes: number;
  /** When the unanswered chunk was sent; -Infinity if none is unanswered. */
  sentAtMs: number;
}

/** A leader's view of one other member. */
export class LeaderProgress {
  readonly id: InstanceId;
  readonly incarnation: number;
  readonly bucket: TokenBucket;
  /** The last entry that the member is known to store. */
  matchIndex = 0;
  /** The next entry to send. */
  nextIndex: number;
  wantsVote = false;
  isDurable = false;
  /** The send time of the newest message that the member has answered. */
  answeredSentAtMs = -Infinity;
  lastHeardMs: number;
  /** {@link lastHeardMs} by {@link RaftState.attendedMs}. */
  lastHeardAttendedMs: number;
  lastSentMs = -Infinity;
  sentMessages = 0;
  /** The newest timestamp of the member's own clock. */
  stampMs = 0;
  sentCommitIndex = 0;
  snapshot: SnapshotProgress | undefined;
  readonly #rounds: CatchUpRounds;
  #inFlight: SentEntries[] = [];
  #inFlightBytes = 0;
  #lastProgressMs: number;

  constructor(options: {
    id: InstanceId;
    incarnation: number;
    nextIndex: number;
    nowMs: number;
    attendedMs: number;
    bytesPerSecond: number;
  }) {
    this.id = options.id;
    this.incarnation = options.incarnation;
    this.nextIndex = options.nextIndex;
    this.lastHeardMs = options.nowMs;
    this.lastHeardAttendedMs = options.attendedMs;
    this.#lastProgressMs = options.nowMs;
    this.#rounds = new CatchUpRounds({
      lastIndex: options.nextIndex - 1,
      nowMs: options.nowMs,
    });
    this.bucket = new TokenBucket({
      bytesPerSecond: options.bytesPerSecond,
      nowMs: options.nowMs,
    });
  }

  /** Whether more entries may be sent now. */
  canSendEntries(nowMs: number): boolean {
    return this.#inFlightBytes < IN_FLIGHT_BYTES_LIMIT &&
      this.bucket.hasTokens(nowMs);
  }

  markEntriesSent(sent: SentEntries, nowMs: number): void {
    if (this.#inFlight.length === 0) {
      this.#lastProgressMs = nowMs;
    }
    this.#inFlight.push(sent);
    this.#inFlightBytes += sent.bytes;
    this.bucket.take(sent.bytes, nowMs);
    this.nextIndex = sent.lastIndex + 1;
  }

  markHeard(at: { nowMs: number; attendedMs: number }): void {
    this.lastHeardMs = at.nowMs;
    this.lastHeardAttendedMs = at.attendedMs;
  }

  markMessageSent(nowMs: number): void {
    this.lastSentMs = nowMs;
    this.sentMessages += 1;
  }

  markMatched(index: number, nowMs: number): void {
    if (index > this.matchIndex) {
      this.matchIndex = index;
      this.#lastProgressMs = nowMs;
    }
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    while ((this.#inFlight[0]?.lastIndex ?? Infinity) <= this.matchIndex) {
      this.#inFlightBytes -= this.#inFlight.shift()!.bytes;
    }
  }

  /** Updates how fast the member catches up with a leader's log. */
  recordRound(lastIndex: number, nowMs: number): void {
    this.#rounds.record({ matchIndex: this.matchIndex, lastIndex, nowMs });
  }

  /** Whether the member stores what the leader had `limitMs` ago. */
  hasCaughtUp(limitMs: number, nowMs: number): boolean {
    return this.#rounds.areWithin(limitMs, nowMs);
  }

  /** Goes back to an earlier entry, which the member lacks. */
  rewindTo(index: number): void {
    this.nextIndex = Math.max(this.matchIndex + 1, index);
    this.#inFlight = [];
    this.#inFlightBytes = 0;
  }

  /**
   * Goes back to what has not been acknowledged for `resendMs`, so that it is
   * sent again.
   */
  rewindIfStalled(nowMs: number, resendMs: number): void {
    const isStalled = this.#inFlight.length > 0 &&
      nowMs - this.#lastProgressMs >= resendMs;
    if (isStalled) {
      this.rewindTo(this.matchIndex + 1);
    }
    const { snapshot } = this;
    if (snapshot !== undefined && nowMs - snapshot.sentAtMs >= resendMs) {
      snapshot.sentAtMs = -Infinity;
    }
  }
}
