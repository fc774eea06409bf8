import test from "ava";
import { jobSpecificationSchema } from "../core/mod.ts";
import {
  DataCentreSimulation,
  makeEnvironment,
} from "./testing/data_centre_simulation.ts";

function makeSimulation(
  options: Partial<ConstructorParameters<typeof DataCentreSimulation>[0]> = {},
): DataCentreSimulation {
  const environment = makeEnvironment({ seed: 7, dataCentres: ["dc1"] });
  return new DataCentreSimulation({ environment, ...options });
}

test("a gang starts all its tasks, ends, and ends its job", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(2_000);
  const submitted = simulation.submit({ jobId: "j1", tasks: 4 });
  await simulation.advance(500);
  t.true(await submitted);
  t.is(simulation.history.starts("j1"), 4);
  t.is(simulation.ledger.get("j1")?.openAttempt?.placements.length, 4);
  await simulation.advance(5_000);
  t.is(simulation.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(simulation.ledger.get("j1")?.openAttempt, undefined);
  t.is(simulation.history.starts("j1"), 4);
  t.deepEqual(simulation.history.violations, []);
  t.true(
    [...simulation.workers.values()].every((worker) =>
      worker.tasks?.report("10.0.0.1:1").tasks.length === 0
    ),
  );
});

test("every instance finds a job and its wait reason", async (t) => {
  const simulation = makeSimulation({ workers: 0 });
  await simulation.advance(1_000);
  const submitted = simulation.submit({ jobId: "j1" });
  await simulation.advance(500);
  t.true(await submitted);
  for (const id of simulation.instanceIds) {
    const found = simulation.instance(id).runtime.findJob("j1");
    await simulation.advance(100);
    const job = (await found).unsafeCoerce().value;
    t.is(job.state, "queued");
    t.is(job.waitReason, "capacity");
  }
});

test("a repeated submission runs once, one with other content is refused", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(1_000);
  const runs = [
    simulation.submit({ jobId: "j1" }),
    simulation.submit({ jobId: "j1" }),
    simulation.submit({ jobId: "j1", tasks: 2 }),
  ];
  await simulation.advance(9_000);
  t.deepEqual(await Promise.all(runs), [true, true, false]);
  t.is(simulation.history.starts("j1"), 1);
});

test("a job that fits no declared hardware is refused immediately", async (t) => {
  const simulation = makeSimulation();
  await simulation.advance(1_000);
  const id = simulation.instanceIds[0] ?? "";
  const refused = simulation.instance(id).runtime.submit(
    jobSpecificationSchema.parse({
      jobId: "huge",
      clientAccount: "lab",
      jobClass: "batch",
      tasks: 64,
      resources: { cores: 1, memoryBytes: 1, accelerators: 64 },
      adjacency: "worker",
      declaredRunMs: 1_000,
    }),
  );
  await simulation.advance(2_000);
  const error = (await refused).swap().toMaybe().extract();
  t.is(error?.kind, "neverFits");
  const found = simulation.instance(id).runtime.findJob("huge");
  await simulation.advance(2_000);
  t.is((await found).swap().toMaybe().extract()?.kind, "notFound");
});
