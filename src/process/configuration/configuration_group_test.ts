import test from "ava";
import fc from "fast-check";
import { Right } from "purify-ts/Either";
import type { Result } from "../../base/sesame_error.ts";
import type { EditOutcome } from "./configuration_command.ts";
import {
  FIXTURE_DOCUMENT,
  fixtureEdit,
  jobClassText,
} from "./configuration_fixture.ts";
import type { ConfigurationMachineOptions } from "./configuration_machine.ts";
import type { EditRequest, EditResult } from "./configuration_service.ts";
import { evaluateEdit } from "./edit_evaluation.ts";
import { VirtualCluster, type VirtualInstance } from "./virtual_cluster.ts";

const VOTERS = ["a-1", "b-1", "c-1"];

const INSTANCES: readonly VirtualInstance[] = [
  ...VOTERS.map((id, index) => ({
    id,
    dataCentre: id.slice(0, 1),
    region: index < 2 ? "near" : "far",
    hasDisk: true,
  })),
  { id: "a-2", dataCentre: "a", region: "near", hasDisk: false },
];

/** Low thresholds, so that every run compacts its logs. */
const TIMING = { snapshotEntries: 4, tailEntries: 2 };

type Step =
  | { kind: "race"; rank: number; ids: readonly string[]; lag: number }
  | { kind: "resend"; pick: number; id: string }
  | { kind: "crash" | "start" | "isolate"; id: string }
  | { kind: "heal" }
  | { kind: "wait"; byMs: number };

const instanceId = fc.constantFrom(...INSTANCES.map(({ id }) => id));

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("race" as const),
      rank: fc.nat(9),
      ids: fc.array(instanceId, { minLength: 1, maxLength: 3 }),
      lag: fc.constantFrom(0, 0, 0, 1),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("resend" as const),
      pick: fc.nat(20),
      id: instanceId,
    }),
  },
  fc.record({
    kind: fc.constantFrom(
      "crash" as const,
      "start" as const,
      "isolate" as const,
    ),
    id: instanceId,
  }),
  fc.constant({ kind: "heal" as const }),
  fc.record({
    kind: fc.constant("wait" as const),
    byMs: fc.constantFrom(20, 400, 3_000),
  }),
);

interface SentEdit {
  readonly request: EditRequest;
  /** The first outcome that was reported; undefined before. */
  outcome: EditOutcome | undefined;
}

/** Operators who edit through a cluster, and the outcomes reported to them. */
class Operators {
  readonly cluster: VirtualCluster;
  readonly sent: SentEdit[] = [];
  readonly #work: Promise<unknown>[] = [];

  constructor(cluster: VirtualCluster) {
    this.cluster = cluster;
  }

  /** Sends an edit to one instance, without waiting for its outcome. */
  send(id: string, edit: SentEdit): void {
    const service = this.cluster.node(id)?.service;
    if (service === undefined) {
      return;
    }
    this.#work.push(
      service.edit(edit.request).then((result) => {
        this.#recordOutcome(edit, result);
      }),
    );
  }

  race(step: Extract<Step, { kind: "race" }>): void {
    const sectionId = { kind: "jobClasses", name: "normal" } as const;
    const versions = step.ids.map((id) =>
      this.cluster.node(id)?.machine.section(sectionId)?.version ?? 0
    );
    const baseVersion = Math.max(0, Math.max(...versions) - step.lag);
    for (const id of step.ids) {
      const rank = (step.rank + this.sent.length) % 10;
      const text = jobClassText("normal", { owner: "rating", rank });
      const { kind: _kind, atMs: _atMs, ...request } = fixtureEdit({
        editId: `edit-${this.sent.length}`,
        sectionId,
        baseVersion,
        change: { kind: "replace", text },
      });
      const edit: SentEdit = { request, outcome: undefined };
      this.sent.push(edit);
      this.send(id, edit);
    }
  }

  async finish(): Promise<void> {
    await this.cluster.finish(Promise.all(this.#work));
  }

  #recordOutcome(edit: SentEdit, result: Result<EditResult>): void {
    result.ifRight(({ outcome }) => {
      const first = edit.outcome;
      edit.outcome ??= outcome;
      if (first !== undefined) {
        assertSame(outcome, first, "a resent edit got another outcome");
      }
    });
  }
}

