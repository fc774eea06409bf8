import test from "ava";
import { Left, Right } from "purify-ts/Either";
import { readFileSync } from "node:fs";
import { FakeClock } from "../../../base/fake_clock.ts";
import {
  type ErrorKind,
  failure,
  type Result,
  SesameError,
} from "../../../base/mod.ts";
import { matchesTeamKey } from "../../../version/document/team_key.ts";
import type { ApiAnswer, ApiCall, ApiClient } from "../api_client.ts";
import type { CommandContext } from "../command_context.ts";
import { textWithStatus } from "./data_centre_status.ts";
import {
  editConfiguration,
  getConfiguration,
  printKeyHash,
  setDataCentreStatus,
  showConfigurationHistory,
  validateConfiguration,
} from "./mod.ts";

const TEXT = '# Ours\n[jobClasses.a]\nowner = "x"\nrank = 1\n';
const KEY = "x:a-secret-key-of-x";

/** An instance that returns the given answers and records the calls. */
class ScriptedClient {
  readonly calls: ApiCall[] = [];
  readonly #answers: Result<unknown>[];

  constructor(answers: readonly Result<unknown>[]) {
    this.#answers = [...answers];
  }

  json(call: ApiCall): Promise<Result<unknown>> {
    this.calls.push(call);
    return Promise.resolve(this.#answers.shift() ?? failure("internal"));
  }

  async call(call: ApiCall): Promise<Result<ApiAnswer>> {
    const value = await this.json(call);
    return value.map((text) => ({
      status: 200,
      headers: {},
      text: String(text),
    }));
  }
}

function setUp(
  answers: readonly Result<unknown>[],
  files: Record<string, string> = {},
) {
  const client = new ScriptedClient(answers);
  const out: string[] = [];
  const errors: string[] = [];
  const context: CommandContext = {
    client: client as unknown as ApiClient,
    io: {
      out: (text) => void out.push(text),
      error: (text) => void errors.push(text),
      read: (path) =>
        Promise.resolve(
          path in files ? Right(files[path] ?? "") : failure("notFound"),
        ),
    },
    wantsJson: false,
  };
  return { client, context, out, errors };
}

/** A clock whose timers fire in the next microtask. */
class ImmediateClock extends FakeClock {
  override after(delayMs: number, action: () => void) {
    const timer = super.after(delayMs, action);
    queueMicrotask(() => this.advance(delayMs));
    return timer;
  }
}

const SECTION = Right({ section: "jobClasses.a", version: 7, text: TEXT });
const ACCEPTED = Right({ state: "accepted", version: 8 });

function failed(kind: ErrorKind): Result<unknown> {
  return Left(new SesameError(kind));
}

test("an edit prints the diff and sends its base version", async (t) => {
  const edited = TEXT.replace("rank = 1", "rank = 2");
  const { client, context, out } = setUp([SECTION, ACCEPTED], { f: edited });
  const code = await editConfiguration(context, {
    section: "jobClasses.a",
    file: "f",
    key: KEY,
  });
  t.is(code, 0);
  t.regex(out.join("\n"), /-rank = 1\n\+rank = 2/);
  t.regex(out.join("\n"), /accepted as version 8/);
  t.is(client.calls[1]?.headers?.["if-match"], '"7"');
  t.is(client.calls[1]?.headers?.["authorization"], `Bearer ${KEY}`);
});

test("the version line of a file sets the base version of its edit", async (t) => {
  const fetched = setUp([SECTION]);
  await getConfiguration(fetched.context, { section: "jobClasses.a" });
  const file = fetched.out.join("\n");
  t.regex(file, /^# jobClasses\.a at version 7\n/);
  const later = Right({ section: "jobClasses.a", version: 9, text: TEXT });
  const { client, context } = setUp([later, ACCEPTED], { f: file });
  const options = { section: "jobClasses.a", file: "f", key: KEY };
  t.is(await editConfiguration(context, options), 0);
  t.is(client.calls[1]?.headers?.["if-match"], '"7"');
  t.is(client.calls[1]?.body, "\n" + TEXT.trimEnd());
});

test("an edit whose response was lost is repeated with the same ID", async (t) => {
  const { client, context } = setUp(
    [SECTION, failed("outcomeUnknown"), failed("unavailable"), ACCEPTED],
    { f: TEXT },
  );
  const code = await editConfiguration(context, {
    section: "jobClasses.a",
    file: "f",
    key: KEY,
    clock: new ImmediateClock(),
  });
  t.is(code, 0);
  const ids = client.calls.slice(1).map((call) =>
    call.headers?.["idempotency-key"]
  );
  t.is(ids.length, 3);
  t.is(new Set(ids).size, 1);
});

test("an edit whose outcome stays unknown prints how to resume it", async (t) => {
  const answers = [SECTION, ...Array(5).fill(failed("outcomeUnknown"))];
  const { context, errors } = setUp(answers, { f: TEXT });
  const code = await editConfiguration(context, {
    section: "jobClasses.a",
    file: "f",
    key: KEY,
    editId: "mine",
    clock: new ImmediateClock(),
  });
  t.is(code, 76);
  t.regex(errors.join(), /--edit-id mine --base 7/);
});

test("rejected edits exit with the codes of their error kinds", async (t) => {
  const options = { section: "jobClasses.a", file: "f", key: KEY };
  const cases: [Result<unknown>, number][] = [
    [failed("conflict"), 73],
    [failed("forbidden"), 77],
    [failed("invalid"), 65],
  ];
  for (const [answer, code] of cases) {
    const { context } = setUp([SECTION, answer], { f: TEXT });
    t.is(await editConfiguration(context, options), code);
  }
  const broken = setUp([], { f: TEXT.replace("1", '"high"') });
  t.is(await editConfiguration(broken.context, options), 65);
  t.regex(broken.errors.join(), /line 4: rank/);
  t.is(broken.client.calls.length, 0);
  const noKey = setUp([], { f: TEXT });
  const section = "jobClasses.a";
  t.is(await editConfiguration(noKey.context, { section, file: "f" }), 77);
  t.is(await editConfiguration(noKey.context, { section, key: KEY }), 65);
});

test("a dry run is marked as such in the call and in the output", async (t) => {
  const { client, context, out } = setUp(
    [SECTION, Right({ state: "wouldBeAccepted" })],
    { f: TEXT },
  );
  await editConfiguration(context, {
    section: "jobClasses.a",
    file: "f",
    key: KEY,
    dryRun: true,
  });
  t.regex(client.calls[1]?.path ?? "", /dryRun=true$/);
  t.regex(out.join(), /nothing was changed/);
});

const NORTH = `# Kept
[dataCentres.north]
owner = "x"
region = "one"
status = "in" # since May
`;

test("taking a data centre out waits until the removal takes effect", async (t) => {
  const pending = { state: "pending", version: 3, dataCentre: "north" };
  const { client, context, out } = setUp([
    Right({ section: "dataCentres.north", version: 2, text: NORTH }),
    failed("conflict"),
    Right({ section: "dataCentres.north", version: 3, text: NORTH }),
    Right({ ...pending, holdsByMs: 5_000 }),
    Right({ ...pending, holdsByMs: 5_000 }),
    Right({ state: "accepted", version: 3 }),
  ]);
  const code = await setDataCentreStatus(context, {
    dataCentre: "north",
    status: "out",
    key: KEY,
    clock: new ImmediateClock(),
  });
  t.is(code, 0);
  t.regex(out.join(), /accepted as version 3/);
  t.is(client.calls[3]?.headers?.["if-match"], '"3"');
  t.regex(String(client.calls[3]?.body), /status = "out"/);
});

test("a removal that takes too long is reported as pending", async (t) => {
  const pending = {
    state: "pending",
    version: 3,
    dataCentre: "north",
    holdsByMs: 5_000,
  };
  const { context, out } = setUp([
    Right({ section: "dataCentres.north", version: 2, text: NORTH }),
    ...Array(20).fill(Right(pending)),
  ]);
  const code = await setDataCentreStatus(context, {
    dataCentre: "north",
    status: "out",
    key: KEY,
    waitMs: 2_000,
    clock: new ImmediateClock(),
  });
  t.is(code, 75);
  t.regex(out.join(), /may start tasks until 1970-01-01T00:00:05/);
});

test("setting a status keeps comments where possible", (t) => {
  const sectionId = { kind: "dataCentres", name: "north" } as const;
  const status = "out";
  const plain = textWithStatus(NORTH, { sectionId, status }).unsafeCoerce();
  t.is(plain, NORTH.replace(/status = .*/, 'status = "out"'));
  const absent = NORTH.replace(/status.*\n/, "");
  const added = textWithStatus(absent, { sectionId, status }).unsafeCoerce();
  t.regex(added, /# Kept\n\[dataCentres.north\]\nstatus = "out"\n/);
  const dotted = 'dataCentres.north.owner = "x"\n' +
    'dataCentres.north.status = "in"\n';
  const rendered = textWithStatus(dotted, { sectionId, status });
  t.regex(rendered.unsafeCoerce(), /status = "out"/);
});

test("validate checks a document without calling an instance", async (t) => {
  const demo = readFileSync("examples/demo/document.toml", "utf8");
  const broken = demo.replace("workersPerRack = 2", "workersPerRack = 9");
  const { context, out, errors } = setUp([], { good: demo, broken });
  t.is(await validateConfiguration(context, { file: "good" }), 0);
  t.regex(out.join(), /3 teams, 2 clientAccounts/);
  t.is(await validateConfiguration(context, { file: "broken" }), 65);
  t.regex(errors.join(), /line \d+: .*does not fit.*clientAccounts/);
});

test("history is a table of edits and where they are in force", async (t) => {
  const { context, out } = setUp([Right({
    version: 2,
    instances: [{ instanceId: "a", version: 2 }, {
      instanceId: "b",
      version: 1,
    }],
    entries: [{
      version: 2,
      section: "jobClasses.a",
      change: "replace",
      team: "x",
      baseVersion: 1,
      atMs: 0,
      inForceOn: ["a"],
    }],
  })]);
  t.is(await showConfigurationHistory(context, { limit: 5 }), 0);
  t.regex(out.join(), /2 +jobClasses.a +replace +x +1 .* 1 of 2: a/);
});

test("key hash hashes a given key, or a new one", async (t) => {
  const files = { key: "a-long-enough-key\n", short: "short" };
  const { context, out } = setUp([], files);
  t.is(await printKeyHash(context, { file: "key" }), 0);
  t.true(await matchesTeamKey("a-long-enough-key", out[0] ?? ""));
  t.is(await printKeyHash(context, { file: "short" }), 65);
  t.is(await printKeyHash(context, {}), 0);
  const [, key = "", hash = ""] = /key +(\S+)\nhash (\S+)/.exec(out[1] ?? "") ??
    [];
  t.true(await matchesTeamKey(key, hash));
});
