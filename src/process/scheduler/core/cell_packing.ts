/**
 * Packs guaranteed shapes into racks. The same packing tells whether a
 * document's guarantees fit its declared hardware, and assigns them to the
 * workers at hand.
 *
 * @module
 */

import type { DataCentreId } from "../../../base/identity.ts";
import type {
  Document,
  Guarantee,
} from "../../../version/document/document.ts";

/** A worker that shapes can be packed into. */
export interface PackingWorker<T> {
  readonly item: T;
  /** Accelerators not promised yet. */
  accelerators: number;
}

/** The workers of one rack. */
export type PackingRack<T> = readonly PackingWorker<T>[];

/** One shape to pack. */
export type Shape = Pick<
  Guarantee,
  "racks" | "workersPerRack" | "acceleratorsPerWorker"
>;

/** Which of two shapes is packed first: the one that is harder to place. */
export function compareShapes(left: Shape, right: Shape): number {
  return rackVolume(right) - rackVolume(left) ||
    right.racks - left.racks ||
    right.workersPerRack - left.workersPerRack;
}

/**
 * Takes the shape out of the tightest racks that hold it.
 *
 * @returns the workers taken, or undefined when it doesn't fit
 */
export function packShape<T>(
  racks: readonly PackingRack<T>[],
  shape: Shape,
): T[] | undefined {
  const fitting: { rack: PackingRack<T>; left: number }[] = [];
  for (const rack of racks) {
    let usable = 0;
    let left = 0;
    for (const worker of rack) {
      left += worker.accelerators;
      usable += worker.accelerators >= shape.acceleratorsPerWorker ? 1 : 0;
    }
    if (usable >= shape.workersPerRack) {
      fitting.push({ rack, left });
    }
  }
  if (fitting.length < shape.racks) {
    return undefined;
  }
  fitting.sort((a, b) => a.left - b.left);
  return fitting.slice(0, shape.racks)
    .flatMap(({ rack }) => takeFromRack(rack, shape));
}

/** A guarantee that the declared hardware can't hold. */
export interface UnplacedGuarantee {
  readonly clientAccount: string;
  readonly guarantee: Guarantee;
}

/**
 * The guarantees of a document that don't fit the declared hardware of one
 * data centre, all client accounts at once.
 */
export function findUnplacedGuarantees(
  document: Document,
  dataCentre: DataCentreId,
): UnplacedGuarantee[] {
  const hardware = document.dataCentres[dataCentre]?.racks ?? [];
  const racks = hardware.map((rack) =>
    Array.from({ length: rack.workers }, () => ({
      item: undefined,
      accelerators: rack.acceleratorsPerWorker,
    }))
  );
  return guaranteesOf(document, dataCentre)
    .filter(({ guarantee }) => packShape(racks, guarantee) === undefined);
}

/** Every guaranteed shape in one data centre, one entry each, hardest first. */
export function guaranteesOf(
  document: Document,
  dataCentre: DataCentreId,
): UnplacedGuarantee[] {
  const all: UnplacedGuarantee[] = [];
  for (
    const [clientAccount, section] of Object.entries(document.clientAccounts)
  ) {
    for (const guarantee of section.guarantees) {
      if (guarantee.dataCentre === dataCentre) {
        for (let copy = 0; copy < guarantee.count; copy++) {
          all.push({ clientAccount, guarantee });
        }
      }
    }
  }
  return all.sort((left, right) =>
    compareShapes(left.guarantee, right.guarantee) ||
    (left.clientAccount < right.clientAccount ? -1 : 1)
  );
}

function takeFromRack<T>(rack: PackingRack<T>, shape: Shape): T[] {
  const usable = rack
    .filter((worker) => worker.accelerators >= shape.acceleratorsPerWorker)
    .sort((left, right) => left.accelerators - right.accelerators)
    .slice(0, shape.workersPerRack);
  for (const worker of usable) {
    worker.accelerators -= shape.acceleratorsPerWorker;
  }
  return usable.map((worker) => worker.item);
}

function rackVolume(shape: Shape): number {
  return shape.workersPerRack * shape.acceleratorsPerWorker;
}
