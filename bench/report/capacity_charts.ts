/**
 * The charts of docs/report/capacity.json.
 *
 * @module
 */

import * as z from "zod";
import type { ChartOptions, ChartRow } from "./chart.ts";

const seriesSchema = z.object({
  points: z.array(z.object({ size: z.number(), value: z.number() })),
});

const times = z.record(z.string(), z.number());

/** The part of the results that is drawn. */
export const capacitySchema = z.object({
  schedulerHeap: z.record(z.string(), seriesSchema),
  otherHeap: z.record(z.string(), seriesSchema),
  schedulerDecisions: z.array(z.object({
    workers: z.number(),
    microseconds: z.record(z.string(), times),
  })),
  workerTraffic: z.object({ points: z.array(times) }),
  runtime: z.object({ residentBytes: z.number() }),
  daemon: z.object({ residentBytes: z.number() }),
});

/** The results that are drawn. */
export type CapacityFigures = z.infer<typeof capacitySchema>;

const BUDGET = { memoryMegabytes: 32, kilobytesPerSecond: 15 };
const RENEWALS_PER_SECOND = 0.5;
/** One report in five says what tasks use. */
const USAGES_FRACTION = 0.2;
const MEGABYTE = 1_000_000;
const WORKER_COUNTS = [18, 36, 72, 144];

/** Each chart by the name of its file. */
export function capacityCharts(
  figures: CapacityFigures,
): Record<string, ChartOptions> {
  return {
    decision_time: decisionTime(figures),
    task_heap: taskHeap(figures),
    worker_bytes: workerBytes(figures),
    resident: resident(figures),
  };
}

function decisionTime({ schedulerDecisions }: CapacityFigures): ChartOptions {
  const kinds = ["clockTicked", "workerLost"];
  return {
    title: "Decision time of the scheduler core, full data centre",
    xTitle: "workers",
    yTitle: "milliseconds",
    kind: "line",
    rows: schedulerDecisions.flatMap(({ workers, microseconds }) =>
      kinds.flatMap((kind) =>
        ["p50", "p99"].map((part) => ({
          series: `${kind} ${part}`,
          x: workers,
          y: (microseconds[kind]?.[part] ?? 0) / 1_000,
        }))
      )
    ),
  };
}

function taskHeap({ schedulerHeap }: CapacityFigures): ChartOptions {
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

/** Reports and renewals of a whole data centre at its leader. */
function workerBytes({ workerTraffic }: CapacityFigures): ChartOptions {
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

/** Bytes a second of one worker at its leader. */
function leaderBytes(point: Readonly<Record<string, number>>): number {
  const { renewalSentBytes = 0, renewalReceivedBytes = 0 } = point;
  const { reportBytes = 0, reportWithUsagesBytes = 0 } = point;
  return reportBytes +
    USAGES_FRACTION * (reportWithUsagesBytes - reportBytes) +
    RENEWALS_PER_SECOND * (renewalSentBytes + renewalReceivedBytes);
}

function resident({ runtime, daemon }: CapacityFigures): ChartOptions {
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
