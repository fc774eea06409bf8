import test from "ava";
import fc from "fast-check";
import type { EditCommand, EditOutcome } from "./configuration_command.ts";
import {
  fixtureEdit,
  fixtureHash,
  fixtureKey,
  jobClassText,
  teamText,
} from "./configuration_fixture.ts";
import type {
  ConfigurationMachine,
  ConfigurationMachineOptions,
} from "./configuration_machine.ts";
import { decodeSnapshot } from "./configuration_snapshot.ts";
import { evaluateEdit } from "./edit_evaluation.ts";
import { bootstrappedMachine, restoredMachine } from "./machine_fixture.ts";

const DAY_MS = 86_400_000;

/** The expected state of one section. */
interface ModelSection {
  version: number;
  rank: number;
}

/** Test oracle: a sequential model of edits and their outcomes. */
class EditModel {
  version = 1;
  readonly sections = new Map<string, ModelSection>([
    ["normal", { version: 1, rank: 4 }],
  ]);
  readonly outcomes: { edit: EditCommand; outcome: EditOutcome }[] = [];
  keyGeneration = 0;
  nowMs = 1_000;

  key(): string {
    return this.keyGeneration === 0
      ? fixtureKey("rating")
      : `rotated-${this.keyGeneration}`;
  }

  /** The expected fields of the edit's outcome. */
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

/** Three members; options can give them a fault that the test must detect. */
class EditSystem {
  members: ConfigurationMachine[];
  readonly #options: ConfigurationMachineOptions;

  constructor(options: ConfigurationMachineOptions) {
    this.#options = options;
    this.members = [0, 1, 2].map(() => bootstrappedMachine(options));
  }

  apply(edit: EditCommand): EditOutcome {
    const outcomes = this.members.map((member) => member.apply(edit));
    const texts = new Set(outcomes.map((outcome) => JSON.stringify(outcome)));
    assert(texts.size === 1, "members differ in their outcomes");
    return outcomes[0] as EditOutcome;
  }

  /** Asserts that all members have the same state. */
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
    this.members[index] = restoredMachine(member, this.#options);
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

/** Several edits of one section from the same base version. */
function race(name: string, ranks: readonly number[], lag: number): EditStep {
  return step(`race ${name} ${ranks} ${lag}`, (model, system) => {
    const current = model.sections.get(name)?.version ?? 0;
    const baseVersion = Math.max(0, current - lag);
    const results = ranks.map((rank) => {
      const text = jobClassText(name, { owner: "rating", rank });
      const edit = fixtureEdit({
        editId: `edit-${model.outcomes.length}`,
        keyHash: fixtureHash(model.key()),
        sectionId: { kind: "jobClasses", name },
        baseVersion,
        change: { kind: "replace", text },
        atMs: model.nowMs,
      });
      const outcome = system.apply(edit);
      assertMatches(outcome, model.expect(edit, rank));
      model.outcomes.push({ edit, outcome });
      return outcome.kind;
    });
    const acceptedCount = results.filter((kind) => kind === "accepted").length;
    assert(acceptedCount <= 1, "two edits were accepted from one base version");
  });
}

function resend(at: number, isAltered: boolean): EditStep {
  return step(`resend ${at} ${isAltered}`, (model, system) => {
    const previous = model.outcomes[at % Math.max(1, model.outcomes.length)];
    if (previous === undefined || previous.edit.atMs < model.nowMs - DAY_MS) {
      return;
    }
    const edit = {
      ...previous.edit,
      keyHash: fixtureHash(model.key()),
      atMs: model.nowMs,
      baseVersion: previous.edit.baseVersion + (isAltered ? 1 : 0),
    };
    const outcome = system.apply(edit);
    assertMatches(
      outcome,
      isAltered
        ? { kind: "refused", error: "identityReused" }
        : previous.outcome,
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

test("concurrent and resent edits are linearizable across restarts", (t) => {
  const run = fuzzEdits({});
  t.false(run.failed, String(run.errorInstance));
});

test("the fuzz test detects a machine that ignores base versions", (t) => {
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

test("the fuzz test detects a machine that prunes edit records early", (t) => {
  t.true(fuzzEdits({ limits: { editRetentionMs: DAY_MS / 48 } }).failed);
});
