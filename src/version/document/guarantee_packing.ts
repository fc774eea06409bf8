/**
 * Puts every guaranteed shape of one data centre onto concrete workers, all
 * at once. A packing that is found is a proof that the guarantees fit; the
 * search is a greedy one in a few orders, so it may miss a packing that
 * exists, but never reports one that doesn't.
 *
 * @module
 */

import type { ClientAccountId } from "../../base/identity.ts";
import type { Guarantee, Rack } from "./document.ts";

/** A guarantee with the client account that holds it. */
export interface HeldGuarantee {
  readonly clientAccount: ClientAccountId;
  /** Its place in the client account's list. */
  readonly guaranteeIndex: number;
  readonly guarantee: Guarantee;
}

/** Where one rack's part of a shape lies. */
export interface PackedRack {
  readonly rack: string;
  /** Workers of the rack, counted from 0. */
  readonly workerIndexes: readonly number[];
}

/** One shape and its place. */
export interface PackedShape extends HeldGuarantee {
  /** Which of the guarantee's `count` shapes this is, from 0. */
  readonly shapeIndex: number;
  readonly racks: readonly PackedRack[];
}

/** What a packing came to. */
export type Packing =
  | { readonly kind: "packed"; readonly shapes: readonly PackedShape[] }
  | { readonly kind: "unplaced"; readonly held: HeldGuarantee };

/** Free accelerators of each worker, by rack. */
interface FreeRack {
  readonly rack: Rack;
  readonly freeByWorker: number[];
}

/** The orders that are tried, the most likely one first. */
const ORDERS: readonly ((held: HeldGuarantee) => number)[] = [
  (held) => held.guarantee.acceleratorsPerWorker * 1e6 + workersOf(held),
  (held) => workersOf(held) * 1e3 + held.guarantee.acceleratorsPerWorker,
  (held) => held.guarantee.workersPerRack * 1e6 + workersOf(held),
  (held) => held.guarantee.racks * 1e6 + workersOf(held),
];

function workersOf(held: HeldGuarantee): number {
  return held.guarantee.racks * held.guarantee.workersPerRack;
}

/** Packs all shapes into the racks; the same input gives the same packing. */
export function packGuarantees(
  racks: readonly Rack[],
  guarantees: readonly HeldGuarantee[],
): Packing {
  let unplaced = findImpossible(racks, guarantees);
  if (unplaced !== undefined) {
    return { kind: "unplaced", held: unplaced };
  }
  for (const order of ORDERS) {
    const sorted = [...guarantees].sort((a, b) => order(b) - order(a));
    const packing = packInOrder(racks, sorted);
    if (packing.kind === "packed") {
      return packing;
    }
    unplaced ??= packing.held;
  }
  return { kind: "unplaced", held: unplaced as HeldGuarantee };
}

/** A guarantee that alone asks for more than there is; a cheap first look. */
function findImpossible(
  racks: readonly Rack[],
  guarantees: readonly HeldGuarantee[],
): HeldGuarantee | undefined {
  const total = racks.reduce(
    (sum, rack) => sum + rack.workers * rack.acceleratorsPerWorker,
    0,
  );
  let wanted = 0;
  for (const held of guarantees) {
    const { acceleratorsPerWorker, count } = held.guarantee;
    wanted += workersOf(held) * acceleratorsPerWorker * count;
    if (wanted > total) {
      return held;
    }
  }
  return undefined;
}

function packInOrder(
  racks: readonly Rack[],
  guarantees: readonly HeldGuarantee[],
): Packing {
  const free: FreeRack[] = racks.map((rack) => ({
    rack,
    freeByWorker: Array<number>(rack.workers).fill(rack.acceleratorsPerWorker),
  }));
  const shapes: PackedShape[] = [];
  for (const held of guarantees) {
    for (let at = 0; at < held.guarantee.count; at++) {
      const packed = placeShape(free, held.guarantee);
      if (packed === undefined) {
        return { kind: "unplaced", held };
      }
      shapes.push({ ...held, shapeIndex: at, racks: packed });
    }
  }
  return { kind: "packed", shapes };
}

/** Takes the racks in which the shape leaves the least behind. */
function placeShape(
  free: readonly FreeRack[],
  guarantee: Guarantee,
): PackedRack[] | undefined {
  const candidates: { rack: FreeRack; workers: number[]; left: number }[] = [];
  for (const rack of free) {
    const workers = tightestWorkers(rack, guarantee);
    if (workers !== undefined) {
      candidates.push({ rack, workers, left: freeWorkersOf(rack, guarantee) });
    }
  }
  if (candidates.length < guarantee.racks) {
    return undefined;
  }
  candidates.sort((a, b) => a.left - b.left);
  return candidates.slice(0, guarantee.racks).map(({ rack, workers }) => {
    for (const index of workers) {
      const before = rack.freeByWorker[index] ?? 0;
      rack.freeByWorker[index] = before - guarantee.acceleratorsPerWorker;
    }
    return { rack: rack.rack.name, workerIndexes: workers };
  });
}

/** The workers of a rack that fit the shape with the least room to spare. */
function tightestWorkers(
  rack: FreeRack,
  guarantee: Guarantee,
): number[] | undefined {
  const fitting: number[] = [];
  rack.freeByWorker.forEach((free, index) => {
    if (free >= guarantee.acceleratorsPerWorker) {
      fitting.push(index);
    }
  });
  if (fitting.length < guarantee.workersPerRack) {
    return undefined;
  }
  const freeOf = (index: number) => rack.freeByWorker[index] ?? 0;
  fitting.sort((a, b) => freeOf(a) - freeOf(b) || a - b);
  return fitting.slice(0, guarantee.workersPerRack);
}

function freeWorkersOf(rack: FreeRack, guarantee: Guarantee): number {
  const least = guarantee.acceleratorsPerWorker;
  return rack.freeByWorker.filter((free) => free >= least).length;
}
