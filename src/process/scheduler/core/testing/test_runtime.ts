/**
 * Helpers for tests with a simulated data centre of two racks.
 *
 * @module
 */

import type { Guarantee } from "../../../../version/document/document.ts";
import { type JobSpecification, jobSpecificationSchema } from "../job.ts";
import type { SchedulerDecision } from "../scheduler_decision.ts";
import { FakeRuntime } from "./fake_runtime.ts";
import { makeDocument, makeWorkers } from "./test_document.ts";

const HARDWARE = { racks: 2, workersPerRack: 4, accelerators: 8 };
export const MINUTE_MS = 60_000;

export type Guarantees = Record<string, Omit<Guarantee, "dataCentre">[]>;

/** One guaranteed shape that takes a whole rack. */
export const WHOLE_RACK = {
  racks: 1,
  workersPerRack: 4,
  acceleratorsPerWorker: 8,
  count: 1,
};

export function makeRuntime(guarantees: Guarantees = { lakes: [], mills: [] }) {
  return new FakeRuntime({
    document: makeDocument({ ...HARDWARE, guarantees }),
    workers: makeWorkers(HARDWARE),
  });
}

/** A job of one task that takes all accelerators of a worker. */
export function makeJob(
  jobId: string,
  change: Partial<JobSpecification> = {},
): JobSpecification {
  return jobSpecificationSchema.parse({
    jobId,
    clientAccount: "lakes",
    jobClass: "overnight",
    tasks: 1,
    resources: { cores: 1, memoryBytes: 100, accelerators: 8 },
    declaredRunMs: 10 * MINUTE_MS,
    ...change,
  });
}

export function decisionsOfKind<K extends SchedulerDecision["kind"]>(
  runtime: FakeRuntime,
  kind: K,
): Extract<SchedulerDecision, { kind: K }>[] {
  return runtime.decisions
    .filter((each): each is Extract<SchedulerDecision, { kind: K }> =>
      each.kind === kind
    );
}

/** Extends the start permission, ticks, and carries out all decisions. */
export function advance(runtime: FakeRuntime, byMs = 100): void {
  runtime.permit(10 * MINUTE_MS);
  runtime.tick(byMs);
  runtime.deliverAll();
}

/** Submits `fill-0` to `fill-7`, one job for each worker. */
export function fillWorkers(
  runtime: FakeRuntime,
  change: Partial<JobSpecification>,
): void {
  for (let index = 0; index < 8; index++) {
    runtime.submit(makeJob(`fill-${index}`, change));
  }
  advance(runtime);
}

export function waitReasonOf(
  runtime: FakeRuntime,
  jobId: string,
): string | undefined {
  return runtime.core.jobView(jobId)?.waitReason;
}
