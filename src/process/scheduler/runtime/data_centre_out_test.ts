import test from "ava";
import { LeaderCore } from "../leader_core.ts";
import {
  DataCentreSimulation,
  type DataCentreSimulationOptions,
  makeEnvironment,
} from "./testing/data_centre_simulation.ts";

function makePair(options: Partial<DataCentreSimulationOptions> = {}) {
  const environment = makeEnvironment({ seed: 5, dataCentres: ["dc1", "dc2"] });
  const first = new DataCentreSimulation({ environment, ...options });
  const second = new DataCentreSimulation({
    environment,
    ...options,
    dataCentre: "dc2",
  });
  return { environment, first, second };
}

function takeOut(simulation: DataCentreSimulation): void {
  simulation.environment.configuration.setStatus(simulation.dataCentre, "out");
  simulation.history.recordRemoval(simulation.environment.clock.nowMs());
}

/** Takes a data centre out and puts it back in, over unreliable links. */
async function removeOverUnreliableLinks(
  options: Partial<DataCentreSimulationOptions> & {
    isCutOff: boolean;
    seed: number;
  },
): Promise<{ simulation: DataCentreSimulation; waiting: number }> {
  const environment = makeEnvironment({
    seed: options.seed,
    dataCentres: ["dc1"],
  });
  const simulation = new DataCentreSimulation({ environment, ...options });
  environment.links.conditions = {
    lostPerMille: 20,
    doubledPerMille: 200,
    latePerMille: 300,
    lateMs: 4_000,
    delayMs: 200,
  };
  await simulation.advance(4_000);
  for (let index = 0; index < 30; index++) {
    void simulation.submit({ jobId: `j${index}`, command: ["run", "700"] });
  }
  await simulation.advance(2_500);
  if (options.isCutOff) {
    simulation.instanceIds.forEach((id) =>
      simulation.instance(id).configurationCopy.cut()
    );
  }
  takeOut(simulation);
  await simulation.advance(60_000);
  const waiting = [...simulation.ledger.liveRecords()].length;
  simulation.history.recordRemoval(undefined);
  environment.configuration.setStatus("dc1", "in");
  simulation.instanceIds.forEach((id) =>
    simulation.instance(id).configurationCopy.heal()
  );
  await simulation.advance(60_000);
  return { simulation, waiting };
}

test("no task starts later than two seconds after a removal, even with configuration copies cut off", async (t) => {
  for (let seed = 1; seed <= 10; seed++) {
    const isCutOff = seed % 2 === 0;
    const { simulation, waiting } = await removeOverUnreliableLinks({
      seed,
      isCutOff,
    });
    t.deepEqual(simulation.history.violations, []);
    t.true(waiting > 0, "some jobs still wait");
    t.is([...simulation.ledger.liveRecords()].length, 0);
  }
});

const LATE_START_OMISSIONS: readonly Partial<DataCentreSimulationOptions>[] = [
  { omittedChecks: ["startValidity", "secondGate"] },
  { omittedFences: ["late"] },
];

for (const omitted of LATE_START_OMISSIONS) {
  test(`a late start is detected with ${JSON.stringify(omitted)}`, async (t) => {
    let violations = 0;
    for (let seed = 1; seed <= 20 && violations === 0; seed++) {
      const options = { ...omitted, seed, isCutOff: true };
      const { simulation } = await removeOverUnreliableLinks(options);
      violations = simulation.history.violations.length;
    }
    t.not(violations, 0);
  });
}

