import test, { type ExecutionContext } from "ava";
import { LEASE_DEFAULTS } from "./lease_rule.ts";
import {
  DataCentreSimulation,
  type DataCentreSimulationOptions,
  makeEnvironment,
} from "./testing/data_centre_simulation.ts";

/** How long a gang may run partially: a lease, plus the permitted drift. */
const PARTIAL_LIMIT_MS = LEASE_DEFAULTS.leaseMs *
  (1 + LEASE_DEFAULTS.clockDriftFraction);

function makeSimulation(
  options: Partial<DataCentreSimulationOptions> = {},
  seed = 11,
): DataCentreSimulation {
  const environment = makeEnvironment({ seed, dataCentres: ["dc1"] });
  return new DataCentreSimulation({ environment, ...options });
}

/** Checks what actually ran on the workers against the safety rules. */
function checkHistory(
  t: ExecutionContext,
  simulation: DataCentreSimulation,
  label = "",
): void {
  t.deepEqual(simulation.history.violations, [], label);
  const tasksOf = (jobId: string) =>
    simulation.ledger.get(jobId)?.specification.tasks ?? 1;
  const partialMs = simulation.history.longestPartialMs(tasksOf);
  t.true(partialMs <= PARTIAL_LIMIT_MS, `${label}: partial ${partialMs} ms`);
}

for (const fault of ["dies", "is partitioned"] as const) {
  test(`a leader that ${fault} at any step of a start loses no job`, async (t) => {
    for (let stepMs = 0; stepMs <= 24; stepMs++) {
      const simulation = makeSimulation({}, stepMs + 1);
      await simulation.advance(2_000);
      const submitted = simulation.submit({ jobId: "j1", tasks: 4 });
      await simulation.advance(stepMs);
      const [leader, next] = simulation.instanceIds as [string, string];
      if (fault === "dies") {
        simulation.killInstance(leader);
      } else {
        simulation.group.partition(leader);
      }
      await simulation.advance(1_600);
      t.true(simulation.elect(next));
      await simulation.advance(4_000);
      const isAccepted = simulation.ledger.get("j1") !== undefined;
      t.true(isAccepted || stepMs < 10);
      await simulation.advance(26_000);
      checkHistory(t, simulation, `step ${stepMs}`);
      const outcome = simulation.ledger.get("j1")?.end?.outcome;
      t.is(outcome, isAccepted ? "succeeded" : undefined, `step ${stepMs}`);
      void submitted;
    }
  });
}

test("a cancellation at any step of a start ends the job", async (t) => {
  for (let stepMs = 0; stepMs <= 30; stepMs += 1) {
    const simulation = makeSimulation({}, stepMs + 1);
    await simulation.advance(2_000);
    const submitted = simulation.submit({
      jobId: "j1",
      tasks: 4,
      command: ["run", "60000"],
    });
    await simulation.advance(8);
    t.true(await submitted);
    await simulation.advance(stepMs);
    const cancelled = simulation.cancel("j1");
    await simulation.advance(3_000);
    t.true(await cancelled);
    t.is(
      simulation.ledger.get("j1")?.end?.outcome,
      "cancelled",
      `step ${stepMs}`,
    );
    t.false(simulation.history.isRunning("j1"));
    checkHistory(t, simulation, `step ${stepMs}`);
  }
});

test("an intact gang keeps running through a change of leader", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  const command = ["run", "120000"];
  void simulation.submit({ jobId: "j1", tasks: 6, command });
  await simulation.advance(3_000);
  const [leader, next] = simulation.instanceIds as [string, string];
  simulation.group.partition(leader);
  await simulation.advance(1_600);
  t.true(simulation.elect(next));
  await simulation.advance(180_000);
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(simulation.history.starts("j1"), 6);
  checkHistory(t, simulation);
});

test("a former leader that returns from a partition starts nothing", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 4, command: ["run", "30000"] });
  await simulation.advance(2_000);
  const [leader, next] = simulation.instanceIds as [string, string];
  simulation.group.partition(leader);
  simulation.instance(leader).configurationCopy.cut();
  for (const peer of simulation.instanceIds) {
    simulation.environment.links.cut(leader, peer);
    simulation.environment.links.cut(peer, leader);
  }
  await simulation.advance(1_600);
  t.true(simulation.elect(next));
  await simulation.advance(240_000);
  simulation.group.heal(leader);
  simulation.instance(leader).configurationCopy.heal();
  simulation.environment.links.heal();
  const submitted = simulation.submit({ jobId: "j2", tasks: 4 });
  await simulation.advance(10_000);
  t.true(await submitted);
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(simulation.ledger.get("j2")?.end?.outcome, "succeeded");
  t.is(simulation.history.starts("j1"), 4);
  checkHistory(t, simulation);
});

test("jobs survive the restart of every instance, one by one", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  for (let index = 0; index < 8; index++) {
    void simulation.submit({
      jobId: `j${index}`,
      tasks: 8,
      command: ["run", "20000"],
    });
  }
  await simulation.advance(5_000);
  for (const id of simulation.instanceIds) {
    const other = simulation.instanceIds.find((each) => each !== id) as string;
    simulation.killInstance(id);
    await simulation.advance(1_600);
    simulation.elect(other);
    await simulation.advance(5_000);
    simulation.startInstance(id);
    await simulation.advance(5_000);
  }
  await simulation.advance(120_000);
  for (let index = 0; index < 8; index++) {
    t.is(simulation.ledger.get(`j${index}`)?.end?.outcome, "succeeded");
  }
  checkHistory(t, simulation);
});

test("a new leader waits for a silent worker of an open attempt", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 4, command: ["run", "300000"] });
  await simulation.advance(3_000);
  const [leader, next] = simulation.instanceIds as [string, string];
  for (const id of simulation.instanceIds) {
    simulation.environment.links.cut(id, "w1");
  }
  simulation.group.partition(leader);
  await simulation.advance(1_600);
  t.true(simulation.elect(next));
  await simulation.advance(8_000);
  t.false(simulation.instance(next).runtime.isScheduling);
  t.is(simulation.history.starts("j1"), 4);
  await simulation.advance(6_000);
  t.true(simulation.instance(next).runtime.isScheduling);
  simulation.environment.links.heal();
  await simulation.advance(20_000);
  t.is(simulation.history.starts("j1"), 8);
  checkHistory(t, simulation);
});

test("a leader that doesn't wait for silent workers is detected", async (t) => {
  const simulation = makeSimulation({
    omittedChecks: ["recoveryWait", "lapseWait"],
  });
  await simulation.advance(2_000);
  void simulation.submit({ jobId: "j1", tasks: 3, command: ["run", "300000"] });
  await simulation.advance(3_000);
  const [leader, next] = simulation.instanceIds as [string, string];
  for (const id of simulation.instanceIds) {
    simulation.environment.links.cut(id, "w1");
    simulation.environment.links.cut("w1", id);
  }
  simulation.group.partition(leader);
  await simulation.advance(1_600);
  t.true(simulation.elect(next));
  await simulation.advance(6_000);
  t.not(simulation.history.violations.length, 0);
});
