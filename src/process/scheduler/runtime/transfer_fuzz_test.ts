/**
 * Fuzzing of two data centres that transfer jobs to each other while messages
 * are lost, leaders change and data centres are taken out.
 */

import test from "ava";
import fc from "fast-check";
import { RunHistory } from "./testing/run_history.ts";
import {
  advanceTime,
  DataCentreSimulation,
  makeEnvironment,
} from "./testing/data_centre_simulation.ts";

const DATA_CENTRES = ["dc1", "dc2"];

const UNRELIABLE_LINKS = {
  lostPerMille: 100,
  doubledPerMille: 200,
  latePerMille: 150,
  lateMs: 5_000,
  delayMs: 30,
};

const dataCentreIndex = fc.nat({ max: 1 });

const step = fc.oneof(
  fc.record({
    kind: fc.constant("submit" as const),
    dataCentreIndex,
    resend: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("cancel" as const),
    dataCentreIndex,
    job: fc.nat({ max: 5 }),
  }),
  fc.record({
    kind: fc.constant("status" as const),
    dataCentreIndex,
    status: fc.constantFrom("in" as const, "out" as const),
  }),
  fc.record({ kind: fc.constant("newLeader" as const), dataCentreIndex }),
  fc.record({
    kind: fc.constant("link" as const),
    from: dataCentreIndex,
    isCut: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("advance" as const),
    byMs: fc.integer({ min: 1, max: 5_000 }),
  }),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

class Pair {
  readonly environment: ReturnType<typeof makeEnvironment>;
  readonly history = new RunHistory();
  readonly simulations: readonly DataCentreSimulation[];
  #submitted = 0;

  constructor(seed: number) {
    this.environment = makeEnvironment({ seed, dataCentres: DATA_CENTRES });
    this.simulations = DATA_CENTRES.map((dataCentre, index) =>
      new DataCentreSimulation({
        environment: this.environment,
        dataCentre,
        firstWorker: 1 + 10 * index,
        history: this.history,
        lostAnswersPerMille: 50,
      })
    );
    this.environment.links.conditions = UNRELIABLE_LINKS;
  }

  simulation(index: number): DataCentreSimulation {
    return this.simulations[index] as DataCentreSimulation;
  }

  async run(step: Step): Promise<void> {
    switch (step.kind) {
      case "submit":
        this.#submit(step);
        return;
      case "cancel":
        void this.simulation(step.dataCentreIndex).cancel(`j${step.job}`);
        return;
      case "status":
        this.environment.configuration
          .setStatus(
            this.simulation(step.dataCentreIndex).dataCentre,
            step.status,
          );
        return;
      case "newLeader":
        await this.#replaceLeader(this.simulation(step.dataCentreIndex));
        return;
      case "link":
        this.#link(step);
        return;
      case "advance":
        await advanceTime(this.environment.clock, step.byMs);
        return;
    }
  }

  /** Ends all faults and lets everything finish. */
  async settle(): Promise<void> {
    this.environment.links.heal();
    this.environment.links.conditions = {
      ...UNRELIABLE_LINKS,
      lostPerMille: 0,
      latePerMille: 0,
    };
    for (const simulation of this.simulations) {
      this.environment.configuration.setStatus(simulation.dataCentre, "in");
      simulation.instanceIds.forEach((id) => simulation.startInstance(id));
      simulation.elect(simulation.instanceIds[0] ?? "");
    }
    await advanceTime(this.environment.clock, 120_000);
  }

  /** Every violation, as text. */
  findViolations(): string[] {
    const violations = [...this.history.violations];
    for (let job = 0; job < this.#submitted; job++) {
      const records = this.simulations
        .flatMap((simulation) => simulation.ledger.get(`j${job}`) ?? []);
      const ends = records.filter((record) => record.end !== undefined);
      const isLive = records.length > ends.length && ends.length === 0;
      if (isLive || ends.length > 1) {
        violations.push(`j${job} ended ${ends.length} times`);
      }
    }
    return violations;
  }

  #submit(step: Extract<Step, { kind: "submit" }>): void {
    const isResend = step.resend && this.#submitted > 0;
    const number = isResend ? this.#submitted - 1 : this.#submitted++;
    void this.simulation(step.dataCentreIndex).submit({
      jobId: `j${number}`,
      tasks: 2,
      dataCentres: number % 2 === 0 ? ["dc1", "dc2"] : ["dc2", "dc1"],
      command: ["run", "4000"],
    });
  }

  async #replaceLeader(simulation: DataCentreSimulation): Promise<void> {
    const old = simulation.group.leaderId ??
      simulation.instanceIds[0] as string;
    simulation.killInstance(old);
    await advanceTime(this.environment.clock, 1_600);
    simulation.instanceIds.find((id) => simulation.elect(id));
    simulation.startInstance(old);
  }

  #link(step: Extract<Step, { kind: "link" }>): void {
    if (!step.isCut) {
      this.environment.links.heal();
      return;
    }
    const from = this.simulation(step.from);
    const to = this.simulation(1 - step.from);
    for (const id of from.instanceIds) {
      to.instanceIds.forEach((other) => this.environment.links.cut(id, other));
    }
  }
}

test("a job runs in one data centre at a time and ends once", async (t) => {
  const property = fc.asyncProperty(
    fc.array(step, { maxLength: 40, size: "max" }),
    fc.nat(),
    async (steps, seed) => {
      const pair = new Pair(seed);
      await advanceTime(pair.environment.clock, 2_000);
      for (const each of steps) {
        await pair.run(each);
      }
      await pair.settle();
      const faults = pair.findViolations();
      if (faults.length > 0) {
        throw new Error(faults.join("; "));
      }
    },
  );
  const details = await fc.check(property, {
    numRuns: 80,
    seed: 31,
    endOnFailure: true,
    includeErrorInReport: true,
  });
  t.is(details.failed ? fc.defaultReportMessage(details) : "", "");
});
