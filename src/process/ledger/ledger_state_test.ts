import test from "ava";
import fc from "fast-check";
import { LEDGER_FORMAT_VERSION, type LedgerReply } from "./ledger_record.ts";
import { LedgerState } from "./ledger_state.ts";

const LIMIT_BYTES = 2_500;
const RETENTION_MS = 200_000;

/** Entries may be kept up to a minute longer. */
const EXPIRY_SLACK_MS = 60_000;

interface TrueEntry {
  readonly claimant: string;
  readonly digest: string;
  expiresAtMs: number;
  outcome: string | undefined;
}

/** What the ledger must remember, in the simplest form. */
interface Truth {
  nowMs: number;
  readonly entries: Map<string, TrueEntry>;
}

interface Real {
  state: LedgerState;
}

class Claim implements fc.Command<Truth, Real> {
  constructor(
    readonly key: string,
    readonly claimant: string,
    readonly digest: string,
  ) {}

  check(): boolean {
    return true;
  }

  run(truth: Truth, real: Real): void {
    const { key, claimant, digest } = this;
    forgetExpired(truth, real, key);
    const expiresAtMs = truth.nowMs + RETENTION_MS;
    const reply = real.state.apply({
      formatVersion: LEDGER_FORMAT_VERSION,
      kind: "claim",
      key,
      claimant,
      digest,
      atMs: truth.nowMs,
      expiresAtMs,
    });
    const known = truth.entries.get(key);
    if (reply.kind === "granted") {
      const isFree = known === undefined || isForgettable(known, truth.nowMs) ||
        (known.claimant === claimant && known.outcome === undefined);
      expect(isFree, "granted twice");
      truth.entries.set(
        key,
        known?.claimant === claimant ? known : {
          claimant,
          digest,
          expiresAtMs,
          outcome: undefined,
        },
      );
      return;
    }
    if (reply.kind === "full") {
      expect(known === undefined || isForgettable(known, truth.nowMs), "full");
      return;
    }
    expect(known !== undefined, "an entry from nowhere");
    expect(reply.kind === expectedKind(known, digest), `wrong ${reply.kind}`);
    expect(textOf(reply) === textOfEntry(known, digest), "wrong outcome");
  }

  toString(): string {
    return `claim ${this.key} ${this.claimant} ${this.digest}`;
  }
}

class End implements fc.Command<Truth, Real> {
  constructor(
    readonly key: string,
    readonly claimant: string,
    readonly outcome: string,
  ) {}

  check(): boolean {
    return true;
  }

  run(truth: Truth, real: Real): void {
    const { key, claimant, outcome } = this;
    forgetExpired(truth, real, key);
    const expiresAtMs = truth.nowMs + RETENTION_MS;
    const reply = real.state.apply({
      formatVersion: LEDGER_FORMAT_VERSION,
      kind: "end",
      key,
      claimant,
      atMs: truth.nowMs,
      expiresAtMs,
      outcome: outcome === "unknown" ? { kind: "unknown" } : {
        kind: "answered",
        httpStatus: 200,
        body: new TextEncoder().encode(outcome),
      },
    });
    const known = truth.entries.get(key);
    if (known?.claimant !== claimant) {
      expect(reply.kind === "notHeld", "another's end was taken");
      return;
    }
    expect(reply.kind === "done", "the holder was forgotten");
    if (known.outcome === undefined || known.outcome === "unknown") {
      known.outcome = outcome;
      known.expiresAtMs = expiresAtMs;
    }
  }

  toString(): string {
    return `end ${this.key} ${this.claimant} ${this.outcome}`;
  }
}

class Release implements fc.Command<Truth, Real> {
  constructor(readonly key: string, readonly claimant: string) {}

  check(): boolean {
    return true;
  }

  run(truth: Truth, real: Real): void {
    const { key, claimant } = this;
    forgetExpired(truth, real, key);
    const reply = real.state.apply({
      formatVersion: LEDGER_FORMAT_VERSION,
      kind: "release",
      key,
      claimant,
      atMs: truth.nowMs,
    });
    const known = truth.entries.get(key);
    if (reply.kind === "done") {
      const isHeld = known?.claimant === claimant &&
        known.outcome === undefined;
      expect(isHeld, "released what wasn't held");
      truth.entries.delete(key);
    }
  }

  toString(): string {
    return `release ${this.key} ${this.claimant}`;
  }
}

class Advance implements fc.Command<Truth, Real> {
  constructor(readonly byMs: number) {}

  check(): boolean {
    return true;
  }

  run(truth: Truth): void {
    truth.nowMs += this.byMs;
  }

  toString(): string {
    return `advance ${this.byMs}`;
  }
}

class Restore implements fc.Command<Truth, Real> {
  check(): boolean {
    return true;
  }

  run(_truth: Truth, real: Real): void {
    const copy = new LedgerState({ limits: { bytes: LIMIT_BYTES } });
    const restored = copy.restore(real.state.snapshot());
    expect(restored.isRight(), "a snapshot can't be restored");
    expect(copy.size === real.state.size, "a snapshot lost entries");
    expect(copy.bytes === real.state.bytes, "a snapshot changed the size");
    real.state = copy;
  }

