import test from "ava";
import fc from "fast-check";
import { readFileSync } from "node:fs";
import { SesameError } from "../../base/sesame_error.ts";
import { parseDocument, parseSection } from "./parse_document.ts";
import { renderDocument, renderSection } from "./render_document.ts";
import { migrateDocument } from "./document_migration.ts";
import { parseSectionId, SECTION_KINDS } from "./section_id.ts";
import { joinSectionTexts, storedSectionText } from "./section_text.ts";

const DEMO = readFileSync("examples/demo/document.toml", "utf8");

function refusalOf(text: string): SesameError {
  return parseDocument(text).swap().unsafeCoerce();
}

/** Text, its replacement, and the error's location, line text and reason. */
const REFUSALS: [string, string, string, string | undefined, RegExp][] = [
  [
    "rank = 0\nstart",
    "rank = 99\nstart",
    "jobClasses.urgent",
    "rank = 99",
    /rank/,
  ],
  [
    'region = "region-east"',
    'zone = "region-east"',
    "dataCentres.east",
    'zone = "region-east"',
    /zone/,
  ],
  [
    'owner = "clearance"\nborrowing',
    'owner = "clearing"\nborrowing',
    "clientAccounts.school-trips",
    'owner = "clearing"',
    /no team clearing/,
  ],
  [
    'dataCentre = "west"',
    'dataCentre = "waste"',
    "clientAccounts.loft-rating",
    'dataCentre = "waste"',
    /no data centre waste/,
  ],
  [
    "workersPerRack = 2\nacceleratorsPerWorker = 8\ncount = 2",
    "workersPerRack = 5\nacceleratorsPerWorker = 8\ncount = 2",
    "clientAccounts.school-trips",
    "[[clientAccounts.school-trips.guarantees]]",
    /does not fit the racks of east/,
  ],
  [
    'name = "east-rack-2"',
    'name = "east-rack-1"',
    "dataCentres.east",
    'name = "east-rack-1"',
    /another rack/,
  ],
  [
    'name = "batch"',
    'name = "normal"',
    "services.clearance",
    'name = "normal"',
    /another class/,
  ],
  ["formatVersion = 1", "formatVersion = 7", "formatVersion", undefined, /7/],
  ["formatVersion = 1", "", "formatVersion", undefined, /missing/],
];

for (const [from, to, location, line, reason] of REFUSALS) {
  test(`an error gives section, line and reason: ${to}`, (t) => {
    t.true(DEMO.includes(from));
    const error = refusalOf(DEMO.replace(from, to));
    t.is(error.location, location);
    t.regex(error.message, reason);
    if (line !== undefined) {
      const lines = DEMO.replace(from, to).split("\n");
      t.is(error.facts["line"], lines.lastIndexOf(line) + 1);
    }
  });
}

test("invalid TOML is refused with its line", (t) => {
  const error = refusalOf("formatVersion = 1\n[teams.a\n");
  t.is(error.kind, "malformed");
  t.is(error.facts["line"], 2);
});

test("a line is found inside a multi-line array", (t) => {
  const text = `[services.a]
owner = "x"
classes = [
  { name = "one", rank = 1 },
  { name = "two", rank = 12 },
]
`;
  const sectionId = { kind: "services", name: "a" } as const;
  const error = parseSection(sectionId, text).swap().unsafeCoerce();
  t.is(error.facts["line"], 5);
  t.is(error.location, "services.a");
});

test("the line search has a bounded cost", (t) => {
  const filler = "x\n".repeat(30_000);
  const text = `[jobClasses.a]\nowner = "x"\nrank = 1\n` +
    `other = """${filler}"""\n`;
  const sectionId = { kind: "jobClasses", name: "a" } as const;
  const error = parseSection(sectionId, text).swap().unsafeCoerce();
  t.is(error.kind, "malformed");
  t.regex(error.message, /other/);
  t.is(error.facts["line"] ?? 4, 4);
});

test("a section's text must contain only that section", (t) => {
  const sectionId = { kind: "jobClasses", name: "a" } as const;
  const own = '[jobClasses.a]\nowner = "x"\nrank = 1\n';
  t.true(parseSection(sectionId, own).isRight());
  const texts = [
    own + '\n[jobClasses.b]\nowner = "x"\nrank = 1\n',
    own + '\n[teams.x]\nowner = "x"\nkeyHashes = []\n',
    own + "typo = 1\n",
    'owner = "x"\nrank = 1\n',
    "",
    own + "x".repeat(70_000),
  ];
  for (const text of texts) {
    t.true(parseSection(sectionId, text).isLeft(), text.slice(0, 80));
  }
});

