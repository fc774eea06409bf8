import test from "ava";
import fc from "fast-check";
import { GuaranteeAssignments } from "../../process/scheduler/core/guarantee_assignments.ts";
import { RackIndex } from "../../process/scheduler/core/rack_index.ts";
import type { Document, Rack } from "./document.ts";
import { EMPTY_DOCUMENT, withSection } from "./document_change.ts";
import {
  declaredRacks,
  findUnplacedGuarantee,
  guaranteesOf,
  packShape,
} from "./guarantee_packing.ts";
import type { Section } from "./parse_document.ts";

const EAST = "east";

const racksArbitrary = fc.array(
  fc.record({
    workers: fc.integer({ min: 1, max: 4 }),
    acceleratorsPerWorker: fc.constantFrom(2, 4, 8),
  }),
  { minLength: 1, maxLength: 4 },
).map((racks) =>
  racks.map((rack, index): Rack => ({
    name: `rack-${(index * 7) % 5}`,
    coresPerWorker: 1,
    memoryBytesPerWorker: 1,
    ...rack,
  }))
);

const guaranteesArbitrary = fc.array(
  fc.record({
    dataCentre: fc.constant(EAST),
    racks: fc.integer({ min: 1, max: 3 }),
    workersPerRack: fc.integer({ min: 1, max: 3 }),
    acceleratorsPerWorker: fc.integer({ min: 1, max: 8 }),
    count: fc.integer({ min: 1, max: 2 }),
  }),
  { maxLength: 3 },
);

/** Client accounts by name, each with its guarantees. */
const accountsArbitrary = fc.dictionary(
  fc.constantFrom("a", "b", "c"),
  guaranteesArbitrary,
  { noNullPrototype: true },
);

type Accounts = Record<
  string,
  Document["clientAccounts"][string]["guarantees"]
>;

function documentOf(racks: readonly Rack[], accounts: Accounts): Document {
  let document = withSection(EMPTY_DOCUMENT, {
    kind: "dataCentres",
    name: EAST,
  }, { owner: "x", region: "one", status: "in", racks } as unknown as Section);
  for (const [name, guarantees] of Object.entries(accounts)) {
    const sectionId = { kind: "clientAccounts", name } as const;
    document = withSection(document, sectionId, {
      owner: "x",
      guarantees,
      borrowingWeight: 1,
      queuedJobsLimit: 1,
    });
  }
  return document;
}

/** The declared workers, all there. */
function indexOf(racks: readonly Rack[]): RackIndex {
  const index = new RackIndex();
  for (const rack of racks) {
    for (let at = 0; at < rack.workers; at++) {
      index.add({
        workerId: `${rack.name}-${at}`,
        rack: rack.name,
        cores: rack.coresPerWorker,
        memoryBytes: rack.memoryBytesPerWorker,
        accelerators: rack.acceleratorsPerWorker,
      });
    }
  }
  return index;
}

/** What is wrong with the cells that the scheduler made, counted anew. */
function findBroken(
  document: Document,
  cells: GuaranteeAssignments,
): string | undefined {
  const used = new Map<string, number>();
  let count = 0;
  for (const { shape, workers } of cells.all()) {
    count++;
    const racks = new Set(workers.map((worker) => worker.rack.rackId));
    const distinct = new Set(workers.map((worker) => worker.workerId));
    if (racks.size !== shape.racks) {
      return "wrong count of racks, or not placed";
    }
    if (distinct.size !== shape.racks * shape.workersPerRack) {
      return "wrong count of workers";
    }
    for (const worker of workers) {
      const sum = (used.get(worker.workerId) ?? 0) +
        shape.acceleratorsPerWorker;
      used.set(worker.workerId, sum);
      if (sum > worker.capacity.accelerators) {
        return "a worker is promised twice";
      }
    }
  }
  return count === guaranteesOf(document, EAST).length
    ? undefined
    : "a shape is missing";
}

/** Accepts each document by `isAccepted`, and has the scheduler take it. */
function honours(
  racks: readonly Rack[],
  sequence: readonly Accounts[],
  isAccepted: (document: Document) => boolean,
): { accepted: number; broken: string | undefined } {
  const cells = new GuaranteeAssignments({ index: indexOf(racks) });
  let accepted = 0;
  for (const accounts of sequence) {
    const document = documentOf(racks, accounts);
    if (isAccepted(document)) {
      accepted++;
      cells.configure(document, EAST);
      cells.repair();
      const broken = findBroken(document, cells);
      if (broken !== undefined) {
        return { accepted, broken };
      }
    }
  }
  return { accepted, broken: undefined };
}

function fuzz(isAccepted: (document: Document) => boolean) {
  let accepted = 0;
  const property = fc.property(
    racksArbitrary,
    fc.array(accountsArbitrary, { minLength: 1, maxLength: 6 }),
    (racks, sequence) => {
      const result = honours(racks, sequence, isAccepted);
      accepted += result.accepted;
      if (result.broken !== undefined) {
        throw new Error(result.broken);
      }
    },
  );
  const run = fc.check(property, { seed: 5, numRuns: 2_000 });
  return { run, accepted };
}

const isSound = (document: Document) =>
  findUnplacedGuarantee(document, EAST) === undefined;

test("the scheduler honours every document that is accepted", (t) => {
  const { run, accepted } = fuzz(isSound);
  t.false(run.failed, String(run.errorInstance));
  t.true(accepted > 1_000, "the property looked at accepted documents");
});

test("the check notices a rule that only counts accelerators", (t) => {
  const { run } = fuzz((document) => {
    const total = (document.dataCentres[EAST]?.racks ?? [])
      .reduce(
        (sum, rack) => sum + rack.workers * rack.acceleratorsPerWorker,
        0,
      );
    const wanted = guaranteesOf(document, EAST).reduce(
      (sum, { guarantee: { racks, workersPerRack, acceleratorsPerWorker } }) =>
        sum + racks * workersPerRack * acceleratorsPerWorker,
      0,
    );
    return wanted <= total;
  });
  t.true(run.failed);
});

test("free accelerators in the wrong places are not enough", (t) => {
  const racks = ["a", "b"].map((name): Rack => ({
    name,
    workers: 3,
    coresPerWorker: 1,
    memoryBytesPerWorker: 1,
    acceleratorsPerWorker: 8,
  }));
  const shape = { racks: 1, workersPerRack: 2, acceleratorsPerWorker: 8 };
  const empty = declaredRacks(racks);
  t.is(packShape(empty, shape)?.length, 2);
  t.is(packShape(empty, shape)?.length, 2);
  t.is(packShape(empty, shape), undefined);
});