  toString(): string {
    return "restore";
  }
}

/** Follows the ledger in what it may forget by now, and only in that. */
function forgetExpired(truth: Truth, real: Real, key: string): void {
  real.state.apply({
    formatVersion: LEDGER_FORMAT_VERSION,
    kind: "release",
    key: "none",
    claimant: "none",
    atMs: truth.nowMs,
  });
  const known = truth.entries.get(key);
  if (known === undefined || real.state.find(key, "").kind !== "absent") {
    return;
  }
  expect(isForgettable(known, truth.nowMs), "forgotten too soon");
  truth.entries.delete(key);
}

function isForgettable(entry: TrueEntry, nowMs: number): boolean {
  return entry.expiresAtMs <= nowMs + EXPIRY_SLACK_MS;
}

function expectedKind(entry: TrueEntry, digest: string): string {
  if (entry.digest !== digest) {
    return "reused";
  }
  return entry.outcome === undefined ? "held" : "ended";
}

function textOfEntry(entry: TrueEntry, digest: string): string | undefined {
  return entry.digest === digest ? entry.outcome : undefined;
}

function textOf(reply: LedgerReply): string | undefined {
  if (reply.kind !== "ended") {
    return undefined;
  }
  return reply.outcome.kind === "answered"
    ? new TextDecoder().decode(reply.outcome.body)
    : reply.outcome.kind;
}

function expect(holds: boolean, broken: string): asserts holds {
  if (!holds) {
    throw new Error(broken);
  }
}

const keys = fc.constantFrom("a", "b", "c", "d", "e", "f", "g");
const claimants = fc.constantFrom("i1", "i2", "i3");
const commands = fc.commands([
  fc.tuple(keys, claimants, fc.constantFrom("x", "x", "y"))
    .map(([key, claimant, digest]) => new Claim(key, claimant, digest)),
  fc.tuple(keys, claimants, fc.constantFrom("unknown", "yes", "no"))
    .map(([key, claimant, outcome]) => new End(key, claimant, outcome)),
  fc.tuple(keys, claimants)
    .map(([key, claimant]) => new Release(key, claimant)),
  fc.constantFrom(1, 1_000, 90_000).map((byMs) => new Advance(byMs)),
  fc.constant(new Restore()),
], { maxCommands: 80, size: "max" });

function fuzz(mutate: (state: LedgerState) => LedgerState): string | undefined {
  const checked = fc.check(
    fc.property(commands, (session) => {
      const state = new LedgerState({ limits: { bytes: LIMIT_BYTES } });
      fc.modelRun(() => ({
        model: { nowMs: 0, entries: new Map<string, TrueEntry>() },
        real: { state: mutate(state) },
      }), session);
    }),
    { numRuns: 2_000, seed: 8, endOnFailure: true },
  );
  return checked.failed
    ? (checked.errorInstance as Error | null)?.message ?? "failed"
    : undefined;
}

test("random sessions match the simplest ledger", (t) => {
  t.is(fuzz((state) => state), undefined);
});

/** A ledger to whose commands something was done. */
class BrokenLedger extends LedgerState {
  readonly #change: (
    command: Parameters<LedgerState["apply"]>[0],
  ) => Parameters<LedgerState["apply"]>[0];

  constructor(change: BrokenLedger["change"]) {
    super({ limits: { bytes: LIMIT_BYTES } });
    this.#change = change;
  }

  change(command: Parameters<LedgerState["apply"]>[0]) {
    return this.#change(command);
  }

  override apply(command: Parameters<LedgerState["apply"]>[0]): LedgerReply {
    return super.apply(this.#change(command));
  }
}

const MUTATIONS:
  readonly (readonly [string, BrokenLedger["change"], RegExp])[] = [
    [
      "takes all claimants for one",
      (command) => ({ ...command, claimant: "one" }),
      /granted twice|another's end/,
    ],
    [
      "takes all contents for one",
      (command) =>
        command.kind === "claim" ? { ...command, digest: "x" } : command,
      /wrong/,
    ],
    [
      "forgets too soon",
      (command) => ({ ...command, atMs: command.atMs * 4 }),
      /forgotten/,
    ],
    [
      "takes every end for an answer",
      (command) =>
        command.kind === "end"
          ? {
            ...command,
            outcome: {
              kind: "answered" as const,
              httpStatus: 200,
              body: new TextEncoder().encode("yes"),
            },
          }
          : command,
      /wrong outcome/,
    ],
  ];

for (const [name, change, expected] of MUTATIONS) {
  test(`the oracle notices a ledger that ${name}`, (t) => {
    t.regex(fuzz(() => new BrokenLedger(change)) ?? "nothing", expected);
  });
}

test("an unreadable snapshot is refused and changes nothing", (t) => {
  const state = new LedgerState();
  state.apply({
    formatVersion: LEDGER_FORMAT_VERSION,
    kind: "claim",
    key: "a",
    claimant: "i1",
    digest: "x",
    atMs: 0,
    expiresAtMs: 1,
  });
  t.true(state.restore(new Uint8Array([1, 2, 3])).isLeft());
  t.is(state.size, 1);
});
