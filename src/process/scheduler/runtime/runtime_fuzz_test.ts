/**
 * Stateful fuzzing of one data centre: faults of links, workers and instances
 * in any order, checked against what actually ran on the workers.
 */

import test from "ava";
import fc from "fast-check";
import type { OmittedFence } from "../../../../standins/worker/worker_types.ts";
import { LeaderCore } from "../leader_core.ts";
import type { DecisionCoreFactory } from "./decision_core.ts";
import { LEASE_DEFAULTS } from "./lease_rule.ts";
import type { OmittedCheck } from "./session_context.ts";
import { makeWorld, TestBed } from "./testing/test_bed.ts";

const PARTIAL_LIMIT_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

const STORM = {
  lostPerMille: 60,
  doubledPerMille: 200,
  latePerMille: 150,
  lateMs: 6_000,
  delayMs: 60,
};

/** Long enough for the longest retry delay and then for every job. */
const SETTLE_MS = 240_000;

interface Real {
  readonly bed: TestBed;
  submitted: number;
}

type Model = Record<string, never>;

type Step = fc.AsyncCommand<Model, Real>;

function step(label: string, act: (real: Real) => Promise<void>): Step {
  return {
    check: () => true,
    run: async (_model, real) => {
      await act(real);
      if (real.bed.history.violations.length > 0) {
        throw new Error(real.bed.history.violations.join("; "));
      }
    },
    toString: () => label,
  };
}

const instance = fc.nat({ max: 2 });
const worker = fc.integer({ min: 1, max: 4 });

const steps = [
  fc.tuple(fc.integer({ min: 1, max: 6 }), fc.integer({ min: 1, max: 40 }))
    .map(([tasks, halfSeconds]) =>
      step(`submit(${tasks}, ${halfSeconds / 2} s)`, (real) => {
        const jobId = `j${real.submitted++}`;
        const command = ["run", String(halfSeconds * 500)];
        void real.bed.submit({ jobId, tasks, command });
        return real.bed.pass(30);
      })
    ),
  fc.nat({ max: 9 }).map((at) =>
    step(`cancel(j${at})`, (real) => {
      void real.bed.cancel(`j${at}`);
      return Promise.resolve();
    })
  ),
  fc.integer({ min: 1, max: 4_000 }).map((byMs) =>
    step(`pass(${byMs})`, (real) => real.bed.pass(byMs))
  ),
  fc.integer({ min: 4_000, max: 14_000 }).map((byMs) =>
    step(`pass(${byMs})`, (real) => real.bed.pass(byMs))
  ),
  fc.tuple(instance, instance).map(([cut, next]) =>
    step(`cutLeader(${cut}, ${next})`, async ({ bed }) => {
      const ids = bed.instanceIds as string[];
      bed.group.cut(ids[cut] ?? "");
      if (bed.group.leaderId === undefined) {
        await bed.pass(1_600);
        bed.elect(ids[next] ?? "");
      }
    })
  ),
  instance.map((at) =>
    step(`elect(${at})`, ({ bed }) => {
      bed.elect(bed.instanceIds[at] ?? "");
      return Promise.resolve();
    })
  ),
  instance.map((at) =>
    step(`healMember(${at})`, ({ bed }) => {
      bed.group.heal(bed.instanceIds[at] ?? "");
      return Promise.resolve();
    })
  ),
  instance.map((at) =>
    step(`restart(${at})`, async ({ bed }) => {
      const id = bed.instanceIds[at] ?? "";
      bed.killInstance(id);
      await bed.pass(1_600);
      bed.startInstance(id);
      const next = bed.instanceIds.find((each) => bed.elect(each));
      void next;
    })
  ),
  worker.map((at) =>
    step(`killWorker(w${at})`, ({ bed }) => {
      bed.workers.get(`w${at}`)?.die();
      return Promise.resolve();
    })
  ),
  worker.map((at) =>
    step(`reviveWorker(w${at})`, ({ bed }) => {
      bed.workers.get(`w${at}`)?.revive();
      return Promise.resolve();
    })
  ),
  fc.tuple(instance, worker, fc.boolean()).map(([at, to, isInward]) =>
    step(`cutWorker(${at}, w${to}, ${isInward})`, ({ bed }) => {
      const id = bed.instanceIds[at] ?? "";
      const [from, into] = isInward ? [id, `w${to}`] : [`w${to}`, id];
      bed.world.links.cut(from, into);
      return Promise.resolve();
    })
  ),
  fc.constant(step("healLinks", ({ bed }) => {
    bed.world.links.heal();
    return Promise.resolve();
  })),
  fc.constant(step("loseMessages", ({ bed }) => {
    bed.world.links.weather = STORM;
    return Promise.resolve();
  })),
  instance.map((at) =>
    step(`cutCopy(${at})`, ({ bed }) => {
      bed.instances.get(bed.instanceIds[at] ?? "")?.copy.cut();
      return Promise.resolve();
    })
  ),
  fc.boolean().map((isOut) =>
    step(isOut ? "takeOut" : "putIn", ({ bed }) => {
      bed.world.configuration.setStatus("dc1", isOut ? "out" : "in");
      bed.history.noteRemoval(isOut ? bed.world.clock.nowMs() : undefined);
      return Promise.resolve();
    })
  ),
];