function assertSame(actual: unknown, expected: unknown, text: string): void {
  if (JSON.stringify(actual) !== JSON.stringify(expected)) {
    throw new Error(`${text}: ${JSON.stringify([actual, expected])}`);
  }
}

async function runStep(operators: Operators, step: Step): Promise<void> {
  const { cluster } = operators;
  switch (step.kind) {
    case "race":
      operators.race(step);
      return;
    case "resend": {
      const edit = operators.sent[step.pick % operators.sent.length];
      if (edit !== undefined) {
        operators.send(step.id, edit);
      }
      return;
    }
    case "crash":
      await cluster.crash(step.id);
      return;
    case "start":
      if (cluster.node(step.id) === undefined) {
        await cluster.start(step.id);
      }
      return;
    case "isolate":
      cluster.hub.isolate(step.id);
      return;
    case "heal":
      cluster.hub.heal();
      return;
    case "wait":
      await cluster.run(step.byMs);
  }
}

/** Ends all faults, resends every edit and checks the whole run. */
async function checkEnd(operators: Operators): Promise<void> {
  const { cluster, sent } = operators;
  cluster.hub.heal();
  for (const { id } of cluster.instances) {
    if (cluster.node(id) === undefined) {
      await cluster.start(id);
    }
  }
  await operators.finish();
  await cluster.run(6_000);
  sent.forEach((edit, at) => operators.send(VOTERS[at % 3] as string, edit));
  await operators.finish();
  await cluster.run(6_000);
  checkOutcomes(operators);
  const [first, ...others] = [...cluster.nodes.values()];
  for (const { machine } of others) {
    assertSame(machine.history, first?.machine.history, "histories differ");
  }
  for (const { service } of cluster.nodes.values()) {
    for (const { version } of service.inForce.versionsInForce()) {
      assertSame(version, first?.machine.current.version, "not in force");
    }
  }
}

/** Checks that the reported outcomes agree with the history. */
function checkOutcomes({ cluster, sent }: Operators): void {
  const history = [...cluster.nodes.values()][0]?.machine.history ?? [];
  const acceptedBases = new Set<number>();
  for (const { request, outcome } of sent) {
    const { editId, baseVersion } = request;
    const entries = history.filter((entry) => entry.editId === editId);
    const isAccepted = outcome?.kind === "accepted";
    assertSame(outcome !== undefined, true, `${editId} got no outcome`);
    assertSame(entries.length, isAccepted ? 1 : 0, `${editId} in history`);
    if (outcome?.kind === "accepted") {
      assertSame(entries[0]?.version, outcome.version, `${editId} version`);
      assertSame(
        acceptedBases.has(baseVersion),
        false,
        "two edits won",
      );
      acceptedBases.add(baseVersion);
    }
  }
}

async function fuzzGroup(
  machine: ConfigurationMachineOptions,
  numRuns: number,
): Promise<Result<void> | string> {
  const property = fc.asyncProperty(
    fc.array(stepArbitrary, { minLength: 8, maxLength: 30 }),
    fc.nat(1_000),
    async (steps, seed) => {
      const cluster = new VirtualCluster({
        instances: INSTANCES,
        seed: seed + 1,
        machine,
        timing: TIMING,
      });
      await cluster.startAll();
      await cluster.run(2_500);
      const [first] = [...cluster.nodes.values()];
      const bootstrap = first?.service.bootstrap(FIXTURE_DOCUMENT);
      await cluster.finish(Promise.all([bootstrap]));
      const operators = new Operators(cluster);
      for (const step of steps) {
        await runStep(operators, step);
      }
      await checkEnd(operators);
      await cluster.close();
    },
  );
  const options = { seed: 99, numRuns, endOnFailure: true };
  const run = await fc.check(property, options);
  return run.failed ? String(run.errorInstance) : Right(undefined);
}

test("edits in the real log are decided once despite faults", async (t) => {
  const result = await fuzzGroup({}, 40);
  t.true(typeof result !== "string", String(result));
});

test("the fuzz test detects two accepted edits of one version", async (t) => {
  const result = await fuzzGroup({
    evaluate: (context, edit) =>
      evaluateEdit(context, {
        ...edit,
        baseVersion: context.sections.versionOf("jobClasses.normal"),
      }),
  }, 40);
  t.regex(String(result), /two edits won/);
});
