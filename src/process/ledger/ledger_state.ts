/**
 * The ledger of non-idempotent requests as a replicated state machine: which
 * claimant may send a request, and the outcome of the request.
 *
 * @module
 */

import { Packr } from "msgpackr";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { StateMachine } from "../replication/replicated_log.ts";
import {
  type ClaimCommand,
  type EndCommand,
  LEDGER_FORMAT_VERSION,
  type LedgerCommand,
  type LedgerReply,
  type RecordedOutcome,
  recordedOutcomeSchema,
} from "./ledger_record.ts";

/** Limits of the ledger; must be the same on every member of its group. */
export interface LedgerLimits {
  /** Maximum size of all entries, estimated as {@link LedgerState.bytes}. */
  readonly bytes: number;
}

/** The default limits. */
export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  bytes: 64 * 1_048_576,
};

/** Estimated memory of an entry besides its strings and its answer. */
const ENTRY_OVERHEAD_BYTES = 250;

/**
 * Entries that expire in the same interval are removed together at its end, so
 * up to this long after they expire.
 */
const EXPIRY_BUCKET_MS = 60_000;

const entrySchema = z.strictObject({
  key: z.string(),
  digest: z.string(),
  claimant: z.string(),
  expiresAtMs: z.number(),
  outcome: recordedOutcomeSchema.optional(),
});

const snapshotSchema = z.strictObject({
  formatVersion: z.literal(LEDGER_FORMAT_VERSION),
  nowMs: z.number(),
  entries: z.array(entrySchema),
});

type Entry = z.infer<typeof entrySchema>;

const PACKR = new Packr({ useRecords: false });

/** Claims and outcomes by request, limited in size, removed on expiry. */
export class LedgerState implements StateMachine<LedgerCommand, LedgerReply> {
  readonly #limits: LedgerLimits;
  #entries = new Map<string, Entry>();
  #keysByBucket = new Map<number, Set<string>>();
  #bytes = 0;
  #nowMs = 0;

  constructor(options: { limits?: Partial<LedgerLimits> } = {}) {
    this.#limits = { ...DEFAULT_LEDGER_LIMITS, ...options.limits };
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Estimated memory of all entries. */
  get bytes(): number {
    return this.#bytes;
  }

  apply(command: LedgerCommand): LedgerReply {
    this.#expire(command.atMs);
    switch (command.kind) {
      case "claim":
        return this.#claim(command);
      case "end":
        return this.#end(command);
      case "release":
        return this.#release(command.key, command.claimant);
    }
  }

  /** Looks the key up without a claim; `absent` if there is no entry. */
  find(key: string, digest: string): LedgerReply {
    const entry = this.#entries.get(key);
    return entry === undefined ? { kind: "absent" } : replyFor(entry, digest);
  }

  snapshot(): Uint8Array {
    return PACKR.pack({
      formatVersion: LEDGER_FORMAT_VERSION,
      nowMs: this.#nowMs,
      entries: [...this.#entries.values()],
    });
  }

  restore(snapshot: Uint8Array): Result<void> {
    const parsed = snapshotSchema.safeParse(unpack(snapshot));
    if (!parsed.success) {
      const detail = "The ledger's snapshot can't be read.";
      return failure("malformed", { detail });
    }
    this.#entries = new Map();
    this.#keysByBucket = new Map();
    this.#bytes = 0;
    this.#nowMs = parsed.data.nowMs;
    parsed.data.entries.forEach((entry) => this.#put(entry));
    return Right(undefined);
  }

  #claim(command: ClaimCommand): LedgerReply {
    const { key, digest, claimant, expiresAtMs } = command;
    const existing = this.#entries.get(key);
    if (existing === undefined) {
      const entry = { key, digest, claimant, expiresAtMs };
      if (this.#bytes + sizeOf(entry) > this.#limits.bytes) {
        return { kind: "full" };
      }
      this.#put(entry);
      return { kind: "granted" };
    }
    const isOwnClaim = existing.claimant === claimant &&
      existing.digest === digest &&
      existing.outcome === undefined;
    return isOwnClaim ? { kind: "granted" } : replyFor(existing, digest);
  }

  /** Records the outcome, unless one other than "unknown" is recorded. */
  #end(command: EndCommand): LedgerReply {
    const existing = this.#entries.get(command.key);
    if (existing === undefined || existing.claimant !== command.claimant) {
      return { kind: "notHeld" };
    }
    const hasFinalOutcome = existing.outcome !== undefined &&
      existing.outcome.kind !== "unknown";
    if (!hasFinalOutcome) {
      const outcome = this.#toStoredOutcome(command.outcome);
      this.#remove(existing);
      this.#put({ ...existing, outcome, expiresAtMs: command.expiresAtMs });
    }
    return { kind: "done" };
  }

  /**
   * Omits a body that would exceed the limit. Copies other bodies, since a view
   * would keep the complete received frame in memory.
   */
  #toStoredOutcome(outcome: RecordedOutcome): RecordedOutcome {
    if (outcome.kind !== "answered") {
      return outcome;
    }
    const bodyBytes = outcome.body.length;
    if (this.#bytes + bodyBytes <= this.#limits.bytes) {
      return { ...outcome, body: new Uint8Array(outcome.body) };
    }
    const { httpStatus } = outcome;
    return { kind: "answeredUnkept", httpStatus, bodyBytes };
  }

