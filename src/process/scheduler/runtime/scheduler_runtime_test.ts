import test from "ava";
import { jobSpecificationSchema } from "../core/mod.ts";
import { makeWorld, TestBed } from "./testing/test_bed.ts";

function makeBed(
  options: Partial<ConstructorParameters<typeof TestBed>[0]> = {},
): TestBed {
  const world = makeWorld({ seed: 7, dataCentres: ["dc1"] });
  return new TestBed({ world, ...options });
}

test("a gang starts all its tasks, ends, and ends its job", async (t) => {
  const bed = makeBed();
  await bed.pass(2_000);
  const submitted = bed.submit({ jobId: "j1", tasks: 4 });
  await bed.pass(500);
  t.true(await submitted);
  t.is(bed.history.starts("j1"), 4);
  t.is(bed.ledger.get("j1")?.openAttempt?.placements.length, 4);
  await bed.pass(5_000);
  t.is(bed.ledger.get("j1")?.end?.outcome, "succeeded");
  t.is(bed.ledger.get("j1")?.openAttempt, undefined);
  t.is(bed.history.starts("j1"), 4);
  t.deepEqual(bed.history.violations, []);
  t.true(
    [...bed.workers.values()].every((worker) =>
      worker.tasks?.report("10.0.0.1:1").tasks.length === 0
    ),
  );
});

test("every instance finds a job and its wait reason", async (t) => {
  const bed = makeBed({ workers: 0 });
  await bed.pass(1_000);
  const submitted = bed.submit({ jobId: "j1" });
  await bed.pass(500);
  t.true(await submitted);
  for (const id of bed.instanceIds) {
    const found = bed.instance(id).runtime.findJob("j1");
    await bed.pass(100);
    const job = (await found).unsafeCoerce().value;
    t.is(job.state, "queued");
    t.is(job.waitReason, "capacity");
  }
});

test("a repeated submission runs once, one with other content is refused", async (t) => {
  const bed = makeBed();
  await bed.pass(1_000);
  const runs = [
    bed.submit({ jobId: "j1" }),
    bed.submit({ jobId: "j1" }),
    bed.submit({ jobId: "j1", tasks: 2 }),
  ];
  await bed.pass(9_000);
  t.deepEqual(await Promise.all(runs), [true, true, false]);
  t.is(bed.history.starts("j1"), 1);
});

test("a job that fits no declared hardware is refused immediately", async (t) => {
  const bed = makeBed();
  await bed.pass(1_000);
  const id = bed.instanceIds[0] ?? "";
  const refused = bed.instance(id).runtime.submit(jobSpecificationSchema.parse({
    jobId: "huge",
    clientAccount: "lab",
    jobClass: "batch",
    tasks: 64,
    resources: { cores: 1, memoryBytes: 1, accelerators: 64 },
    adjacency: "worker",
    declaredRunMs: 1_000,
  }));
  await bed.pass(2_000);
  const error = (await refused).swap().toMaybe().extract();
  t.is(error?.kind, "neverFits");
  const found = bed.instance(id).runtime.findJob("huge");
  await bed.pass(2_000);
  t.is((await found).swap().toMaybe().extract()?.kind, "notFound");
});