test("jobs of a removed data centre are checkpointed and run elsewhere", async (t) => {
  const { first, second } = makePair();
  await first.advance(2_000);
  for (let index = 0; index < 6; index++) {
    void first.submit({
      jobId: `j${index}`,
      tasks: 8,
      dataCentres: ["dc1", "dc2"],
      command: ["run", "8000"],
    });
  }
  await first.advance(3_000);
  takeOut(first);
  await first.advance(60_000);
  for (let index = 0; index < 6; index++) {
    const jobId = `j${index}`;
    const outcomes = [first, second]
      .map((simulation) => simulation.ledger.get(jobId)?.end?.outcome);
    t.deepEqual(outcomes, [undefined, "succeeded"]);
    const transferred = first.ledger.get(jobId);
    t.not(transferred?.transfer?.acceptedAtMs, undefined);
    t.true(
      (second.ledger.get(jobId)?.attemptsUsed ?? 0) >
        (transferred?.attemptsUsed ?? 0),
    );
  }
  t.deepEqual(first.history.violations, []);
  t.deepEqual(second.history.violations, []);
});

test("a submission to a removed data centre runs in one that is in", async (t) => {
  const { first, second } = makePair();
  takeOut(first);
  await first.advance(3_000);
  const job = { jobId: "j1", dataCentres: ["dc1", "dc2"] };
  const submitted = [first.submit(job), second.submit(job)];
  await first.advance(500);
  t.deepEqual(await Promise.all(submitted), [true, true]);
  await first.advance(10_000);
  t.is(first.history.starts("j1"), 0);
  t.is(second.history.starts("j1"), 1);
  const found = first.instance("dc1-1").runtime.findJob("j1");
  await first.advance(100);
  const { value, unaskedDataCentres } = (await found).unsafeCoerce();
  t.like(value, { dataCentre: "dc2", state: "ended" });
  t.deepEqual(unaskedDataCentres, []);
});

test("a job is transferred once, whichever answer or leader is lost", async (t) => {
  for (let stepMs = 0; stepMs <= 40; stepMs += 2) {
    const { environment, first, second } = makePair();
    await first.advance(2_000);
    takeOut(first);
    await first.advance(500); // Every copy says "out" now; nothing starts here.
    const job = { jobId: "j1", dataCentres: ["dc1", "dc2"] };
    const submitted = first.submit(job);
    await first.advance(250 + stepMs);
    // The answers of dc2 are lost for a while, and the leader of dc1 dies.
    for (const to of first.instanceIds) {
      second.instanceIds.forEach((from) => environment.links.cut(from, to));
    }
    const [leader, next] = first.instanceIds as [string, string];
    first.killInstance(leader);
    await first.advance(1_600);
    t.true(first.elect(next));
    await first.advance(8_000);
    environment.links.heal();
    await first.advance(15_000);
    t.true(await submitted);
    t.is(first.history.starts("j1") + second.history.starts("j1"), 1);
    t.is(second.ledger.get("j1")?.end?.outcome, "succeeded");
    t.not(first.ledger.get("j1")?.transfer?.acceptedAtMs, undefined);
  }
});

test("a cancellation follows a job that is transferred", async (t) => {
  for (let stepMs = 0; stepMs <= 30; stepMs += 3) {
    const { first, second } = makePair({ workers: 0 });
    await first.advance(2_000);
    takeOut(first);
    const job = { jobId: "j1", dataCentres: ["dc1", "dc2"] };
    void first.submit(job);
    await first.advance(8 + stepMs);
    const cancelled = first.cancel("j1");
    await first.advance(5_000);
    t.true(await cancelled);
    const ends = [first, second].map((simulation) =>
      simulation.ledger.get("j1")?.end
    );
    const outcomes = ends.flatMap((end) =>
      end === undefined ? [] : end.outcome
    );
    t.deepEqual(outcomes, ["cancelled"], `step ${stepMs}`);
  }
});

test("a job that isn't found names the data centres that did not answer", async (t) => {
  const { environment, first, second } = makePair();
  for (const to of second.instanceIds) {
    first.instanceIds.forEach((from) => environment.links.cut(from, to));
  }
  const found = first.instance("dc1-0").runtime.findJob("unknown");
  await first.advance(5_000);
  const error = (await found).swap().unsafeCoerce();
  t.is(error.kind, "unavailable");
  t.deepEqual(error.facts, { unaskedDataCentres: ["dc2"] });
});

