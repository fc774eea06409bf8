/**
 * Measures what edits cost one instance: the time to apply one, the bytes of a
 * snapshot and the time to restore it, the heap per recorded edit, and the
 * bytes that it sends to report the version in force.
 *
 *     node --expose-gc dist/bench/configuration/edit_cost.js
 *
 * @module
 */

import process from "node:process";
import { type EditSize, measureEdits, measureReports } from "./edit_run.ts";

const SIZES: readonly EditSize[] = [
  { teams: 4, dataCentres: 3, racksPerDataCentre: 2, edits: 1_800 },
  { teams: 180, dataCentres: 5, racksPerDataCentre: 18, edits: 1_800 },
  { teams: 180, dataCentres: 5, racksPerDataCentre: 18, edits: 4_900 },
];

function print(figures: unknown): void {
  process.stdout.write(JSON.stringify(figures) + "\n");
}

SIZES.forEach((size) => print(measureEdits(size)));
print(measureReports(9));
