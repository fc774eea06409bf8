/**
 * Packs guaranteed shapes into racks. The same algorithm checks whether a
 * document's guarantees fit its declared hardware and assigns them to the
 * available workers, so that every accepted document can be assigned.
 *
 * The packing is greedy: shapes that are harder to place are placed first,
 * each into the racks with the fewest free accelerators that fit it. It may
 * miss a packing that exists, but never gives one that doesn't fit.
 *
 * @module
 */

import type { ClientAccountId, DataCentreId } from "../../base/identity.ts";
import type { Document, Guarantee, Rack } from "./document.ts";

/** A worker that shapes can be packed into. */
export interface PackingWorker<T> {
  readonly item: T;
  /** Accelerators that are not assigned yet. */
  accelerators: number;
}

/** The workers of one rack. */
export type PackingRack<T> = readonly PackingWorker<T>[];

/** One shape to pack. */
export type Shape = Pick<
  Guarantee,
  "racks" | "workersPerRack" | "acceleratorsPerWorker"
>;

/** One guaranteed shape and its client account. */
export interface AccountGuarantee {
  readonly clientAccount: ClientAccountId;
  /** Index in the client account's list of guarantees. */
  readonly guaranteeIndex: number;
  readonly guarantee: Guarantee;
}

/** Sorts shapes that are harder to place first. */
export function compareShapes(left: Shape, right: Shape): number {
  return right.racks - left.racks ||
    rackVolume(right) - rackVolume(left) ||
    right.workersPerRack - left.workersPerRack;
}

/**
 * Packs the shape into the fitting racks with the fewest free accelerators and
 * subtracts it from their workers.
 *
 * @returns the items of the assigned workers, or undefined if it doesn't fit
 */
export function packShape<T>(
  racks: readonly PackingRack<T>[],
  shape: Shape,
): T[] | undefined {
  const fitting: { rack: PackingRack<T>; freeAccelerators: number }[] = [];
  for (const rack of racks) {
    let usable = 0;
    let freeAccelerators = 0;
    for (const worker of rack) {
      freeAccelerators += worker.accelerators;
      usable += worker.accelerators >= shape.acceleratorsPerWorker ? 1 : 0;
    }
    if (usable >= shape.workersPerRack) {
      fitting.push({ rack, freeAccelerators });
    }
  }
  if (fitting.length < shape.racks) {
    return undefined;
  }
  fitting.sort((a, b) => a.freeAccelerators - b.freeAccelerators);
  return fitting.slice(0, shape.racks)
    .flatMap(({ rack }) => takeFromRack(rack, shape));
}

/** The position of a worker in the declared hardware. */
export interface DeclaredWorker {
  readonly rack: string;
  /** From 0 within the rack. */
  readonly index: number;
}

/** The declared hardware with all accelerators free, sorted by rack name. */
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

/** The first guaranteed shape that doesn't fit the declared hardware. */
export function findUnplacedGuarantee(
  document: Document,
  dataCentre: DataCentreId,
): AccountGuarantee | undefined {
  const racks = declaredRacks(document.dataCentres[dataCentre]?.racks ?? []);
  return guaranteesOf(document, dataCentre)
    .find(({ guarantee }) => packShape(racks, guarantee) === undefined);
}

/** All guaranteed shapes of a data centre, one entry each, in packing order. */
export function guaranteesOf(
  document: Document,
  dataCentre: DataCentreId,
): AccountGuarantee[] {
  const all: AccountGuarantee[] = [];
  for (const clientAccount of Object.keys(document.clientAccounts).sort()) {
    const { guarantees = [] } = document.clientAccounts[clientAccount] ?? {};
    guarantees.forEach((guarantee, guaranteeIndex) => {
      const accountGuarantee = { clientAccount, guaranteeIndex, guarantee };
      if (guarantee.dataCentre === dataCentre) {
        all.push(
          ...Array<AccountGuarantee>(guarantee.count).fill(accountGuarantee),
        );
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
