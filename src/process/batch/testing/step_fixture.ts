/**
 * Specifications of steps for tests.
 *
 * @module
 */

import type { StepSpec } from "../job_spec.ts";

/** A step of one short task on one accelerator, with overrides. */
export function stepSpec(overrides: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 1,
    demand: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 1 },
    estimateMs: 2_000,
    afterSteps: [],
    isCheckpointing: false,
    isGang: false,
    prefersOneRack: false,
    isLasting: false,
    requiredLabel: undefined,
    dataRack: undefined,
    tasksPerWorkerLimit: undefined,
    ...overrides,
  };
}