test("a job that is transferred away and back runs under the real core", async (t) => {
  const environment = makeEnvironment({ seed: 6, dataCentres: ["dc1", "dc2"] });
  const [first, second] = ["dc1", "dc2"].map((dataCentre) =>
    new DataCentreSimulation({
      environment,
      dataCentre,
      createCore: () => new LeaderCore({ dataCentre }),
    })
  ) as [DataCentreSimulation, DataCentreSimulation];
  await first.advance(3_000);
  void first.submit({
    jobId: "j1",
    dataCentres: ["dc1", "dc2"],
    declaredRunMs: 60_000,
    command: ["run", "60000"],
  });
  await first.advance(5_000);
  t.true(first.history.isRunning("j1"));
  environment.configuration.setStatus("dc1", "out");
  await first.advance(30_000);
  t.true(second.history.isRunning("j1"));
  environment.configuration.setStatus("dc1", "in");
  await first.advance(1_000);
  environment.configuration.setStatus("dc2", "out");
  await first.advance(180_000);
  t.is(first.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(first.ledger.get("j1")?.transfers, 2);
  t.deepEqual(first.history.violations, []);
  t.deepEqual(second.history.violations, []);
});

test("a job is transferred to a data centre that can be reached", async (t) => {
  const dataCentres = ["dc1", "dc2", "dc3"];
  const environment = makeEnvironment({ seed: 8, dataCentres });
  const [first, second, third] = dataCentres
    .map((dataCentre) =>
      new DataCentreSimulation({ environment, dataCentre })
    ) as [
      DataCentreSimulation,
      DataCentreSimulation,
      DataCentreSimulation,
    ];
  for (const from of first.instanceIds) {
    second.instanceIds.forEach((to) => environment.links.cut(from, to));
  }
  takeOut(first);
  await first.advance(2_000);
  void first.submit({ jobId: "j1", dataCentres });
  await first.advance(10_000);
  t.is(second.ledger.get("j1"), undefined);
  t.is(third.ledger.get("j1")?.end?.outcome, "succeeded");
});

test("marking a job as transferred before the target has accepted it loses the job", async (t) => {
  const { environment, first, second } = makePair({
    omittedChecks: ["transferOnce"],
  });
  takeOut(first);
  await first.advance(2_000);
  void first.submit({ jobId: "j1", dataCentres: ["dc1", "dc2"] });
  // The target answers the query, but the job itself is lost on its way.
  let transfer = first.ledger.get("j1")?.transfer;
  while (transfer === undefined) {
    await first.advance(1);
    transfer = first.ledger.get("j1")?.transfer;
  }
  for (const from of first.instanceIds) {
    second.instanceIds.forEach((to) => environment.links.cut(from, to));
  }
  await first.advance(10_000);
  environment.links.heal();
  await first.advance(20_000);
  t.not(first.ledger.get("j1")?.transfer?.acceptedAtMs, undefined);
  t.is(second.ledger.get("j1"), undefined);
});

test("a submission is `unavailable` only if it wasn't accepted", async (t) => {
  for (const isReceived of [true, false]) {
    const { environment, first, second } = makePair();
    await first.advance(1_000);
    for (const caller of first.instanceIds) {
      for (const target of second.instanceIds) {
        const [from, to] = isReceived ? [target, caller] : [caller, target];
        environment.links.cut(from, to);
      }
    }
    const { runtime } = first.instance("dc1-0");
    const submitted = runtime.submit(first.specify({
      jobId: "j1",
      dataCentres: ["dc2"],
    }));
    await first.advance(10_000);
    const error = (await submitted).swap().unsafeCoerce();
    t.is(error.kind, isReceived ? "outcomeUnknown" : "unavailable");
    t.is(second.ledger.get("j1") !== undefined, isReceived);
  }
});
