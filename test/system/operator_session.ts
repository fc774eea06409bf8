/**
 * A session of operators at the command line, against three instances with a
 * replicated log.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { failure } from "../../src/base/mod.ts";
import { EndpointTable } from "../../src/process/http/endpoint_table.ts";
import type { HttpAnswer } from "../../src/process/http/http_endpoint.ts";
import {
  FIXTURE_DOCUMENT,
  fixtureKey,
  jobClassText,
  matchesFixture,
  teamText,
} from "../../src/process/configuration/configuration_fixture.ts";
import { VirtualCluster } from "../../src/process/configuration/virtual_cluster.ts";
import type {
  ApiCall,
  ApiClient,
} from "../../src/programs/commands/api_client.ts";
import type { CommandContext } from "../../src/programs/commands/command_context.ts";
import {
  editConfiguration,
  getConfiguration,
  setDataCentreStatus,
  showConfigurationHistory,
} from "../../src/programs/commands/config/mod.ts";

const INSTANCES = [
  { id: "north-1", dataCentre: "north", region: "one", hasDisk: true },
  { id: "south-1", dataCentre: "south", region: "two", hasDisk: true },
  { id: "south-2", dataCentre: "south", region: "two", hasDisk: true },
];

/** Runs commands against an instance and records what they print. */
class OperatorTerminal {
  readonly cluster = new VirtualCluster({
    instances: INSTANCES,
    matches: matchesFixture,
  });
  readonly lines: string[] = [];
  readonly files = new Map<string, string>();
  /** The output of the last command. */
  printed = "";

  async start(): Promise<void> {
    await this.cluster.startAll();
    await this.cluster.run(3_000);
    const service = this.cluster.node("south-1")?.service;
    await this.cluster.finish(
      Promise.all([service?.bootstrap(FIXTURE_DOCUMENT)]),
    );
    await this.cluster.run(1_000);
  }

  /** Runs a command and records its output and exit code. */
  async run(
    title: string,
    command: (context: CommandContext) => Promise<number>,
  ): Promise<void> {
    this.lines.push(`$ ${title}`);
    this.printed = "";
    const code = await this.cluster.finish(command(this.#context()));
    this.lines.push(`exit ${code}`, "");
    await this.cluster.run(1_000);
  }

  /** Times are masked, as they differ with the timing of other components. */
  text(): string {
    return this.lines.join("\n")
      .replaceAll(/\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+Z/g, "<time>");
  }

  #context(): CommandContext {
    const print = (text: string) => {
      this.printed += text + "\n";
      this.lines.push(text);
    };
    return {
      client: {
        call: (call: ApiCall) => this.#call(call),
        json: async (call: ApiCall) => {
          const answer = await this.#call(call);
          return answer.map(({ text }) => JSON.parse(text));
        },
      } as unknown as ApiClient,
      io: {
        out: print,
        error: print,
        read: (path) => {
          const text = this.files.get(path);
          return Promise.resolve(
            text === undefined ? failure("notFound") : Right(text),
          );
        },
      },
      wantsJson: false,
    };
  }

  async #call(call: ApiCall) {
    const endpoints = this.cluster.node("south-1")?.service.endpoints() ?? [];
    const url = new URL(call.path, "http://localhost");
    const found = new EndpointTable({ endpoints }).find(
      call.method,
      url.pathname,
    );
    const { endpoint, parameters } = found.unsafeCoerce();
    const answer = await endpoint.handle({
      method: call.method,
      path: url.pathname,
      parameters,
      query: url.searchParams,
      headers: { ...call.headers },
      receivedAtMs: this.cluster.clock.nowMs(),
      body: Buffer.from(call.body ?? ""),
      signal: new AbortController().signal,
    });
    return answer.map(({ status, headers, body }: HttpAnswer) => ({
      status,
      headers,
      text: String(body),
    }));
  }
}

const RATING = `rating:${fixtureKey("rating")}`;
const OPERATIONS = `operations:${fixtureKey("operations")}`;
const NORMAL = "jobClasses.normal";

