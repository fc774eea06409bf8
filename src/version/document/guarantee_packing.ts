/**
 * Packs guaranteed shapes into racks. The same packing tells whether a
 * document's guarantees fit its declared hardware, and assigns them to the
 * workers at hand; so what the document's check accepts can be assigned.
 *
 * The packing is greedy: the shape that is hardest to place goes first, into
 * the tightest racks. It may miss a packing that exists, but never reports
 * one that doesn't.
 *
 * @module
 */

import type { ClientAccountId, DataCentreId } from "../../base/identity.ts";
import type { Document, Guarantee, Rack } from "./document.ts";

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

/** One guaranteed shape and who holds it. */
export interface HeldGuarantee {
  readonly clientAccount: ClientAccountId;
  /** The guarantee's place in the client account's list. */
  readonly guaranteeIndex: number;
  readonly guarantee: Guarantee;
}

/** Which of two shapes is packed first: the one that is harder to place. */
export function compareShapes(left: Shape, right: Shape): number {
  return right.racks - left.racks ||
    rackVolume(right) - rackVolume(left) ||
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

/** Where a worker stands in the declared hardware. */
export interface DeclaredWorker {
  readonly rack: string;
  /** Counted from 0 within the rack. */
  readonly index: number;
}

/** The declared hardware, empty, in the order in which it is packed. */
export function declaredRacks(
  racks: readonly Rack[],
): PackingRack<DeclaredWorker>[] {
  return [...racks].sort((left, right) => left.name < right.name ? -1 : 1)
    .map((rack) =>
      Array.from({ length: rack.workers }, (_, index) => ({
        item: { rack: rack.name, index },
        accelerators: rack.acceleratorsPerWorker,
      }))
    );
}

/** The first guaranteed shape that the declared hardware can't hold. */
export function findUnplacedGuarantee(
  document: Document,
  dataCentre: DataCentreId,
): HeldGuarantee | undefined {
  const racks = declaredRacks(document.dataCentres[dataCentre]?.racks ?? []);
  return guaranteesOf(document, dataCentre)
    .find(({ guarantee }) => packShape(racks, guarantee) === undefined);
}

/** Every guaranteed shape in one data centre, one entry each, hardest first. */
export function guaranteesOf(
  document: Document,
  dataCentre: DataCentreId,
): HeldGuarantee[] {
  const all: HeldGuarantee[] = [];
  for (const clientAccount of Object.keys(document.clientAccounts).sort()) {
    const { guarantees = [] } = document.clientAccounts[clientAccount] ?? {};
    guarantees.forEach((guarantee, guaranteeIndex) => {
      const held = { clientAccount, guaranteeIndex, guarantee };
      if (guarantee.dataCentre === dataCentre) {
        all.push(...Array<HeldGuarantee>(guarantee.count).fill(held));
      }
    });
  }
  return all.sort((left, right) =>
    compareShapes(left.guarantee, right.guarantee)
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
