/**
 * The hardware of a data centre as its section declares it.
 *
 * @module
 */

import type { DataCentre } from "../../../version/document/document.ts";
import { type Amounts, amountsOf } from "./amounts.ts";

/** A rack as declared. */
export interface DeclaredRack {
  readonly workers: number;
  readonly worker: Readonly<Amounts>;
}

/** The racks of a data centre's section; none when there is no section. */
export function declaredRacks(
  section: DataCentre | undefined,
): readonly DeclaredRack[] {
  return (section?.racks ?? []).map((rack) => ({
    workers: rack.workers,
    worker: amountsOf({
      cores: rack.coresPerWorker,
      memoryBytes: rack.memoryBytesPerWorker,
      accelerators: rack.acceleratorsPerWorker,
    }),
  }));
}
