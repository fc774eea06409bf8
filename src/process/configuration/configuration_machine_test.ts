import test from "ava";
import fc from "fast-check";
import type { ErrorKind } from "../../base/error_kind.ts";
import type { Result } from "../../base/sesame_error.ts";
import type {
  ConfigurationOutcome,
  EditCommand,
  EditOutcome,
} from "./configuration_command.ts";
import {
  FIXTURE_DOCUMENT,
  fixtureEdit,
  fixtureHash,
  fixtureKey,
  jobClassText,
  northText,
  teamText,
} from "./configuration_fixture.ts";
import {
  ConfigurationMachine,
  type ConfigurationMachineOptions,
} from "./configuration_machine.ts";
import { decodeSnapshot } from "./configuration_snapshot.ts";
import { evaluateEdit } from "./edit_evaluation.ts";

const DAY_MS = 86_400_000;

function bootstrapped(
  options: ConfigurationMachineOptions = {},
): ConfigurationMachine {
  const machine = new ConfigurationMachine(options);
  machine.apply({ kind: "bootstrap", text: FIXTURE_DOCUMENT, atMs: 1 });
  return machine;
}

function restored(
  machine: ConfigurationMachine,
  options: ConfigurationMachineOptions = {},
): ConfigurationMachine {
  const copy = new ConfigurationMachine(options);
  const result: Result<void> = copy.restore(machine.snapshot());
  result.ifLeft((error) => {
    throw error;
  });
  return copy;
}

test("only the first document counts", (t) => {
  const machine = bootstrapped();
  t.is(machine.current.version, 1);
  const again = { kind: "bootstrap", text: FIXTURE_DOCUMENT, atMs: 2 } as const;
  t.deepEqual(machine.apply(again), { kind: "ignored" });
});

test("of two edits from one version the first wins", (t) => {
  const machine = bootstrapped();
  const first = machine.apply(fixtureEdit({ editId: "a" }));
  const second = machine.apply(fixtureEdit({ editId: "b" }));
  t.is(first.kind, "accepted");
  t.deepEqual(second, {
    kind: "conflict",
    currentVersion: 2,
    currentText: jobClassText("normal", { owner: "rating", rank: 5 }),
  });
});

test("a removed section can't be created from before its removal", (t) => {
  const machine = bootstrapped();
  const sectionId = { kind: "jobClasses", name: "late" } as const;
  const text = jobClassText("late", { owner: "rating", rank: 1 });
  const create = fixtureEdit({
    editId: "create",
    sectionId,
    baseVersion: 0,
    change: { kind: "replace", text },
  });
  machine.apply(create);
  const remove = fixtureEdit({
    editId: "remove",
    sectionId,
    baseVersion: 2,
    change: { kind: "remove" },
  });
  t.is(machine.apply(remove).kind, "accepted");
  const late = machine.apply({ ...create, editId: "late" });
  t.deepEqual(late, {
    kind: "conflict",
    currentVersion: 3,
    currentText: null,
  });
});

test("an edit is refused with its reason and changes nothing", (t) => {
  const machine = bootstrapped();
  const refusals: [Partial<EditCommand>, ErrorKind, RegExp][] = [
    [{ team: "trips" }, "forbidden", /belongs to the team rating/],
    [{ keyHash: fixtureHash("old") }, "unauthenticated", /no longer/],
    [
      {
        team: "rating",
        sectionId: { kind: "jobClasses", name: "new" },
        baseVersion: 0,
        change: {
          kind: "replace",
          text: jobClassText("new", { owner: "trips", rank: 1 }),
        },
      },
      "forbidden",
      /must belong to the editing team/,
    ],
    [
      {
        team: "operations",
        sectionId: { kind: "dataCentres", name: "north" },
        change: { kind: "remove" },
      },
      "invalid",
      /must be out/,
    ],
    [
      {
        team: "operations",
        sectionId: { kind: "teams", name: "trips" },
        change: { kind: "remove" },
      },
      "invalid",
      /there is no team trips/,
    ],
    [
      {
        team: "operations",
        sectionId: { kind: "teams", name: "operations" },
        change: {
          kind: "replace",
          text: teamText("operations", "operations", []),
        },
      },
      "invalid",
      /needs a key/,
    ],
    [
      {
        change: {
          kind: "replace",
          text: jobClassText("normal", { owner: "nobody", rank: 1 }),
        },
      },
      "invalid",
      /line 2: owner: there is no team nobody/,
    ],
  ];
  refusals.forEach(([changes, error, detail], index) => {
    const edit = fixtureEdit({ editId: `edit-${index}`, ...changes });
    const outcome = machine.apply(edit);
    t.is(outcome.kind, "refused");
    if (outcome.kind === "refused") {
      t.is(outcome.error, error);
      t.regex(outcome.detail, detail);
    }
  });
  t.is(machine.current.version, 1);
});

