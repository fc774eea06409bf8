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
import {
  DataCentreSimulation,
  makeEnvironment,
} from "./testing/data_centre_simulation.ts";

/** How long a gang may run partially: a lease, plus the permitted drift. */
const PARTIAL_LIMIT_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

const UNRELIABLE_LINKS = {
  lostPerMille: 60,
  doubledPerMille: 200,
  latePerMille: 150,
  lateMs: 6_000,
  delayMs: 60,
};

/** Long enough for the longest retry delay and then for every job. */
const SETTLE_MS = 240_000;

interface Real {
  readonly simulation: DataCentreSimulation;
  submitted: number;
}

type Model = Record<string, never>;

type Step = fc.AsyncCommand<Model, Real>;

function step(label: string, act: (real: Real) => Promise<void>): Step {
  return {
    check: () => true,
    run: async (_model, real) => {
      await act(real);
      if (real.simulation.history.violations.length > 0) {
        throw new Error(real.simulation.history.violations.join("; "));
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
        void real.simulation.submit({ jobId, tasks, command });
        return real.simulation.advance(30);
      })
    ),
  fc.nat({ max: 9 }).map((index) =>
    step(`cancel(j${index})`, (real) => {
      void real.simulation.cancel(`j${index}`);
      return Promise.resolve();
    })
  ),
  fc.integer({ min: 1, max: 4_000 }).map((byMs) =>
    step(`advance(${byMs})`, (real) => real.simulation.advance(byMs))
  ),
  fc.integer({ min: 4_000, max: 14_000 }).map((byMs) =>
    step(`advance(${byMs})`, (real) => real.simulation.advance(byMs))
  ),
  fc.tuple(instance, instance).map(([cut, next]) =>
    step(`cutLeader(${cut}, ${next})`, async ({ simulation }) => {
      const ids = simulation.instanceIds as string[];
      simulation.group.partition(ids[cut] ?? "");
      if (simulation.group.leaderId === undefined) {
        await simulation.advance(1_600);
        simulation.elect(ids[next] ?? "");
      }
    })
  ),
  instance.map((index) =>
    step(`elect(${index})`, ({ simulation }) => {
      simulation.elect(simulation.instanceIds[index] ?? "");
      return Promise.resolve();
    })
  ),
  instance.map((index) =>
    step(`healMember(${index})`, ({ simulation }) => {
      simulation.group.heal(simulation.instanceIds[index] ?? "");
      return Promise.resolve();
    })
  ),
  instance.map((index) =>
    step(`restart(${index})`, async ({ simulation }) => {
      const id = simulation.instanceIds[index] ?? "";
      simulation.killInstance(id);
      await simulation.advance(1_600);
      simulation.startInstance(id);
      const next = simulation.instanceIds.find((each) =>
        simulation.elect(each)
      );
      void next;
    })
  ),
  worker.map((index) =>
    step(`killWorker(w${index})`, ({ simulation }) => {
      simulation.workers.get(`w${index}`)?.die();
      return Promise.resolve();
    })
  ),
  worker.map((index) =>
    step(`reviveWorker(w${index})`, ({ simulation }) => {
      simulation.workers.get(`w${index}`)?.revive();
      return Promise.resolve();
    })
  ),
  fc.tuple(instance, worker, fc.boolean()).map(([index, to, isInward]) =>
    step(`cutWorker(${index}, w${to}, ${isInward})`, ({ simulation }) => {
      const id = simulation.instanceIds[index] ?? "";
      const [from, into] = isInward ? [id, `w${to}`] : [`w${to}`, id];
      simulation.environment.links.cut(from, into);
      return Promise.resolve();
    })
  ),
  fc.constant(step("healLinks", ({ simulation }) => {
    simulation.environment.links.heal();
    return Promise.resolve();
  })),
  fc.constant(step("loseMessages", ({ simulation }) => {
    simulation.environment.links.conditions = UNRELIABLE_LINKS;
    return Promise.resolve();
  })),
  instance.map((index) =>
    step(`cutCopy(${index})`, ({ simulation }) => {
      simulation.instances.get(simulation.instanceIds[index] ?? "")
        ?.configurationCopy.cut();
      return Promise.resolve();
    })
  ),
  fc.boolean().map((isOut) =>
    step(isOut ? "takeOut" : "putIn", ({ simulation }) => {
      simulation.environment.configuration.setStatus(
        "dc1",
        isOut ? "out" : "in",
      );
      simulation.history.recordRemoval(
        isOut ? simulation.environment.clock.nowMs() : undefined,
      );
      return Promise.resolve();
    })
  ),
];

/** Ends all faults, lets everything finish, and checks the outcome. */
async function settleAndCheck({ simulation }: Real): Promise<void> {
  simulation.environment.links.heal();
  simulation.environment.links.conditions = {
    ...UNRELIABLE_LINKS,
    lostPerMille: 0,
    latePerMille: 0,
  };
  for (const id of simulation.instanceIds) {
    simulation.startInstance(id);
    simulation.group.heal(id);
    simulation.instances.get(id)?.configurationCopy.heal();
  }
  simulation.workers.forEach((each) => each.revive());
  simulation.environment.configuration.setStatus("dc1", "in");
  simulation.history.recordRemoval(undefined);
  await simulation.advance(1_600);
  simulation.elect(simulation.instanceIds[1] ?? "");
  await simulation.advance(SETTLE_MS);
  const { violations } = simulation.history;
  const unfinishedJobIds = [...simulation.ledger.liveRecords()]
    .map((record) => record.specification.jobId);
  const tasksOf = (jobId: string) =>
    simulation.ledger.get(jobId)?.specification.tasks ?? 1;
  const partialMs = simulation.history.longestPartialMs(tasksOf);
  if (violations.length > 0 || unfinishedJobIds.length > 0) {
    throw new Error(
      `${violations.join("; ")}; not ended: ${unfinishedJobIds.join()}`,
    );
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
      const environment = makeEnvironment({ seed, dataCentres: ["dc1"] });
      const simulation = new DataCentreSimulation({
        environment,
        lostAnswersPerMille: 50,
        ...options,
      });
      const real: Real = { simulation, submitted: 0 };
      await simulation.advance(2_000);
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

const DETECTED_OMISSIONS: readonly Omitted[] = [
  { omittedChecks: ["intentFirst"] },
  { omittedChecks: ["gangEvidence"] },
  { omittedFences: ["lease"] },
];

for (const omitted of DETECTED_OMISSIONS) {
  test(`an omitted check is detected: ${JSON.stringify(omitted)}`, async (t) => {
    const report = await fuzz({ runs: 300, seed: 20_262, ...omitted });
    t.not(report, undefined);
  });
}
