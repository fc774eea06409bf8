/**
 * Charts of the results in docs/report/policy.jsonl, the output of
 * bench/scheduler/policy_bench.ts: one line per policy.
 *
 * @module
 */

import * as z from "zod";
import type { ChartOptions } from "./chart.ts";

const distributionsSchema = z.record(
  z.string(),
  z.object({ p50: z.number(), p95: z.number() }),
);

/** The fields of the results that are drawn. */
export const policySchema = z.array(z.object({
  policy: z.string(),
  size: z.string(),
  load: z.string(),
  seed: z.string(),
  startSeconds: distributionsSchema,
  gangWaitSeconds: distributionsSchema,
  doneAcceleratorHours: z.number(),
  lostByPreemptionAcceleratorHours: z.number(),
  lostByFailureAcceleratorHours: z.number(),
}));

/** The results that are drawn. */
export type PolicyFigures = z.infer<typeof policySchema>;

/** The charts by file name, without extension. */
export function policyCharts(
  figures: PolicyFigures,
): Record<string, ChartOptions> {
  const [first] = figures;
  const run = first === undefined
    ? ""
    : `${first.size}, load ${first.load}, seed ${first.seed}`;
  return {
    policy_work: {
      title: `Accelerator-hours: ${run}`,
      xTitle: "policy",
      yTitle: "accelerator-hours",
      kind: "bar",
      rows: figures.flatMap(workRows),
    },
    policy_waits: {
      title: `Waits until the start, 95th percentile: ${run}`,
      xTitle: "policy",
      yTitle: "seconds",
      kind: "bar",
      rows: figures.flatMap(waitRows),
    },
  };
}

function workRows(figures: PolicyFigures[number]) {
  const x = figures.policy;
  return [
    { series: "done", x, y: figures.doneAcceleratorHours },
    {
      series: "lost by preemption",
      x,
      y: figures.lostByPreemptionAcceleratorHours,
    },
    { series: "lost by failure", x, y: figures.lostByFailureAcceleratorHours },
  ];
}

function waitRows(figures: PolicyFigures[number]) {
  const waits = { ...figures.startSeconds, ...figures.gangWaitSeconds };
  return Object.entries(waits).map(([series, { p95 }]) => ({
    series,
    x: figures.policy,
    y: p95,
  }));
}