test("a rotated key edits no more, and a resent edit keeps its answer", (t) => {
  const machine = bootstrapped();
  const edit = fixtureEdit({ editId: "before" });
  const first = machine.apply(edit);
  machine.apply(fixtureEdit({
    editId: "rotate",
    team: "operations",
    sectionId: { kind: "teams", name: "rating" },
    change: {
      kind: "replace",
      text: teamText("rating", "operations", ["new"]),
    },
  }));
  const old = machine.apply({ ...edit, editId: "after", baseVersion: 2 });
  t.is(old.kind === "refused" && old.error, "unauthenticated");
  const keyHash = fixtureHash("new");
  const resent = machine.apply({ ...edit, keyHash, atMs: 5_000 });
  t.deepEqual(resent, first);
});

test("a data centre's removal is kept pending till it is confirmed", (t) => {
  const machine = bootstrapped();
  const sectionId = { kind: "dataCentres", name: "north" } as const;
  const outcome = machine.apply(fixtureEdit({
    team: "operations",
    sectionId,
    change: { kind: "replace", text: northText("out") },
  }));
  t.is(outcome.kind === "accepted" && outcome.removedDataCentre, "north");
  const copy = restored(machine);
  t.is(copy.removals.removal("north")?.state, "pending");
  t.is(copy.removals.permissions()[0]?.startPermissionMs, 2_000);
  const confirm = {
    kind: "confirmRemoval",
    dataCentre: "north",
    version: 2,
    atMs: 9_000,
  } as const;
  t.is(copy.apply(confirm).kind, "accepted");
  t.deepEqual(copy.apply(confirm), { kind: "ignored" });
  t.is(restored(copy).removals.removal("north")?.state, "accepted");
});

test("a snapshot that isn't one is refused", (t) => {
  const machine = bootstrapped();
  const before = machine.snapshot();
  t.true(machine.restore(new Uint8Array([1, 2, 3])).isLeft());
  t.true(machine.restore(before.subarray(0, before.length / 2)).isLeft());
  t.deepEqual(machine.snapshot(), before);
});

test("memory is bounded by refusing, never by forgetting early", (t) => {
  const machine = bootstrapped({ limits: { editsPerTeamLimit: 3 } });
  const outcomes: ConfigurationOutcome[] = [];
  for (let at = 0; at < 5; at++) {
    const edit = fixtureEdit({ editId: `edit-${at}`, baseVersion: at + 1 });
    outcomes.push(machine.apply(edit));
  }
  const kinds = outcomes.map((outcome) => outcome.kind);
  t.deepEqual(kinds.slice(0, 3), ["accepted", "accepted", "accepted"]);
  t.deepEqual(kinds.slice(3), ["refused", "refused"]);
  const resent = machine.apply(fixtureEdit({ editId: "edit-0" }));
  t.deepEqual(resent, outcomes[0]);
});

/** What the oracle knows of one section of the fuzz run. */
interface ModelSection {
  version: number;
  rank: number;
}

/** The oracle: one edit after another against versions and memory. */
class EditModel {
  version = 1;
  readonly sections = new Map<string, ModelSection>([
    ["normal", { version: 1, rank: 4 }],
  ]);
  readonly answers: { edit: EditCommand; outcome: EditOutcome }[] = [];
  keyGeneration = 0;
  nowMs = 1_000;

  key(): string {
    return this.keyGeneration === 0
      ? fixtureKey("rating")
      : `rotated-${this.keyGeneration}`;
  }

  /** What the answer must be, as far as the oracle is concerned. */
  expect(edit: EditCommand, rank: number): Partial<EditOutcome> {
    const { name } = edit.sectionId;
    const section = this.sections.get(name);
    const currentVersion = section?.version ?? 0;
    if (edit.baseVersion !== currentVersion) {
      const currentText = section === undefined
        ? null
        : jobClassText(name, { owner: "rating", rank: section.rank });
      return { kind: "conflict", currentVersion, currentText };
    }
    if (rank > 9) {
      return { kind: "refused", error: "malformed" };
    }
    this.version++;
    this.sections.set(name, { version: this.version, rank });
    return { kind: "accepted", version: this.version };
  }
}

/** The system under test: three members and the option to break them. */
class EditSystem {
  members: ConfigurationMachine[];
  readonly #options: ConfigurationMachineOptions;

  constructor(options: ConfigurationMachineOptions) {
    this.#options = options;
    this.members = [0, 1, 2].map(() => bootstrapped(options));
  }

  apply(edit: EditCommand): EditOutcome {
    const outcomes = this.members.map((member) => member.apply(edit));
    const texts = new Set(outcomes.map((outcome) => JSON.stringify(outcome)));
    assert(texts.size === 1, "members differ in their answers");
    return outcomes[0] as EditOutcome;
  }

  /** All members must hold the same state. */
  compare(): void {
    const snapshots = new Set(
      this.members.map((member) =>
        JSON.stringify(decodeSnapshot(member.snapshot()).extract())
      ),
    );
    assert(snapshots.size === 1, "members differ in their state");
  }

