import test from "ava";
import fc from "fast-check";
import type { Mutation } from "./core_context.ts";
import type { JobSpecification } from "./job.ts";
import { FakeRuntime } from "./testing/fake_runtime.ts";
import { settle } from "./testing/settle.ts";
import { makeDocument, makeWorkers } from "./testing/test_document.ts";

const HARDWARE = { racks: 3, workersPerRack: 4, accelerators: 8 };
const RUNS = Number(process.env["SCHEDULER_FUZZ_RUNS"] ?? 400);
const SEED = Number(process.env["SCHEDULER_FUZZ_SEED"] ?? 20_261_204);
const STEPS_LIMIT = 90;

type Step =
  | { kind: "submit"; job: JobSpecification }
  | { kind: "cancel"; index: number }
  | { kind: "cancelAll" }
  | { kind: "deliver"; index: number; fails: boolean }
  | { kind: "endGang"; index: number; fails: boolean }
  | { kind: "tick"; byMs: number }
  | { kind: "lose"; index: number; leavesStaleTasks: boolean }
  | { kind: "join"; index: number }
  | { kind: "leave"; index: number }
  | { kind: "status"; isOut: boolean }
  | { kind: "permit"; forMs: number }
  | { kind: "guarantees"; index: number }
  | { kind: "leader"; startsArrive: boolean }
  | { kind: "usage"; index: number; factor: number }
  | { kind: "repeat" };

const GUARANTEES = [
  {
    lakes: [
      { racks: 1, workersPerRack: 2, acceleratorsPerWorker: 8, count: 1 },
      { racks: 1, workersPerRack: 1, acceleratorsPerWorker: 2, count: 2 },
    ],
    mills: [
      { racks: 2, workersPerRack: 2, acceleratorsPerWorker: 4, count: 1 },
    ],
    looms: [],
  },
  {
    lakes: [
      { racks: 1, workersPerRack: 3, acceleratorsPerWorker: 4, count: 1 },
    ],
    mills: [
      { racks: 1, workersPerRack: 4, acceleratorsPerWorker: 8, count: 1 },
    ],
    looms: [
      { racks: 1, workersPerRack: 1, acceleratorsPerWorker: 4, count: 2 },
    ],
  },
];

const anyIndex = fc.nat({ max: 50 });

const jobs: fc.Arbitrary<JobSpecification> = fc.record({
  jobId: fc.integer({ min: 1, max: 60 }).map((number) => `job-${number}`),
  clientAccount: fc.constantFrom("lakes", "mills", "looms"),
  jobClass: fc.constantFrom("urgent", "dispatch", "overnight"),
  tasks: fc.constantFrom(1, 1, 2, 3, 4, 8),
  resources: fc.record({
    cores: fc.constantFrom(0.5, 1, 4),
    memoryBytes: fc.constantFrom(100, 1_000),
    accelerators: fc.constantFrom(0, 1, 2, 4, 8),
  }),
  adjacency: fc.constantFrom("any", "rack", "worker"),
  declaredRunMs: fc.constantFrom(1_000, 60_000, 3_600_000),
  dataCentres: fc.constant([]),
  canCheckpoint: fc.boolean(),
  command: fc.constant([]),
});

const steps: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 9,
    arbitrary: fc.record({ kind: fc.constant("submit" as const), job: jobs }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("deliver" as const),
      index: anyIndex,
      fails: fc.integer({ min: 0, max: 9 }).map((number) => number === 0),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("endGang" as const),
      index: anyIndex,
      fails: fc.integer({ min: 0, max: 3 }).map((number) => number === 0),
    }),
  },
  {
    weight: 7,
    arbitrary: fc.record({
      kind: fc.constant("tick" as const),
      byMs: fc.constantFrom(100, 1_000, 20_000, 90_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("lose" as const),
      index: anyIndex,
      leavesStaleTasks: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("join" as const),
      index: anyIndex,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("leave" as const),
      index: anyIndex,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("cancel" as const),
      index: anyIndex,
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "cancelAll" as const }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("status" as const),
      isOut: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("permit" as const),
      forMs: fc.constantFrom(1_000, 100_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("guarantees" as const),
      index: anyIndex,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("leader" as const),
      startsArrive: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("usage" as const),
      index: anyIndex,
      factor: fc.constantFrom(0.1, 1, 3, 10),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "repeat" as const }) },
);

