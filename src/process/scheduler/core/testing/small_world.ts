/**
 * A world of two racks, and short cuts for tests in it.
 *
 * @module
 */

import type { Guarantee } from "../../../../version/document/document.ts";
import { type JobSpecification, jobSpecificationSchema } from "../job.ts";
import type { SchedulerDecision } from "../scheduler_decision.ts";
import { FakeExecutor } from "./fake_executor.ts";
import { makeDocument, makeWorkers } from "./test_document.ts";

const HARDWARE = { racks: 2, workersPerRack: 4, accelerators: 8 };
export const MINUTE_MS = 60_000;

export type Guarantees = Record<string, Omit<Guarantee, "dataCentre">[]>;

/** One shape that takes a whole rack. */
export const WHOLE_RACK = {
  racks: 1,
  workersPerRack: 4,
  acceleratorsPerWorker: 8,
  count: 1,
};

export function makeWorld(guarantees: Guarantees = { lakes: [], mills: [] }) {
  return new FakeExecutor({
    document: makeDocument({ ...HARDWARE, guarantees }),
    workers: makeWorkers(HARDWARE),
  });
}

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

export function ofKind<K extends SchedulerDecision["kind"]>(
  world: FakeExecutor,
  kind: K,
): Extract<SchedulerDecision, { kind: K }>[] {
  return world.decisions
    .filter((each): each is Extract<SchedulerDecision, { kind: K }> =>
      each.kind === kind
    );
}

export function run(world: FakeExecutor, byMs = 100): void {
  world.permit(10 * MINUTE_MS);
  world.tick(byMs);
  world.deliverAll();
}

export function fill(
  world: FakeExecutor,
  change: Partial<JobSpecification>,
): void {
  for (let at = 0; at < 8; at++) {
    world.submit(makeJob(`fill-${at}`, change));
  }
  run(world);
}

export function reasonOf(
  world: FakeExecutor,
  jobId: string,
): string | undefined {
  return world.core.jobView(jobId)?.waitReason;
}