  restart(index: number): void {
    const member = this.members[index] as ConfigurationMachine;
    this.members[index] = restored(member, this.#options);
  }
}

type EditStep = fc.Command<EditModel, EditSystem>;

function assert(condition: boolean, text: string): void {
  if (!condition) {
    throw new Error(text);
  }
}

function assertMatches(actual: EditOutcome, expected: object): void {
  for (const [key, value] of Object.entries(expected)) {
    const found = (actual as unknown as Record<string, unknown>)[key];
    assert(found === value, `${key}: ${String(found)}, not ${String(value)}`);
  }
}

function step(
  name: string,
  run: (model: EditModel, system: EditSystem) => void,
): EditStep {
  return { check: () => true, run, toString: () => name };
}

/** Several operators edit one section from the same version. */
function race(name: string, ranks: readonly number[], lag: number): EditStep {
  return step(`race ${name} ${ranks} ${lag}`, (model, system) => {
    const current = model.sections.get(name)?.version ?? 0;
    const baseVersion = Math.max(0, current - lag);
    const results = ranks.map((rank) => {
      const text = jobClassText(name, { owner: "rating", rank });
      const edit = fixtureEdit({
        editId: `edit-${model.answers.length}`,
        keyHash: fixtureHash(model.key()),
        sectionId: { kind: "jobClasses", name },
        baseVersion,
        change: { kind: "replace", text },
        atMs: model.nowMs,
      });
      const outcome = system.apply(edit);
      assertMatches(outcome, model.expect(edit, rank));
      model.answers.push({ edit, outcome });
      return outcome.kind;
    });
    const winners = results.filter((kind) => kind === "accepted").length;
    assert(winners <= 1, "two edits won from one version");
  });
}

function resend(at: number, isAltered: boolean): EditStep {
  return step(`resend ${at} ${isAltered}`, (model, system) => {
    const kept = model.answers[at % Math.max(1, model.answers.length)];
    if (kept === undefined || kept.edit.atMs < model.nowMs - DAY_MS) {
      return;
    }
    const edit = {
      ...kept.edit,
      keyHash: fixtureHash(model.key()),
      atMs: model.nowMs,
      baseVersion: kept.edit.baseVersion + (isAltered ? 1 : 0),
    };
    const outcome = system.apply(edit);
    assertMatches(
      outcome,
      isAltered ? { kind: "refused", error: "identityReused" } : kept.outcome,
    );
  });
}

function rotateKey(): EditStep {
  return step("rotate", (model, system) => {
    const member = system.members[0] as ConfigurationMachine;
    const sectionId = { kind: "teams", name: "rating" } as const;
    model.keyGeneration++;
    const text = teamText("rating", "operations", [model.key()]);
    const outcome = system.apply(fixtureEdit({
      editId: `rotate-${model.keyGeneration}`,
      team: "operations",
      sectionId,
      baseVersion: member.section(sectionId)?.version ?? 0,
      change: { kind: "replace", text },
      atMs: model.nowMs,
    }));
    model.version++;
    assertMatches(outcome, { kind: "accepted", version: model.version });
  });
}

const editSteps = [
  fc.tuple(
    fc.constantFrom("normal", "urgent"),
    fc.array(fc.integer({ min: 0, max: 11 }), { minLength: 1, maxLength: 3 }),
    fc.integer({ min: 0, max: 2 }),
  ).map(([name, ranks, lag]) => race(name, ranks, lag)),
  fc.tuple(fc.nat(30), fc.boolean()).map(([at, isAltered]) =>
    resend(at, isAltered)
  ),
  fc.nat(2).map((index) =>
    step(`restart ${index}`, (_model, system) => system.restart(index))
  ),
  fc.integer({ min: 1, max: 8 * 3_600_000 }).map((byMs) =>
    step(`wait ${byMs}`, (model) => {
      model.nowMs += byMs;
    })
  ),
  fc.constant(rotateKey()),
];

function fuzzEdits(options: ConfigurationMachineOptions): fc.RunDetails<
  [Iterable<EditStep>]
> {
  const property = fc.property(
    fc.commands(editSteps, { maxCommands: 40 }),
    (steps) => {
      const setup = () => ({
        model: new EditModel(),
        real: new EditSystem(options),
      });
      let system: EditSystem | undefined;
      fc.modelRun(() => {
        const start = setup();
        system = start.real;
        return start;
      }, steps);
      system?.compare();
    },
  );
  return fc.check(property, { seed: 20_261_204, numRuns: 150 });
}

test("racing and resent edits are linearizable over restarts", (t) => {
  const run = fuzzEdits({});
  t.false(run.failed, String(run.errorInstance));
});

test("the fuzz run notices a machine that ignores base versions", (t) => {
  const run = fuzzEdits({
    evaluate: (context, edit) =>
      evaluateEdit(context, {
        ...edit,
        baseVersion: context.sections.versionOf(
          `${edit.sectionId.kind}.${edit.sectionId.name}`,
        ),
      }),
  });
  t.true(run.failed);
});

test("the fuzz run notices a machine that forgets edits early", (t) => {
  t.true(fuzzEdits({ limits: { editRetentionMs: DAY_MS / 48 } }).failed);
});
