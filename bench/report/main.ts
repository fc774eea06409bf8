/**
 * Draws the results in docs/report as SVG files in the same folder. Missing
 * results are skipped with a message.
 *
 * @module
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { capacityCharts, capacitySchema } from "./capacity_charts.ts";
import { type ChartOptions, drawChart } from "./chart.ts";
import { policyCharts, policySchema } from "./policy_charts.ts";

const FOLDER = "docs/report";

/** Result files and their charts; `.jsonl` files have one value per line. */
const SOURCES: Readonly<
  Record<string, (value: unknown) => Record<string, ChartOptions>>
> = {
  "capacity.json": (value) => capacityCharts(capacitySchema.parse(value)),
  "policy.jsonl": (value) => policyCharts(policySchema.parse(value)),
};

async function main(): Promise<void> {
  for (const [source, chartsOf] of Object.entries(SOURCES)) {
    const path = `${FOLDER}/${source}`;
    if (!existsSync(path)) {
      process.stdout.write(`${path}: not found, skipped\n`);
      continue;
    }
    const charts = chartsOf(readResults(path));
    for (const [name, options] of Object.entries(charts)) {
      writeFileSync(`${FOLDER}/${name}.svg`, await drawChart(options));
      process.stdout.write(`${FOLDER}/${name}.svg\n`);
    }
  }
}

function readResults(path: string): unknown {
  const text = readFileSync(path, "utf8");
  return path.endsWith(".jsonl")
    ? text.trim().split("\n").map((line) => JSON.parse(line))
    : JSON.parse(text);
}

await main();
