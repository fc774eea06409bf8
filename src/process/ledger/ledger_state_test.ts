import test from "ava";
import fc from "fast-check";
import { LEDGER_FORMAT_VERSION, type LedgerReply } from "./ledger_record.ts";
import { LedgerState } from "./ledger_state.ts";

const LIMIT_BYTES = 2_500;
const RETENTION_MS = 200_000;

/** The model accepts the removal of an entry this long before it expires. */
const EXPIRY_SLACK_MS = 60_000;

interface ModelEntry {
  readonly claimant: string;
  readonly digest: string;
  expiresAtMs: number;
  outcome: string | undefined;
}

/** The expected entries of the ledger. */
interface LedgerModel {
  nowMs: number;
  readonly entries: Map<string, ModelEntry>;
}

interface Real {
  state: LedgerState;
}

class Claim implements fc.Command<LedgerModel, Real> {
  constructor(
    readonly key: string,
    readonly claimant: string,
    readonly digest: string,
  ) {}

  check(): boolean {
    return true;
  }

  run(model: LedgerModel, real: Real): void {
    const { key, claimant, digest } = this;
    removeExpired(model, real, key);
    const expiresAtMs = model.nowMs + RETENTION_MS;
    const reply = real.state.apply({
      formatVersion: LEDGER_FORMAT_VERSION,
      kind: "claim",
      key,
      claimant,
      digest,
      atMs: model.nowMs,
      expiresAtMs,
    });
    const existing = model.entries.get(key);
    if (reply.kind === "granted") {
      const isFree = existing === undefined ||
        mayBeRemoved(existing, model.nowMs) ||
        (existing.claimant === claimant && existing.outcome === undefined);
      expect(isFree, "granted twice");
      model.entries.set(
        key,
        existing?.claimant === claimant ? existing : {
          claimant,
          digest,
          expiresAtMs,
          outcome: undefined,
        },
      );
      return;
    }
    if (reply.kind === "full") {
      expect(
        existing === undefined || mayBeRemoved(existing, model.nowMs),
        "full for an existing entry",
      );
      return;
    }
    expect(existing !== undefined, "a reply about an unknown entry");
    expect(
      reply.kind === expectedKind(existing, digest),
      `wrong reply ${reply.kind}`,
    );
    expect(
      outcomeOf(reply) === expectedOutcome(existing, digest),
      "wrong outcome",
    );
  }

  toString(): string {
    return `claim ${this.key} ${this.claimant} ${this.digest}`;
  }
}

class End implements fc.Command<LedgerModel, Real> {
  constructor(
    readonly key: string,
    readonly claimant: string,
    readonly outcome: string,
  ) {}

  check(): boolean {
    return true;
  }

  run(model: LedgerModel, real: Real): void {
    const { key, claimant, outcome } = this;
    removeExpired(model, real, key);
    const expiresAtMs = model.nowMs + RETENTION_MS;
    const reply = real.state.apply({
      formatVersion: LEDGER_FORMAT_VERSION,
      kind: "end",
      key,
      claimant,
      atMs: model.nowMs,
      expiresAtMs,
      outcome: outcome === "unknown" ? { kind: "unknown" } : {
        kind: "answered",
        httpStatus: 200,
        body: new TextEncoder().encode(outcome),
      },
    });
    const existing = model.entries.get(key);
    if (existing?.claimant !== claimant) {
      expect(reply.kind === "notHeld", "another's end was accepted");
      return;
    }
    expect(reply.kind === "done", "the claimant's entry was forgotten");
    if (existing.outcome === undefined || existing.outcome === "unknown") {
      existing.outcome = outcome;
      existing.expiresAtMs = expiresAtMs;
    }
  }

  toString(): string {
    return `end ${this.key} ${this.claimant} ${this.outcome}`;
  }
}

class Release implements fc.Command<LedgerModel, Real> {
  constructor(readonly key: string, readonly claimant: string) {}

  check(): boolean {
    return true;
  }

  run(model: LedgerModel, real: Real): void {
    const { key, claimant } = this;
    removeExpired(model, real, key);
    const reply = real.state.apply({
      formatVersion: LEDGER_FORMAT_VERSION,
      kind: "release",
      key,
      claimant,
      atMs: model.nowMs,
    });
    const existing = model.entries.get(key);
    if (reply.kind === "done") {
      const isHeld = existing?.claimant === claimant &&
        existing.outcome === undefined;
      expect(isHeld, "released a claim that was not held");
      model.entries.delete(key);
    }
  }