class StepCommand implements fc.Command<object, FakeRuntime> {
  readonly #step: Step;

  constructor(step: Step) {
    this.#step = step;
  }

  check(): boolean {
    return true;
  }

  run(_model: object, runtime: FakeRuntime): void {
    apply(this.#step, runtime);
    if (runtime.violations.length > 0) {
      throw new Error(runtime.violations.join("\n"));
    }
  }

  toString(): string {
    return JSON.stringify(this.#step);
  }
}

function apply(step: Step, runtime: FakeRuntime): void {
  switch (step.kind) {
    case "submit":
      return runtime.submit(step.job);
    case "cancel":
      return runtime.cancel(
        pick([...runtime.jobs.keys()], step.index) ?? "none",
      );
    case "cancelAll":
      return [...runtime.jobs.keys()].forEach((jobId) => runtime.cancel(jobId));
    case "deliver":
      return runtime.deliver(step.index, { fails: step.fails });
    case "endGang":
      return runtime.endGang(step.index, { fails: step.fails });
    case "tick":
      return runtime.tick(step.byMs);
    case "lose":
      return runtime.lose(pick([...runtime.workers.keys()], step.index) ?? "", {
        leavesStaleTasks: step.leavesStaleTasks,
      });
    case "join":
      return runtime.join(pick([...runtime.workers.keys()], step.index) ?? "");
    case "leave":
      return runtime.leave(pick([...runtime.workers.keys()], step.index) ?? "");
    case "status":
      return runtime.setStatus(step.isOut ? "out" : "in");
    case "permit":
      return runtime.permit(step.forMs);
    case "guarantees":
      return runtime.configure({
        clientAccounts:
          documentOf(step.index % GUARANTEES.length).clientAccounts,
      });
    case "leader":
      return runtime.changeLeader({ startsArrive: step.startsArrive });
    case "usage":
      return runtime.reportUsage(step.index, { factor: step.factor });
    case "repeat":
      return runtime.repeat();
  }
}

function pick<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

function documentOf(index: number) {
  return makeDocument({
    ...HARDWARE,
    guarantees: GUARANTEES[index] as (typeof GUARANTEES)[0],
  });
}

function runFuzz(
  options: { seed: number; runs: number; mutations?: readonly Mutation[] },
): { failed: boolean; report: string } {
  const commands = fc.commands(
    [steps.map((step) => new StepCommand(step))],
    { maxCommands: STEPS_LIMIT, size: "max" },
  );
  const property = fc.property(commands, (all) => {
    const runtime = new FakeRuntime({
      document: documentOf(0),
      workers: makeWorkers(HARDWARE),
      mutations: options.mutations ?? [],
    });
    fc.modelRun(() => ({ model: {}, real: runtime }), all);
    settle(runtime);
    if (runtime.violations.length > 0) {
      throw new Error(runtime.violations.slice(0, 5).join("\n"));
    }
  });
  const details = fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    endOnFailure: options.mutations !== undefined,
  });
  return {
    failed: details.failed,
    report: `${details.errorInstance}\n${fc.defaultReportMessage(details)}`,
  };
}

test("no sequence of events violates an invariant", (t) => {
  const details = runFuzz({ seed: SEED, runs: RUNS });
  t.false(details.failed, details.report);
});

/** Each injected fault, and the violation that the checks must report. */
const MUTATIONS: Readonly<Record<Mutation, RegExp>> = {
  startsWhileOut: /while the data centre is out/,
  startsWithoutPermission: /without permission/,
  startsWhileRecovering: /during recovery/,
  overcommitsWorkers: /more is used than it has/,
  breaksGangs: /without every task|some of its tasks hold no capacity/,
  ignoresAdjacency: /aren't adjacent/,
  claimsForeignGuarantees: /use more than is assigned to its guarantees/,
  leavesGuaranteesOnLostWorkers: /guarantee \S+: \S+ is unavailable/,
  forgetsQueuedJobs: /waits outside the queue/,
  keepsStaleIndex: /index: rack/,
  evictsGuarantees: /evicted from its guarantee/,
};

for (const [mutation, expected] of Object.entries(MUTATIONS)) {
  test(`the checks detect the mutation ${mutation}`, (t) => {
    const details = runFuzz({
      seed: SEED,
      runs: 200,
      mutations: [mutation as Mutation],
    });
    t.true(details.failed);
    t.regex(details.report, expected);
  });
}