test("a section keeps its text and comments where possible", (t) => {
  const sectionId = { kind: "jobClasses", name: "a" } as const;
  const written = '# Why\n[jobClasses.a]\nowner = "x" # who\nrank = 1\n';
  const dotted = 'jobClasses.a.owner = "x"\njobClasses.a.rank = 1\n';
  const inline = '[jobClasses]\na = { owner = "x", rank = 1 }\n';
  for (const text of [written, dotted, inline]) {
    const section = parseSection(sectionId, text).unsafeCoerce();
    const stored = storedSectionText(sectionId, { text, section });
    t.is(stored === text, text === written);
    const team = '[teams.x]\nowner = "x"\nkeyHashes = ["scrypt$00$00"]\n';
    const more = '[jobClasses.b]\nowner = "x"\nrank = 1\n';
    const whole = parseDocument(joinSectionTexts([team, stored, more]));
    t.deepEqual(whole.unsafeCoerce().jobClasses["a"], section);
  }
});

test("a rendered document parses to the same document", (t) => {
  const document = parseDocument(DEMO).unsafeCoerce();
  const again = parseDocument(renderDocument(document)).unsafeCoerce();
  t.deepEqual(again, document);
  for (const kind of SECTION_KINDS) {
    for (const [name, section] of Object.entries(document[kind])) {
      const text = renderSection({ kind, name }, section);
      t.deepEqual(parseSection({ kind, name }, text).unsafeCoerce(), section);
    }
  }
});

test("migrations run in sequence up to the target version", (t) => {
  const migrations = {
    1: (table: Record<string, unknown>) => ({ ...table, one: true }),
    2: (table: Record<string, unknown>) => ({ ...table, two: true }),
  };
  const options = { migrations, targetVersion: 3 };
  const migrated = migrateDocument({ formatVersion: 1 }, options);
  t.deepEqual(migrated.unsafeCoerce(), {
    formatVersion: 3,
    one: true,
    two: true,
  });
  t.true(migrateDocument({ formatVersion: 0 }, options).isLeft());
  t.true(migrateDocument({ formatVersion: 4 }, options).isLeft());
  t.true(migrateDocument({ formatVersion: "1" }, options).isLeft());
});

/** The demo document with lines dropped, duplicated, cut or replaced. */
const garbled = fc.array(
  fc.record({
    line: fc.nat(140),
    action: fc.constantFrom("drop", "double", "cut", "garble"),
    text: fc.oneof(
      fc.string({ unit: "binary" }),
      fc.constantFrom(
        "[teams.__proto__]",
        "[[dataCentres.east.racks]]",
        "workers = 1e400",
        "count = 999_999",
        "workers = 1_000_000",
        "acceleratorsPerWorker = -1",
        "owner = { a = 1979-05-27 }",
        "[services]",
        'owner = "constructor"',
        "x = [[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]",
      ),
    ),
  }),
  { maxLength: 4 },
).map((changes) => {
  const lines = DEMO.split("\n");
  for (const { line, action, text } of changes) {
    const before = lines[line] ?? "";
    const replacements = {
      drop: [],
      double: [before, before],
      cut: [before.slice(0, before.length / 2)],
      garble: [text],
    };
    lines.splice(line, 1, ...replacements[action]);
  }
  return lines.join("\n");
});

test("malformed documents give an error and never throw", (t) => {
  const property = fc.property(
    fc.oneof(garbled, fc.string({ unit: "binary" })),
    (text) => {
      parseDocument(text).caseOf({
        Right: () => undefined,
        Left: (error) => {
          t.true(error instanceof SesameError && error.message.length > 0);
          t.true(error.location !== undefined || error.facts["line"] !== 0);
        },
      });
    },
  );
  fc.assert(property, { seed: 41, numRuns: 400 });
});

test("section IDs are validated", (t) => {
  t.true(parseSectionId("services.a.b").isRight());
  for (const text of ["", "services", "services.", "nothing.a", "teams._a"]) {
    t.true(parseSectionId(text).isLeft(), text);
  }
});
