/**
 * Fuzzing of two data centres that transfer jobs to each other while messages
 * are lost, leaders change and data centres are taken out.
 */

import test from "ava";
import fc from "fast-check";
import { RunHistory } from "./testing/run_history.ts";
import { makeWorld, passTime, TestBed } from "./testing/test_bed.ts";

const DATA_CENTRES = ["dc1", "dc2"];

const STORM = {
  lostPerMille: 100,
  doubledPerMille: 200,
  latePerMille: 150,
  lateMs: 5_000,
  delayMs: 30,
};

const at = fc.nat({ max: 1 });

const step = fc.oneof(
  fc.record({ kind: fc.constant("submit" as const), at, resend: fc.boolean() }),
  fc.record({
    kind: fc.constant("cancel" as const),
    at,
    job: fc.nat({ max: 5 }),
  }),
  fc.record({
    kind: fc.constant("status" as const),
    at,
    status: fc.constantFrom("in" as const, "out" as const),
  }),
  fc.record({ kind: fc.constant("newLeader" as const), at }),
  fc.record({
    kind: fc.constant("link" as const),
    from: at,
    isCut: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("pass" as const),
    byMs: fc.integer({ min: 1, max: 5_000 }),
  }),
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

class Pair {
  readonly world: ReturnType<typeof makeWorld>;
  readonly history = new RunHistory();
  readonly beds: readonly TestBed[];
  #submitted = 0;

  constructor(seed: number) {
    this.world = makeWorld({ seed, dataCentres: DATA_CENTRES });
    this.beds = DATA_CENTRES.map((dataCentre, index) =>
      new TestBed({
        world: this.world,
        dataCentre,
        firstWorker: 1 + 10 * index,
        history: this.history,
        lostAnswersPerMille: 50,
      })
    );
    this.world.links.weather = STORM;
  }

  bed(index: number): TestBed {
    return this.beds[index] as TestBed;
  }

  async run(step: Step): Promise<void> {
    switch (step.kind) {
      case "submit":
        this.#submit(step);
        return;
      case "cancel":
        void this.bed(step.at).cancel(`j${step.job}`);
        return;
      case "status":
        this.world.configuration
          .setStatus(this.bed(step.at).dataCentre, step.status);
        return;
      case "newLeader":
        await this.#replaceLeader(this.bed(step.at));
        return;
      case "link":
        this.#link(step);
        return;
      case "pass":
        await passTime(this.world.clock, step.byMs);
        return;
    }
  }

  /** Ends all faults and lets everything finish. */
  async settle(): Promise<void> {
    this.world.links.heal();
    this.world.links.weather = { ...STORM, lostPerMille: 0, latePerMille: 0 };
    for (const bed of this.beds) {
      this.world.configuration.setStatus(bed.dataCentre, "in");
      bed.instanceIds.forEach((id) => bed.startInstance(id));
      bed.elect(bed.instanceIds[0] ?? "");
    }
    await passTime(this.world.clock, 120_000);
  }

  /** Every violation, as text. */
  findFaults(): string[] {
    const faults = [...this.history.violations];
    for (let job = 0; job < this.#submitted; job++) {
      const records = this.beds
        .flatMap((bed) => bed.ledger.get(`j${job}`) ?? []);
      const ends = records.filter((record) => record.end !== undefined);
      const isLive = records.length > ends.length && ends.length === 0;
      if (isLive || ends.length > 1) {
        faults.push(`j${job} ended ${ends.length} times`);
      }
    }
    return faults;
  }

  #submit(step: Extract<Step, { kind: "submit" }>): void {
    const isResend = step.resend && this.#submitted > 0;
    const number = isResend ? this.#submitted - 1 : this.#submitted++;
    void this.bed(step.at).submit({
      jobId: `j${number}`,
      tasks: 2,
      dataCentres: number % 2 === 0 ? ["dc1", "dc2"] : ["dc2", "dc1"],
      command: ["run", "4000"],
    });
  }

  async #replaceLeader(bed: TestBed): Promise<void> {
    const old = bed.group.leaderId ?? bed.instanceIds[0] as string;
    bed.killInstance(old);
    await passTime(this.world.clock, 1_600);
    bed.instanceIds.find((id) => bed.elect(id));
    bed.startInstance(old);
  }

  #link(step: Extract<Step, { kind: "link" }>): void {
    if (!step.isCut) {
      this.world.links.heal();
      return;
    }
    const from = this.bed(step.from);
    const to = this.bed(1 - step.from);
    for (const id of from.instanceIds) {
      to.instanceIds.forEach((other) => this.world.links.cut(id, other));
    }
  }
}

test("a job runs in one data centre at a time and ends once", async (t) => {
  const property = fc.asyncProperty(
    fc.array(step, { maxLength: 40, size: "max" }),
    fc.nat(),
    async (steps, seed) => {
      const pair = new Pair(seed);
      await passTime(pair.world.clock, 2_000);
      for (const each of steps) {
        await pair.run(each);
      }
      await pair.settle();
      const faults = pair.findFaults();
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