async function editSections(terminal: OperatorTerminal): Promise<void> {
  await terminal.run(
    `config get ${NORMAL}`,
    (context) => getConfiguration(context, { section: NORMAL }),
  );
  terminal.files.set("mine", terminal.printed.replace("rank = 4", "rank = 5"));
  const mine = { section: NORMAL, file: "mine", key: RATING };
  await terminal.run(
    `config edit ${NORMAL} --file mine --dry-run`,
    (context) => editConfiguration(context, { ...mine, dryRun: true }),
  );
  await terminal.run(
    `config edit ${NORMAL} --file mine --edit-id e-1`,
    (context) => editConfiguration(context, { ...mine, editId: "e-1" }),
  );
  await terminal.run(
    "the same edit again: its recorded outcome",
    (context) => editConfiguration(context, { ...mine, editId: "e-1" }),
  );
  await terminal.run(
    "another edit from the same version",
    (context) => editConfiguration(context, { ...mine, editId: "e-2" }),
  );
  const other = jobClassText("normal", { owner: "rating", rank: 7 });
  terminal.files.set("other", other);
  await terminal.run(
    "another edit with the ID of the first",
    (context) =>
      editConfiguration(context, { ...mine, file: "other", editId: "e-1" }),
  );
}

async function sendRejectedEdits(terminal: OperatorTerminal): Promise<void> {
  const edit = (title: string, section: string, text: string, key: string) => {
    terminal.files.set("file", text);
    return terminal.run(
      title,
      (context) => editConfiguration(context, { section, file: "file", key }),
    );
  };
  const normal = (rank: string) =>
    `[${NORMAL}]\nowner = "rating"\nrank = ${rank}\n`;
  await edit("another team's section", NORMAL, normal("1"), OPERATIONS);
  await edit("a wrong key", NORMAL, normal("1"), "rating:wrong");
  await edit("a value out of range", NORMAL, normal("99"), RATING);
  await edit("broken TOML", NORMAL, normal("]"), RATING);
  await edit(
    "a guarantee that doesn't fit",
    "clientAccounts.buyers",
    `[clientAccounts.buyers]
owner = "rating"

[[clientAccounts.buyers.guarantees]]
dataCentre = "north"
racks = 1
workersPerRack = 3
acceleratorsPerWorker = 8
count = 2
`,
    RATING,
  );
  await terminal.run(
    "removing a section in use",
    (context) =>
      editConfiguration(context, {
        section: "teams.trips",
        remove: true,
        key: OPERATIONS,
      }),
  );
}

async function rotateKey(terminal: OperatorTerminal): Promise<void> {
  terminal.files.set("team", teamText("rating", "operations", ["fresh"]));
  await terminal.run(
    "a new key for rating",
    (context) =>
      editConfiguration(context, {
        section: "teams.rating",
        file: "team",
        key: OPERATIONS,
      }),
  );
  terminal.files.set(
    "next",
    jobClassText("normal", { owner: "rating", rank: 3 }),
  );
  for (const key of [RATING, "rating:fresh"]) {
    const isOld = key === RATING;
    await terminal.run(
      `${isOld ? "the old" : "the new"} key`,
      (context) =>
        editConfiguration(context, { section: NORMAL, file: "next", key }),
    );
  }
}

async function takeNorthOutAndBack(terminal: OperatorTerminal): Promise<void> {
  const { clock, hub } = terminal.cluster;
  const north = { dataCentre: "north", key: OPERATIONS, clock };
  hub.isolate("north-1");
  await terminal.run(
    "datacentre out north, cut off, --wait-ms 0",
    (context) =>
      setDataCentreStatus(context, { ...north, status: "out", waitMs: 0 }),
  );
  await terminal.run(
    "datacentre out north, cut off",
    (context) => setDataCentreStatus(context, { ...north, status: "out" }),
  );
  await terminal.run(
    "config history --limit 3, while cut off",
    (context) => showConfigurationHistory(context, { limit: 3 }),
  );
  hub.heal();
  await terminal.cluster.run(8_000);
  await terminal.run(
    "datacentre in north, healed",
    (context) => setDataCentreStatus(context, { ...north, status: "in" }),
  );
  await terminal.cluster.run(6_000);
  await terminal.run(
    "config history",
    (context) => showConfigurationHistory(context, {}),
  );
}

/** Runs the session; returns the commands and their output. */
export async function runOperatorSession(): Promise<string> {
  const terminal = new OperatorTerminal();
  await terminal.start();
  await editSections(terminal);
  await sendRejectedEdits(terminal);
  await rotateKey(terminal);
  await takeNorthOutAndBack(terminal);
  await terminal.cluster.close();
  return terminal.text();
}
