/**
 * The ledger of non-idempotent requests as a replicated state machine: who
 * alone may send a request, and how it ended.
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

/** Bounds of the ledger; the same on every member of its group. */
export interface LedgerLimits {
  /** Most bytes of names, outcomes and their keeping. */
  readonly bytes: number;
}

/** The bounds where none are given. */
export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  bytes: 64 * 1_048_576,
};

/** What an entry takes besides its strings and its answer. */
const ENTRY_BYTES = 250;

/** Entries expire in groups of this width. */
const EXPIRY_STEP_MS = 60_000;

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

/** Claims and outcomes by request, bounded, forgotten when they expire. */
export class LedgerState implements StateMachine<LedgerCommand, LedgerReply> {
  readonly #limits: LedgerLimits;
  #entries = new Map<string, Entry>();
  #keysByExpiry = new Map<number, Set<string>>();
  #bytes = 0;
  #nowMs = 0;

  constructor(options: { limits?: Partial<LedgerLimits> } = {}) {
    this.#limits = { ...DEFAULT_LEDGER_LIMITS, ...options.limits };
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Bytes reckoned as held. */
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

  /** What a claim with this content would meet, without claiming. */
  find(key: string, digest: string): LedgerReply {
    const entry = this.#entries.get(key);
    return entry === undefined ? { kind: "absent" } : describe(entry, digest);
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
    this.#keysByExpiry = new Map();
    this.#bytes = 0;
    this.#nowMs = parsed.data.nowMs;
    parsed.data.entries.forEach((entry) => this.#put(entry));
    return Right(undefined);
  }

  #claim(command: ClaimCommand): LedgerReply {
    const { key, digest, claimant, expiresAtMs } = command;
    const known = this.#entries.get(key);
    if (known === undefined) {
      const entry = { key, digest, claimant, expiresAtMs };
      if (this.#bytes + sizeOf(entry) > this.#limits.bytes) {
        return { kind: "full" };
      }
      this.#put(entry);
      return { kind: "granted" };
    }
    const isOwn = known.claimant === claimant && known.digest === digest &&
      known.outcome === undefined;
    return isOwn ? { kind: "granted" } : describe(known, digest);
  }

  /** An outcome stays; only "unknown" gives way to what came of it. */
  #end(command: EndCommand): LedgerReply {
    const known = this.#entries.get(command.key);
    if (known === undefined || known.claimant !== command.claimant) {
      return { kind: "notHeld" };
    }
    const isSettled = known.outcome !== undefined &&
      known.outcome.kind !== "unknown";
    if (!isSettled) {
      const outcome = this.#keepable(command.outcome);
      this.#drop(known);
      this.#put({ ...known, outcome, expiresAtMs: command.expiresAtMs });
    }
    return { kind: "done" };
  }

  /** A copy, since the body may be a view of a whole frame. */
  #keepable(outcome: RecordedOutcome): RecordedOutcome {
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
    const known = this.#entries.get(key);
    const isHolder = known !== undefined && known.claimant === claimant &&
      known.outcome === undefined;
    if (!isHolder) {
      return { kind: "notHeld" };
    }
    this.#drop(known);
    return { kind: "done" };
  }

  #put(entry: Entry): void {
    this.#entries.set(entry.key, entry);
    this.#bytes += sizeOf(entry);
    const step = expiryStep(entry.expiresAtMs);
    const keys = this.#keysByExpiry.get(step) ?? new Set();
    keys.add(entry.key);
    this.#keysByExpiry.set(step, keys);
  }

  #drop(entry: Entry): void {
    this.#entries.delete(entry.key);
    this.#bytes -= sizeOf(entry);
    this.#keysByExpiry.get(expiryStep(entry.expiresAtMs))?.delete(entry.key);
  }

  /** Forgets what expired; time never runs backwards here. */
  #expire(atMs: number): void {
    const before = expiryStep(this.#nowMs);
    this.#nowMs = Math.max(this.#nowMs, atMs);
    const now = expiryStep(this.#nowMs);
    if (now === before) {
      return;
    }
    for (const [step, keys] of this.#keysByExpiry) {
      if (step < now) {
        this.#dropAll(keys);
        this.#keysByExpiry.delete(step);
      }
    }
  }

  #dropAll(keys: ReadonlySet<string>): void {
    for (const key of [...keys]) {
      const entry = this.#entries.get(key);
      if (entry !== undefined) {
        this.#drop(entry);
      }
    }
  }
}

function describe(entry: Entry, digest: string): LedgerReply {
  if (entry.digest !== digest) {
    return { kind: "reused" };
  }
  return entry.outcome === undefined
    ? { kind: "held" }
    : { kind: "ended", outcome: entry.outcome };
}

function expiryStep(atMs: number): number {
  return Math.floor(atMs / EXPIRY_STEP_MS);
}

function sizeOf(entry: Entry): number {
  const answerBytes = entry.outcome?.kind === "answered"
    ? entry.outcome.body.length
    : 0;
  const textLength = 2 * entry.key.length + entry.claimant.length +
    entry.digest.length;
  return ENTRY_BYTES + textLength + answerBytes;
}

function unpack(bytes: Uint8Array): unknown {
  try {
    return PACKR.unpack(bytes);
  } catch {
    return undefined;
  }
}
