/**
 * Small configuration documents and matching workers for tests.
 *
 * @module
 */

import {
  type Document,
  documentSchema,
  type Guarantee,
} from "../../../../version/document/document.ts";
import type { WorkerDescription } from "../scheduler_event.ts";

/** The data centre in all tests. */
export const DATA_CENTRE = "kalyani";

/** Workers `r0w0`, `r0w1` and so on. */
export function makeWorkers(
  options: { racks: number; workersPerRack: number; accelerators: number },
): WorkerDescription[] {
  const workers: WorkerDescription[] = [];
  for (let rack = 0; rack < options.racks; rack++) {
    for (let index = 0; index < options.workersPerRack; index++) {
      workers.push({
        workerId: `r${rack}w${index}`,
        rack: `r${rack}`,
        cores: 32,
        memoryBytes: 64_000,
        accelerators: options.accelerators,
      });
    }
  }
  return workers;
}

/** A document that declares the workers of {@link makeWorkers}. */
export function makeDocument(options: {
  racks: number;
  workersPerRack: number;
  accelerators: number;
  guarantees: Record<string, Omit<Guarantee, "dataCentre">[]>;
}): Document {
  const clientAccounts = Object.fromEntries(
    Object.entries(options.guarantees).map(([name, guarantees]) => [name, {
      owner: "team",
      guarantees: guarantees.map((each) => ({
        ...each,
        dataCentre: DATA_CENTRE,
      })),
    }]),
  );
  const racks = Array.from({ length: options.racks }, (_, index) => ({
    name: `r${index}`,
    workers: options.workersPerRack,
    coresPerWorker: 32,
    memoryBytesPerWorker: 64_000,
    acceleratorsPerWorker: options.accelerators,
  }));
  return documentSchema.parse({
    formatVersion: 1,
    clientAccounts,
    jobClasses: {
      urgent: { owner: "team", rank: 0, startTargetMs: 1_900 },
      dispatch: { owner: "team", rank: 1, reservationAfterMs: 60_000 },
      overnight: { owner: "team", rank: 5, reservationAfterMs: 60_000 },
    },
    dataCentres: {
      [DATA_CENTRE]: { owner: "team", region: "bengal-east", racks },
    },
  });
}
