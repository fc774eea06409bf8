import test from "ava";
import fc from "fast-check";
import {
  type HeldGuarantee,
  packGuarantees,
  type Packing,
} from "./guarantee_packing.ts";
import type { Rack } from "./document.ts";

const rackArbitrary = fc.record({
  workers: fc.integer({ min: 1, max: 4 }),
  acceleratorsPerWorker: fc.constantFrom(2, 4, 8),
});

const racksArbitrary = fc.array(rackArbitrary, { minLength: 1, maxLength: 4 })
  .map((racks) =>
    racks.map((rack, index): Rack => ({
      name: `rack-${index}`,
      coresPerWorker: 1,
      memoryBytesPerWorker: 1,
      ...rack,
    }))
  );

const guaranteesArbitrary = fc.array(
  fc.record({
    dataCentre: fc.constant("east"),
    racks: fc.integer({ min: 1, max: 3 }),
    workersPerRack: fc.integer({ min: 1, max: 4 }),
    acceleratorsPerWorker: fc.integer({ min: 1, max: 8 }),
    count: fc.integer({ min: 1, max: 3 }),
  }),
  { maxLength: 4 },
).map((guarantees) =>
  guarantees.map((guarantee, guaranteeIndex): HeldGuarantee => ({
    clientAccount: "buyers",
    guaranteeIndex,
    guarantee,
  }))
);

/** What is wrong with a packing, counted anew. */
function findBroken(
  racks: readonly Rack[],
  held: readonly HeldGuarantee[],
  packing: Packing,
): string | undefined {
  if (packing.kind === "unplaced") {
    return undefined;
  }
  const wanted = held.reduce((sum, entry) => sum + entry.guarantee.count, 0);
  if (packing.shapes.length !== wanted) {
    return "a shape is missing";
  }
  const used = new Map<string, number>();
  for (const shape of packing.shapes) {
    const { guarantee } = shape;
    const names = new Set(shape.racks.map((part) => part.rack));
    if (names.size !== guarantee.racks) {
      return "wrong count of racks";
    }
    for (const part of shape.racks) {
      if (new Set(part.workerIndexes).size !== guarantee.workersPerRack) {
        return "wrong count of workers";
      }
      for (const index of part.workerIndexes) {
        const key = `${part.rack}/${index}`;
        const sum = (used.get(key) ?? 0) + guarantee.acceleratorsPerWorker;
        const rack = racks.find((entry) => entry.name === part.rack);
        if (index >= (rack?.workers ?? 0)) {
          return "no such worker";
        }
        if (sum > (rack?.acceleratorsPerWorker ?? 0)) {
          return "a worker is promised twice";
        }
        used.set(key, sum);
      }
    }
  }
  return undefined;
}

test("what is accepted can be honoured, all shapes at once", (t) => {
  let packed = 0;
  const property = fc.property(
    racksArbitrary,
    guaranteesArbitrary,
    (racks, guarantees) => {
      const packing = packGuarantees(racks, guarantees);
      packed += packing.kind === "packed" ? 1 : 0;
      const broken = findBroken(racks, guarantees, packing);
      if (broken !== undefined) {
        throw new Error(broken);
      }
    },
  );
  fc.assert(property, { seed: 5, numRuns: 3_000 });
  t.true(packed > 500, "the property looked at packings");
});

test("the check notices a packing for hardware that is larger", (t) => {
  const property = fc.property(
    racksArbitrary,
    guaranteesArbitrary,
    (racks, guarantees) => {
      const larger = racks.map((rack) => ({
        ...rack,
        workers: rack.workers + 1,
      }));
      const packing = packGuarantees(larger, guarantees);
      return findBroken(racks, guarantees, packing) === undefined;
    },
  );
  t.true(fc.check(property, { seed: 5, numRuns: 3_000 }).failed);
});

test("free accelerators in the wrong places are not enough", (t) => {
  const racks = ["a", "b"].map((name): Rack => ({
    name,
    workers: 3,
    coresPerWorker: 1,
    memoryBytesPerWorker: 1,
    acceleratorsPerWorker: 8,
  }));
  const guarantee = {
    dataCentre: "east",
    racks: 1,
    workersPerRack: 2,
    acceleratorsPerWorker: 8,
    count: 3,
  };
  const held = { clientAccount: "buyers", guaranteeIndex: 0, guarantee };
  t.is(packGuarantees(racks, [held]).kind, "unplaced");
});