/** Ends all faults, lets everything finish, and checks the outcome. */
async function settleAndCheck({ bed }: Real): Promise<void> {
  bed.world.links.heal();
  bed.world.links.weather = { ...STORM, lostPerMille: 0, latePerMille: 0 };
  for (const id of bed.instanceIds) {
    bed.startInstance(id);
    bed.group.heal(id);
    bed.instances.get(id)?.copy.heal();
  }
  bed.workers.forEach((each) => each.revive());
  bed.world.configuration.setStatus("dc1", "in");
  bed.history.noteRemoval(undefined);
  await bed.pass(1_600);
  bed.elect(bed.instanceIds[1] ?? "");
  await bed.pass(SETTLE_MS);
  const { violations } = bed.history;
  const left = [...bed.ledger.liveRecords()]
    .map((record) => record.specification.jobId);
  const tasksOf = (jobId: string) =>
    bed.ledger.get(jobId)?.specification.tasks ?? 1;
  const partialMs = bed.history.longestPartialMs(tasksOf);
  if (violations.length > 0 || left.length > 0) {
    throw new Error(`${violations.join("; ")}; not ended: ${left.join()}`);
  }
  if (partialMs > PARTIAL_LIMIT_MS) {
    throw new Error(`a gang ran without all its tasks for ${partialMs} ms`);
  }
}

interface Omitted {
  readonly omittedChecks?: readonly OmittedCheck[];
  readonly omittedFences?: readonly OmittedFence[];
}

interface FuzzOptions extends Omitted {
  readonly createCore?: DecisionCoreFactory;
  readonly runs: number;
  readonly seed: number;
}

/** The report of the first failure; undefined for none. */
async function fuzz(options: FuzzOptions): Promise<string | undefined> {
  const property = fc.asyncProperty(
    fc.commands(steps, { maxCommands: 40, size: "max" }),
    fc.nat(),
    async (commands, seed) => {
      const world = makeWorld({ seed, dataCentres: ["dc1"] });
      const bed = new TestBed({ world, lostAnswersPerMille: 50, ...options });
      const real: Real = { bed, submitted: 0 };
      await bed.pass(2_000);
      await fc.asyncModelRun(() => ({ model: {}, real }), commands);
      await settleAndCheck(real);
    },
  );
  const details = await fc.check(property, {
    numRuns: options.runs,
    seed: options.seed,
    endOnFailure: true,
    includeErrorInReport: true,
  });
  return details.failed ? fc.defaultReportMessage(details) : undefined;
}

test("no sequence of faults violates a rule or loses a job", async (t) => {
  t.is(await fuzz({ runs: 250, seed: 20_261 }), undefined);
});

test("no sequence of faults violates a rule under the real core", async (t) => {
  const createCore = () => new LeaderCore({ dataCentre: "dc1" });
  t.is(await fuzz({ runs: 250, seed: 20_264, createCore }), undefined);
});

const BITES: readonly Omitted[] = [
  { omittedChecks: ["intentFirst"] },
  { omittedChecks: ["gangEvidence"] },
  { omittedFences: ["lease"] },
];

for (const omitted of BITES) {
  test(`an omitted check is detected: ${JSON.stringify(omitted)}`, async (t) => {
    const report = await fuzz({ runs: 300, seed: 20_262, ...omitted });
    t.not(report, undefined);
  });
}
