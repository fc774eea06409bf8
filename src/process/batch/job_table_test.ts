import test from "ava";
import { decideAdmission } from "./decisions/admission.ts";
import { PlannerFixture } from "./decisions/planner_fixture.ts";
import { RunEnd } from "./batch_command.ts";
import { BatchState } from "./batch_state.ts";
import {
  findSpecFault,
  type JobSpec,
  LABEL_LENGTH_LIMIT,
  PAYLOAD_LENGTH_LIMIT,
  specBytes,
} from "./job_spec.ts";
import { stepSpec } from "./testing/step_fixture.ts";

function specOf(
  step: Parameters<typeof stepSpec>[0],
  payload = "",
): JobSpec {
  return { payload, steps: [stepSpec(step)], recurrence: undefined };
}

function decideWith(
  { state, nowMs }: PlannerFixture,
  options: Parameters<typeof decideAdmission>[1],
) {
  const queue = state.inForce!.index.queueNamed("urgent")!;
  const submission = { queue, account: undefined, spec: specOf({}) };
  return decideAdmission({ state, nowMs, ...submission }, options);
}

// Guards against jobs of a legal size that the replicated state can't hold: 400
// with a rack of 200 kB took a core's process to 549 MB.
test("a job with long texts or many dependencies is invalid", (t) => {
  const long = "x".repeat(LABEL_LENGTH_LIMIT + 1);
  t.regex(findSpecFault(specOf({ dataRack: long }))!, /step 0 names a label/);
  t.regex(findSpecFault(specOf({ requiredLabel: long }))!, /names a label/);
  t.regex(
    findSpecFault(specOf({}, "x".repeat(PAYLOAD_LENGTH_LIMIT + 1)))!,
    /payload is longer/,
  );
  const steps = [stepSpec({}), stepSpec({ afterSteps: Array(65).fill(0) })];
  const spec = { payload: "", steps, recurrence: undefined };
  t.regex(findSpecFault(spec)!, /depends on more than 64/);
  t.is(findSpecFault(specOf({ dataRack: long.slice(1) }, "text")), undefined);
});

test("jobs are refused while the specifications of all jobs take too much memory", (t) => {
  const fixture = new PlannerFixture({ workers: 2 });
  const limitBytes = 2 * specBytes(specOf({}));
  t.is(decideWith(fixture, { specBytesLimit: limitBytes }).kind, "accept");
  fixture.submit("a", {});
  t.is(decideWith(fixture, { specBytesLimit: limitBytes }).kind, "accept");
  fixture.submit("b", {});
  t.like(decideWith(fixture, { specBytesLimit: limitBytes }), {
    kind: "refuse",
    reason: "queueFull",
  });
});

// Guards against planning passes that take seconds: 64,000 steps took 1.9 s.
test("jobs are refused while the active jobs have too many steps", (t) => {
  const fixture = new PlannerFixture({ workers: 2 });
  fixture.submitSteps("a", [{}, {}, {}]);
  t.is(decideWith(fixture, { activeStepsLimit: 4 }).kind, "accept");
  t.like(decideWith(fixture, { activeStepsLimit: 3 }), {
    kind: "refuse",
    reason: "queueFull",
  });
});

// Guards against ended jobs that keep what only starts need.
test("an ended job keeps no texts, and a forgotten one takes no memory", (t) => {
  const fixture = new PlannerFixture({ workers: 1 });
  fixture.submit("a", { dataRack: "rack-of-the-data" });
  const { state } = fixture;
  const acceptedBytes = state.jobSpecBytes;
  fixture.applyStarts(fixture.plan());
  fixture.endTask(
    { jobId: "a", occurrence: 0, step: 0, index: 0 },
    RunEnd.done,
  );
  const job = state.jobs.get("a")!;
  t.is(job.phase, "completed");
  t.is(job.spec.steps[0]!.dataRack, undefined);
  t.is(state.jobSpecBytes, acceptedBytes - "rack-of-the-data".length);
  const restored = new BatchState();
  restored.restore(state.snapshot()).unsafeCoerce();
  t.is(restored.jobSpecBytes, state.jobSpecBytes);
  state.apply({
    kind: "batch",
    epoch: state.epoch,
    atMs: fixture.nowMs,
    items: [{ kind: "forget", jobIds: ["a"] }],
  });
  t.is(state.jobSpecBytes, 0);
});
