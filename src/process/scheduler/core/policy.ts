/**
 * The rules of one configuration version for one data centre's scheduler.
 *
 * @module
 */

import type { ClientAccountId, DataCentreId } from "../../../base/identity.ts";
import type { ConfigurationVersion } from "../../../version/configuration_version.ts";
import {
  type ClientAccount,
  type DataCentre,
  type JobClass,
  jobClassSchema,
} from "../../../version/document/document.ts";
import type { Amounts } from "./amounts.ts";
import { type DeclaredRack, declaredRacks } from "./declared_rack.ts";

/** The class of jobs whose own class was removed from the document. */
const FALLBACK_JOB_CLASS: JobClass = jobClassSchema.parse({
  owner: "none",
  rank: 9,
});

/** One configuration version as it applies to one data centre. */
export class Policy {
  readonly version: number;
  readonly acceptedAtMs: number;
  readonly configuration: ConfigurationVersion;
  readonly section: DataCentre | undefined;
  readonly racks: readonly DeclaredRack[];
  readonly declaredWorkers: number;
  /** Sum of the borrowing weights of all client accounts. */
  readonly totalBorrowingWeight: number;
  readonly declaredAccelerators: number;

  constructor(
    options: {
      configuration: ConfigurationVersion;
      dataCentre: DataCentreId;
    },
  ) {
    const { configuration, dataCentre } = options;
    this.configuration = configuration;
    this.version = configuration.version;
    this.acceptedAtMs = configuration.acceptedAtMs;
    this.section = configuration.document.dataCentres[dataCentre];
    this.racks = declaredRacks(this.section);
    this.totalBorrowingWeight = sum(
      Object.values(configuration.document.clientAccounts)
        .map((account) => account.borrowingWeight),
    );
    this.declaredWorkers = sum(this.racks.map((rack) => rack.workers));
    this.declaredAccelerators = sum(
      this.racks.map((rack) => rack.workers * rack.worker.accelerators),
    );
  }

  /** Whether the data centre is declared and accepts new work. */
  get acceptsNewWork(): boolean {
    return this.section?.status === "in";
  }

  clientAccount(name: ClientAccountId): ClientAccount | undefined {
    return this.configuration.document.clientAccounts[name];
  }

  jobClass(name: string): JobClass {
    return this.configuration.document.jobClasses[name] ?? FALLBACK_JOB_CLASS;
  }

  hasJobClass(name: string): boolean {
    return this.configuration.document.jobClasses[name] !== undefined;
  }

  /**
   * The proportional share of processors and memory that goes with a number
   * of accelerators on a worker; the smallest over all racks.
   */
  shareForAccelerators(accelerators: number): Amounts {
    const share: Amounts = {
      milliCores: Infinity,
      memoryBytes: Infinity,
      accelerators,
    };
    for (const { worker } of this.racks) {
      const fraction = accelerators / Math.max(1, worker.accelerators);
      share.milliCores = Math.min(
        share.milliCores,
        Math.floor(worker.milliCores * fraction),
      );
      share.memoryBytes = Math.min(
        share.memoryBytes,
        Math.floor(worker.memoryBytes * fraction),
      );
    }
    return share;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