  #release(key: string, claimant: string): LedgerReply {
    const existing = this.#entries.get(key);
    const isHolder = existing !== undefined && existing.claimant === claimant &&
      existing.outcome === undefined;
    if (!isHolder) {
      return { kind: "notHeld" };
    }
    this.#remove(existing);
    return { kind: "done" };
  }

  #put(entry: Entry): void {
    this.#entries.set(entry.key, entry);
    this.#bytes += sizeOf(entry);
    const bucket = expiryBucket(entry.expiresAtMs);
    const keys = this.#keysByBucket.get(bucket) ?? new Set();
    keys.add(entry.key);
    this.#keysByBucket.set(bucket, keys);
  }

  #remove(entry: Entry): void {
    this.#entries.delete(entry.key);
    this.#bytes -= sizeOf(entry);
    this.#keysByBucket.get(expiryBucket(entry.expiresAtMs))?.delete(entry.key);
  }

  /** Advances the time, never backwards, and removes expired entries. */
  #expire(atMs: number): void {
    const previousBucket = expiryBucket(this.#nowMs);
    this.#nowMs = Math.max(this.#nowMs, atMs);
    const currentBucket = expiryBucket(this.#nowMs);
    if (currentBucket === previousBucket) {
      return;
    }
    for (const [bucket, keys] of this.#keysByBucket) {
      if (bucket < currentBucket) {
        this.#removeAll(keys);
        this.#keysByBucket.delete(bucket);
      }
    }
  }

  #removeAll(keys: ReadonlySet<string>): void {
    for (const key of [...keys]) {
      const entry = this.#entries.get(key);
      if (entry !== undefined) {
        this.#remove(entry);
      }
    }
  }
}

function replyFor(entry: Entry, digest: string): LedgerReply {
  if (entry.digest !== digest) {
    return { kind: "reused" };
  }
  return entry.outcome === undefined
    ? { kind: "held" }
    : { kind: "ended", outcome: entry.outcome };
}

function expiryBucket(atMs: number): number {
  return Math.floor(atMs / EXPIRY_BUCKET_MS);
}

function sizeOf(entry: Entry): number {
  const answerBytes = entry.outcome?.kind === "answered"
    ? entry.outcome.body.length
    : 0;
  const textLength = 2 * entry.key.length + entry.claimant.length +
    entry.digest.length;
  return ENTRY_OVERHEAD_BYTES + textLength + answerBytes;
}

function unpack(bytes: Uint8Array): unknown {
  try {
    return PACKR.unpack(bytes);
  } catch {
    return undefined;
  }
}
