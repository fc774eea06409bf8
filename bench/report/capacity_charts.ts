/**
 * Charts of the results in docs/report/capacity.json.
 *
 * @module
 */

import * as z from "zod";
import type { ChartOptions, ChartRow } from "./chart.ts";

const seriesSchema = z.object({
  points: z.array(z.object({ size: z.number(), value: z.number() })),
});

const numbersSchema = z.record(z.string(), z.number());

/** The fields of the results that are drawn. */
export const capacitySchema = z.object({
  schedulerHeap: z.record(z.string(), seriesSchema),
  otherHeap: z.record(z.string(), seriesSchema),
  schedulerDecisions: z.array(z.object({
    workers: z.number(),
    microseconds: z.record(z.string(), numbersSchema),
  })),
  workerTraffic: z.object({ points: z.array(numbersSchema) }),
  runtime: z.object({ residentBytes: z.number() }),
  daemon: z.object({ residentBytes: z.number() }),
});

/** The results that are drawn. */
export type CapacityFigures = z.infer<typeof capacitySchema>;

const BUDGET = { memoryMegabytes: 32, kilobytesPerSecond: 15 };
const RENEWALS_PER_SECOND = 0.5;
/** One report in five contains the tasks' resource usage. */
const USAGES_FRACTION = 0.2;
const MEGABYTE = 1_000_000;
const WORKER_COUNTS = [18, 36, 72, 144];

/** The charts by file name, without extension. */
export function capacityCharts(
  figures: CapacityFigures,
): Record<string, ChartOptions> {
  return {
    decision_time: decisionTimeChart(figures),
    task_heap: heapChart(figures),
    worker_bytes: workerTrafficChart(figures),
    resident: residentMemory(figures),
  };
}

function decisionTimeChart(
  { schedulerDecisions }: CapacityFigures,
): ChartOptions {
  const kinds = ["clockTicked", "workerLost"];
  return {
    title: "Decision time of the scheduler core, full data centre",
    xTitle: "workers",
    yTitle: "milliseconds",
    kind: "line",
    rows: schedulerDecisions.flatMap(({ workers, microseconds }) =>
      kinds.flatMap((kind) =>
        ["p50", "p99"].map((quantile) => ({
          series: `${kind} ${quantile}`,
          x: workers,
          y: (microseconds[kind]?.[quantile] ?? 0) / 1_000,
        }))
      )
    ),
  };
}

function heapChart({ schedulerHeap }: CapacityFigures): ChartOptions {
  return {
    title: "Heap of the scheduler core, one part growing at a time",
    xTitle: "how many",
    yTitle: "MB",
    kind: "line",
    rows: Object.entries(schedulerHeap).flatMap(([name, { points }]) =>
      points.map(({ size, value }) => ({
        series: HEAP_NAMES[name] ?? name,
        x: size,
        y: value / MEGABYTE,
      }))
    ),
  };
}

const HEAP_NAMES: Readonly<Record<string, string>> = {
  perWorker: "workers",
  perWaitingJob: "waiting jobs of 8 tasks",
  perRunningTask: "running tasks, 720 workers",
  perClientAccount: "client accounts, 720 workers",
};

/** Traffic of a data centre's leader with all workers. */
function workerTrafficChart({ workerTraffic }: CapacityFigures): ChartOptions {
  const rows = workerTraffic.points.flatMap((point) =>
    WORKER_COUNTS.map((workers): ChartRow => ({
      series: `${point["tasks"]} tasks a worker`,
      x: workers,
      y: workers * leaderBytes(point) / 1_000,
    }))
  );
  return {
    title: "Worker reports and renewals, both ways, at the leader",
    xTitle: "workers of one data centre",
    yTitle: "kB a second",
    kind: "line",
    rows,
    limit: { y: BUDGET.kilobytesPerSecond, name: "15 kB/s" },
  };
}

/** Bytes per second of one worker with its leader, at one report a second. */
function leaderBytes(point: Readonly<Record<string, number>>): number {
  const { renewalSentBytes = 0, renewalReceivedBytes = 0 } = point;
  const { reportBytes = 0, reportWithUsagesBytes = 0 } = point;
  return reportBytes +
    USAGES_FRACTION * (reportWithUsagesBytes - reportBytes) +
    RENEWALS_PER_SECOND * (renewalSentBytes + renewalReceivedBytes);
}

function residentMemory({ runtime, daemon }: CapacityFigures): ChartOptions {
  return {
    title: "Resident memory",
    xTitle: "process",
    yTitle: "MB",
    kind: "bar",
    rows: [
      { series: "resident", x: "Node alone", y: megabytes(runtime) },
      { series: "resident", x: "idle daemon", y: megabytes(daemon) },
    ],
    limit: { y: BUDGET.memoryMegabytes, name: "32 MB" },
  };
}

function megabytes({ residentBytes }: { residentBytes: number }): number {
  return residentBytes / MEGABYTE;
}
