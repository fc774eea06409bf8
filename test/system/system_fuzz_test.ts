import test from "ava";
import { type CampaignOptions, runCampaign } from "./campaign.ts";
import { runHistory } from "./system_history.ts";
import type { SystemStep } from "./system_step.ts";

test("random histories of the system violate no invariant", async (t) => {
  const { passed, failures } = await runCampaign({ seed: 1, runs: 10 });
  t.deepEqual(failures.map(({ seed, violations }) => [seed, violations]), []);
  t.is(passed, 10);
});

/** Defects that the oracle must detect, and the histories that show them. */
const MUTANTS: readonly {
  readonly name: string;
  /** Matches one of the violations that the defect causes. */
  readonly violation: RegExp;
  readonly campaign: CampaignOptions;
}[] = [
  {
    name: "disks that report syncs they have not done revert edits",
    violation: /went back|two documents|has version|shared? a version|accepted/,
    campaign: {
      seed: 11,
      runs: 60,
      mutation: { syncLies: true },
      stepKinds: ["race", "crash", "start", "switch"],
    },
  },
  {
    name: "a lost answer reported as not sent runs the request twice",
    violation: /run twice|untrue|ran after/,
    campaign: {
      seed: 7,
      runs: 60,
      mutation: { reportsLostAsNotSent: true },
      stepKinds: ["request", "serverFaults"],
    },
  },
  {
    name: "requests run twice when ledgers are cleared",
    violation: /run twice/,
    campaign: {
      seed: 3,
      runs: 60,
      mutation: { clearsLedgers: true },
      stepKinds: ["request", "crash", "start"],
    },
  },
  {
    name: "a backend server's answer reaches the wrong caller",
    violation: /got: answer to/,
    campaign: {
      seed: 1,
      runs: 60,
      mutation: { swapsAnswers: true },
      stepKinds: ["request"],
    },
  },
  {
    name: "gangs that aren't released on every worker run incomplete",
    violation: /a part of a gang/,
    campaign: {
      seed: 46,
      runs: 60,
      mutation: {
        omittedChecks: ["releaseAll", "gangEvidence"],
        omittedFences: ["lease"],
      },
      stepKinds: ["submit", "worker", "weather", "freeze"],
    },
  },
  {
    name: "a recovery that doesn't wait runs two attempts of a job at once",
    violation: /beside attempt|done already|had ended/,
    campaign: {
      seed: 57,
      runs: 60,
      mutation: {
        omittedChecks: ["intentFirst", "recoveryWait", "lapseWait"],
        omittedFences: ["term", "late", "released", "lease"],
      },
      stepKinds: ["submit", "crash", "start", "freeze", "resume"],
    },
  },
];

for (const { name, violation, campaign } of MUTANTS) {
  test(`the oracle detects: ${name}`, async (t) => {
    let detected: string | undefined;
    let tried = 0;
    while (detected === undefined && tried < campaign.runs) {
      const { failures } = await runCampaign({
        ...campaign,
        seed: campaign.seed + tried,
        runs: 1,
      });
      detected = failures.flatMap(({ violations }) => violations)
        .find((text) => violation.test(text));
      tried += 1;
    }
    t.log(`history ${tried}: ${detected}`);
    t.truthy(detected);
  });
}

/** The south is cut off and taken out; then jobs are submitted to it. */
const CUT_OFF_AND_OUT: readonly SystemStep[] = [
  { kind: "pass", byMs: 1_000 },
  { kind: "cutRegions" },
  { kind: "switch", at: "n1", dataCentre: "south", status: "out" },
  { kind: "pass", byMs: 6_000 },
  { kind: "resend", at: "n1" },
  { kind: "pass", byMs: 3_000 },
  ...[1, 2, 3, 4].map((job) => ({
    kind: "submit" as const,
    at: "s1" as const,
    job,
    tasks: 1,
    runMs: 500,
  })),
  { kind: "pass", byMs: 3_000 },
];

test("nothing starts in a data centre that was cut off and taken out", async (t) => {
  const { violations, timeline } = await runHistory(CUT_OFF_AND_OUT, {
    seed: 1,
  });
  t.deepEqual(violations, []);
  t.true(timeline.some((line) => /dataCentres.south.*accepted/.test(line)));
});

test("the oracle detects: stale copies that start tasks", async (t) => {
  const { violations } = await runHistory(CUT_OFF_AND_OUT, {
    seed: 1,
    mutation: { treatsCopiesAsCurrent: true },
  });
  t.true(violations.some((text) => /south is out/.test(text)));
});

test("nothing is lost when the leader of a two-instance data centre loses its disk", async (t) => {
  const { violations } = await runHistory([
    {
      kind: "submit",
      at: "s2",
      job: 7,
      tasks: 1,
      runMs: 500,
    },
    { kind: "wipe", at: "s1", next: "s1" },
    { kind: "submit", at: "s1", job: 4, tasks: 1, runMs: 500 },
    { kind: "pass", byMs: 1_000 },
    { kind: "wipe", at: "s2", next: "n1" },
  ], { seed: 2 });
  t.deepEqual(violations, []);
});