  toString(): string {
    return `release ${this.key} ${this.claimant}`;
  }
}

class Advance implements fc.Command<LedgerModel, Real> {
  constructor(readonly byMs: number) {}

  check(): boolean {
    return true;
  }

  run(model: LedgerModel): void {
    model.nowMs += this.byMs;
  }

  toString(): string {
    return `advance ${this.byMs}`;
  }
}

class Restore implements fc.Command<LedgerModel, Real> {
  check(): boolean {
    return true;
  }

  run(_model: LedgerModel, real: Real): void {
    const copy = new LedgerState({ limits: { bytes: LIMIT_BYTES } });
    const restored = copy.restore(real.state.snapshot());
    expect(restored.isRight(), "the snapshot was rejected");
    expect(copy.size === real.state.size, "the snapshot lost entries");
    expect(
      copy.bytes === real.state.bytes,
      "the snapshot changed the size in bytes",
    );
    real.state = copy;
  }

  toString(): string {
    return "restore";
  }
}

/** Removes an expired entry from the model once the ledger has removed it. */
function removeExpired(model: LedgerModel, real: Real, key: string): void {
  real.state.apply({
    formatVersion: LEDGER_FORMAT_VERSION,
    kind: "release",
    key: "none",
    claimant: "none",
    atMs: model.nowMs,
  });
  const existing = model.entries.get(key);
  if (existing === undefined || real.state.find(key, "").kind !== "absent") {
    return;
  }
  expect(
    mayBeRemoved(existing, model.nowMs),
    "an entry was forgotten too soon",
  );
  model.entries.delete(key);
}

function mayBeRemoved(entry: ModelEntry, nowMs: number): boolean {
  return entry.expiresAtMs <= nowMs + EXPIRY_SLACK_MS;
}

function expectedKind(entry: ModelEntry, digest: string): string {
  if (entry.digest !== digest) {
    return "reused";
  }
  return entry.outcome === undefined ? "held" : "ended";
}

function expectedOutcome(
  entry: ModelEntry,
  digest: string,
): string | undefined {
  return entry.digest === digest ? entry.outcome : undefined;
}

function outcomeOf(reply: LedgerReply): string | undefined {
  if (reply.kind !== "ended") {
    return undefined;
  }
  return reply.outcome.kind === "answered"
    ? new TextDecoder().decode(reply.outcome.body)
    : reply.outcome.kind;
}

function expect(condition: boolean, violation: string): asserts condition {
  if (!condition) {
    throw new Error(violation);
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
    fc.property(commands, (commandSequence) => {
      const state = new LedgerState({ limits: { bytes: LIMIT_BYTES } });
      fc.modelRun(() => ({
        model: { nowMs: 0, entries: new Map<string, ModelEntry>() },
        real: { state: mutate(state) },
      }), commandSequence);
    }),
    { numRuns: 2_000, seed: 8, endOnFailure: true },
  );
  return checked.failed
    ? (checked.errorInstance as Error | null)?.message ?? "failed"
    : undefined;
}

test("random commands have the same results as in the model", (t) => {
  t.is(fuzz((state) => state), undefined);
});

/** A ledger with a fault: it changes each command before it applies it. */
class FaultyLedger extends LedgerState {
  readonly #change: (
    command: Parameters<LedgerState["apply"]>[0],
  ) => Parameters<LedgerState["apply"]>[0];

  constructor(change: FaultyLedger["change"]) {
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
  readonly (readonly [string, FaultyLedger["change"], RegExp])[] = [
    [
      "ignores the claimant",
      (command) => ({ ...command, claimant: "one" }),
      /granted twice|another's end/,
    ],
    [
      "ignores the content's digest",
      (command) =>
        command.kind === "claim" ? { ...command, digest: "x" } : command,
      /wrong/,
    ],
    [
      "removes entries too soon",
      (command) => ({ ...command, atMs: command.atMs * 4 }),
      /forgotten/,
    ],
    [
      "records every outcome as an answer",
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
  test(`the model detects a ledger that ${name}`, (t) => {
    t.regex(fuzz(() => new FaultyLedger(change)) ?? "nothing", expected);
  });
}

test("an unreadable snapshot is rejected without a change", (t) => {
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
