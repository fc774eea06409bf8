import test from "ava";
import fc from "fast-check";
import { checkDocument } from "./check_document.ts";
import type { Document } from "./document.ts";
import { EMPTY_DOCUMENT, withSection } from "./document_change.ts";
import { parseDocument } from "./parse_document.ts";
import type { Section } from "./parse_document.ts";
import type { SectionId } from "./section_id.ts";

const BASE: Document = parseDocument(`formatVersion = 1
[teams.x]
owner = "x"
keyHashes = ["scrypt$00$00"]
[dataCentres.east]
owner = "x"
region = "one"
[dataCentres.west]
owner = "x"
region = "one"
`).orDefault(EMPTY_DOCUMENT);

interface Change {
  readonly sectionId: SectionId;
  readonly section: Section | undefined;
}

const dataCentreName = fc.constantFrom("east", "west");
const size = fc.integer({ min: 1, max: 3 });

const changeArbitrary: fc.Arbitrary<Change> = fc.oneof(
  fc.tuple(dataCentreName, fc.array(size, { maxLength: 3 })).map(
    ([name, racks]) => ({
      sectionId: { kind: "dataCentres" as const, name },
      section: {
        ...BASE.dataCentres["east"] as Section,
        racks: racks.map((workers, index) => ({
          name: `rack-${index}`,
          workers,
          coresPerWorker: 1,
          memoryBytesPerWorker: 1,
          acceleratorsPerWorker: 4,
        })),
      } as Section,
    }),
  ),
  fc.tuple(
    fc.constantFrom("a", "b", "c"),
    fc.option(fc.array(fc.tuple(dataCentreName, size, size), { maxLength: 3 })),
  ).map(([name, guarantees]) => ({
    sectionId: { kind: "clientAccounts" as const, name },
    section: guarantees === null ? undefined : {
      owner: "x",
      borrowingWeight: 1,
      queuedJobsLimit: 1,
      guarantees: guarantees.map(([dataCentre, workers, accelerators]) => ({
        dataCentre,
        racks: 1,
        workersPerRack: workers,
        acceleratorsPerWorker: accelerators,
        count: 1,
      })),
    },
  })),
);

/** Whether incremental and full checks agree after every change. */
function givesSameResults(
  changes: readonly Change[],
  beforeOf: (before: Document, after: Document) => Document,
): boolean {
  let document = BASE;
  for (const { sectionId, section } of changes) {
    const after = withSection(document, sectionId, section);
    const full = checkDocument(after);
    const before = beforeOf(document, after);
    const incremental = checkDocument(after, { before });
    if (full.length > 0 !== incremental.length > 0) {
      return false;
    }
    document = full.length === 0 ? after : document;
  }
  return true;
}

test("an incremental check agrees with a full check", (t) => {
  const property = fc.property(
    fc.array(changeArbitrary, { maxLength: 20 }),
    (changes) => givesSameResults(changes, (before) => before),
  );
  fc.assert(property, { seed: 3, numRuns: 1_000 });
  t.pass();
});

test("the property detects an incremental check that skips changes", (t) => {
  const property = fc.property(
    fc.array(changeArbitrary, { maxLength: 20 }),
    (changes) => givesSameResults(changes, (_before, after) => after),
  );
  t.true(fc.check(property, { seed: 3, numRuns: 1_000 }).failed);
});

test("the order of faults doesn't depend on the order of edits", (t) => {
  const accounts = ["a", "b"].map((name): Change => ({
    sectionId: { kind: "clientAccounts", name },
    section: {
      owner: "nobody",
      guarantees: [],
      borrowingWeight: 1,
      queuedJobsLimit: 1,
    },
  }));
  const build = (changes: readonly Change[]) =>
    changes.reduce(
      (document, { sectionId, section }) =>
        withSection(document, sectionId, section),
      BASE,
    );
  t.deepEqual(
    checkDocument(build(accounts)),
    checkDocument(build(accounts.toReversed())),
  );
});

test("hardware and shapes beyond the limits are refused", (t) => {
  const rack = {
    name: "r",
    workers: 1_000_000,
    coresPerWorker: 1,
    memoryBytesPerWorker: 1,
    acceleratorsPerWorker: 1_000_000,
  };
  const east = { ...BASE.dataCentres["east"] as Section, racks: [rack] };
  const huge = withSection(
    BASE,
    { kind: "dataCentres", name: "east" },
    east as Section,
  );
  t.regex(checkDocument(huge)[0]?.reason ?? "", /at most 4096 workers/);
  const many = withSection(BASE, { kind: "clientAccounts", name: "a" }, {
    owner: "x",
    borrowingWeight: 1,
    queuedJobsLimit: 1,
    guarantees: [{
      dataCentre: "east",
      racks: 1,
      workersPerRack: 1,
      acceleratorsPerWorker: 1,
      count: 1_000_000,
    }],
  });
  t.regex(checkDocument(many)[0]?.reason ?? "", /more than 1024 shapes/);
});