// The answer to the start command is lost, and the task ends before the worker
// can be queried.
test("a short job whose start was not answered isn't run twice", async (t) => {
  const steps: readonly SystemStep[] = [
    { kind: "weather", rate: 0.2 },
    ...[0, 1, 2, 3, 4, 5].map((job) => ({
      kind: "submit" as const,
      at: "n1" as const,
      job,
      tasks: 1,
      runMs: 500,
    })),
    { kind: "pass", byMs: 3_000 },
  ];
  for (const seed of [1, 2, 3, 4]) {
    const { violations } = await runHistory(steps, { seed });
    t.deepEqual(violations, [], `seed ${seed}`);
  }
});

test("a job that is done isn't run again by the next leader", async (t) => {
  const steps: readonly SystemStep[] = [
    { kind: "submit", at: "s1", job: 2, tasks: 3, runMs: 500 },
    { kind: "pass", byMs: 60 },
    { kind: "crash", at: "s2" },
    { kind: "pass", byMs: 13_000 },
    { kind: "start", at: "s2" },
  ];
  for (const seed of [5, 8, 12]) {
    const { violations } = await runHistory(steps, { seed });
    t.deepEqual(violations, []);
  }
});

test("a job that ended before its stop arrived isn't run again", async (t) => {
  const { violations } = await runHistory([
    { kind: "pass", byMs: 1000 },
    { kind: "crash", at: "n3" },
    { kind: "submit", at: "n1", job: 7, tasks: 4, runMs: 500 },
    { kind: "pass", byMs: 1000 },
    { kind: "submit", at: "n1", job: 7, tasks: 3, runMs: 3000 },
    { kind: "crash", at: "n2" },
    { kind: "pass", byMs: 1000 },
    { kind: "cutOneWay", at: "n2", other: "s2" },
    { kind: "serverFaults", rate: 0 },
    { kind: "pass", byMs: 50 },
    { kind: "pass", byMs: 50 },
    { kind: "resend", at: "n1" },
    { kind: "crash", at: "n3" },
    { kind: "pass", byMs: 300 },
    { kind: "resume", at: "s1" },
    { kind: "stop", at: "n1" },
    { kind: "crash", at: "s2" },
    { kind: "heal" },
    { kind: "request", at: "n1", other: "n2", request: 6, timeoutMs: 100 },
    { kind: "pass", byMs: 300 },
    { kind: "pass", byMs: 3000 },
    { kind: "race", at: "n1", other: "n2", rank: 3 },
    { kind: "switch", at: "s2", dataCentre: "south", status: "in" },
    { kind: "crash", at: "s1" },
    { kind: "serverFaults", rate: 0 },
    { kind: "cancel", at: "n2", job: 1 },
    { kind: "resume", at: "n2" },
    { kind: "freeze", at: "s2" },
    { kind: "submit", at: "n1", job: 1, tasks: 3, runMs: 25000 },
    { kind: "pass", byMs: 1000 },
    { kind: "pass", byMs: 1000 },
  ], { seed: 35172 });
  t.deepEqual(violations, []);
});

test("the oracle counts a resent edit from when it was first sent", async (t) => {
  const { violations } = await runHistory([
    { kind: "switch", at: "s1", dataCentre: "north", status: "in" },
    { kind: "switch", at: "n2", dataCentre: "south", status: "in" },
    { kind: "crash", at: "n2" },
    { kind: "pass", byMs: 50 },
    { kind: "switch", at: "n2", dataCentre: "north", status: "out" },
    { kind: "resume", at: "n3" },
    { kind: "pass", byMs: 50 },
    { kind: "resend", at: "n3" },
    { kind: "resend", at: "s1" },
    { kind: "crash", at: "s2" },
    { kind: "pass", byMs: 300 },
    { kind: "submit", at: "n1", job: 3, tasks: 1, runMs: 3000 },
    { kind: "request", at: "s2", other: "n3", request: 0, timeoutMs: 600 },
    { kind: "submit", at: "n2", job: 1, tasks: 4, runMs: 3000 },
    { kind: "race", at: "s2", other: "s2", rank: 5 },
    { kind: "pass", byMs: 300 },
    { kind: "race", at: "s1", other: "n1", rank: 8 },
    { kind: "race", at: "s1", other: "n3", rank: 3 },
    { kind: "start", at: "n1" },
    { kind: "heal" },
    { kind: "submit", at: "n1", job: 7, tasks: 4, runMs: 25000 },
    { kind: "weather", rate: 0.05 },
    { kind: "pass", byMs: 50 },
  ], { seed: 35220 });
  t.deepEqual(violations, []);
});
