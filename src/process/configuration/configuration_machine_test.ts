import test from "ava";
import fc from "fast-check";
import type { ErrorKind } from "../../base/error_kind.ts";
import type {
  ConfigurationOutcome,
  EditCommand,
} from "./configuration_command.ts";
import {
  FIXTURE_DOCUMENT,
  fixtureEdit,
  fixtureHash,
  jobClassText,
  northText,
  teamText,
} from "./configuration_fixture.ts";
import { ConfigurationMachine } from "./configuration_machine.ts";
import { bootstrappedMachine, restoredMachine } from "./machine_fixture.ts";

test("a bootstrap is ignored once there is a document", (t) => {
  const machine = bootstrappedMachine();
  t.is(machine.current.version, 1);
  const again = { kind: "bootstrap", text: FIXTURE_DOCUMENT, atMs: 2 } as const;
  t.deepEqual(machine.apply(again), { kind: "ignored" });
});

test("of two edits of one base version the first is accepted", (t) => {
  const machine = bootstrappedMachine();
  const first = machine.apply(fixtureEdit({ editId: "a" }));
  const second = machine.apply(fixtureEdit({ editId: "b" }));
  t.is(first.kind, "accepted");
  t.deepEqual(second, {
    kind: "conflict",
    currentVersion: 2,
    currentText: jobClassText("normal", { owner: "rating", rank: 5 }),
  });
});

test("a base version before a removal can't recreate the section", (t) => {
  const machine = bootstrappedMachine();
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

test("a refused edit gives its reason and changes nothing", (t) => {
  const machine = bootstrappedMachine();
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

test("a rotated key can't edit, and a resent edit keeps its outcome", (t) => {
  const machine = bootstrappedMachine();
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

test("a data centre's removal is pending until it is confirmed", (t) => {
  const machine = bootstrappedMachine();
  const sectionId = { kind: "dataCentres", name: "north" } as const;
  const outcome = machine.apply(fixtureEdit({
    team: "operations",
    sectionId,
    change: { kind: "replace", text: northText("out") },
  }));
  t.is(outcome.kind === "accepted" && outcome.removedDataCentre, "north");
  const copy = restoredMachine(machine);
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
  t.is(restoredMachine(copy).removals.removal("north")?.state, "accepted");
});

test("an invalid snapshot is refused and changes nothing", (t) => {
  const machine = bootstrappedMachine();
  const before = machine.snapshot();
  t.true(machine.restore(new Uint8Array([1, 2, 3])).isLeft());
  t.true(machine.restore(before.subarray(0, before.length / 2)).isLeft());
  t.deepEqual(machine.snapshot(), before);
});

test("restoring a corrupted snapshot never throws", (t) => {
  const intact = bootstrappedMachine().snapshot();
  const property = fc.property(
    fc.array(fc.tuple(fc.nat(intact.length - 1), fc.nat(255)), {
      minLength: 1,
      maxLength: 5,
    }),
    (changes) => {
      const bytes = Uint8Array.from(intact);
      changes.forEach(([at, byte]) => {
        bytes[at] = byte;
      });
      new ConfigurationMachine().restore(bytes);
    },
  );
  fc.assert(property, { seed: 12, numRuns: 500 });
  t.pass();
});

test("at the limit new edits are refused and recorded ones are kept", (t) => {
  const limits = { editsPerTeamLimit: 3, editsPerTeamReserve: 2 };
  const machine = bootstrappedMachine({ limits });
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

test("a team that uses up the limits doesn't block other teams' edits", (t) => {
  const machine = bootstrappedMachine({
    limits: {
      editsLimit: 4,
      editsPerTeamReserve: 2,
      replacedBytesLimit: 100,
      replacedBytesPerTeamReserve: 1_000,
    },
  });
  for (let at = 0; at < 6; at++) {
    machine.apply(fixtureEdit({ editId: `edit-${at}`, baseVersion: at + 1 }));
  }
  t.is(machine.current.version, 5, "the limit is enforced");
  const out = fixtureEdit({
    editId: "out",
    team: "operations",
    sectionId: { kind: "dataCentres", name: "north" },
    change: { kind: "replace", text: northText("out") },
  });
  t.is(machine.apply(out).kind, "accepted");
});

test("an edit that makes the document too large is refused", (t) => {
  const machine = bootstrappedMachine({
    limits: { documentBytesLimit: 2_000 },
  });
  const text = jobClassText("normal", { owner: "rating", rank: 1 }) +
    "# comment\n".repeat(200);
  const outcome = machine.apply(fixtureEdit({
    change: { kind: "replace", text },
  }));
  t.is(outcome.kind === "refused" && outcome.error, "tooLarge");
});
