/**
 * The hardware of a data centre as declared in its configuration section.
 *
 * @module
 */

import type { DataCentre } from "../../../version/document/document.ts";
import { type Amounts, amountsOf } from "./amounts.ts";

/** A declared rack; all its workers are alike. */
export interface DeclaredRack {
  readonly workers: number;
  readonly worker: Readonly<Amounts>;
}

/** The racks declared in a data centre's section; none without a section. */
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
