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

/** An index of all declared workers. */
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

/** Recounts the scheduler's assignments; returns what is wrong, if anything. */
function findViolation(
  document: Document,
  assignments: GuaranteeAssignments,
): string | undefined {
  const used = new Map<string, number>();
  let count = 0;
  for (const { shape, workers } of assignments.all()) {
    count++;
    const racks = new Set(workers.map((worker) => worker.rack.rackId));
    const distinct = new Set(workers.map((worker) => worker.workerId));
    if (racks.size !== shape.racks) {
      return "wrong number of racks, or not assigned";
    }
    if (distinct.size !== shape.racks * shape.workersPerRack) {
      return "wrong number of workers";
    }
    for (const worker of workers) {
      const sum = (used.get(worker.workerId) ?? 0) +
        shape.acceleratorsPerWorker;
      used.set(worker.workerId, sum);
      if (sum > worker.capacity.accelerators) {
        return "more accelerators assigned than the worker has";
      }
    }
  }
  return count === guaranteesOf(document, EAST).length
    ? undefined
    : "a shape is missing";
}

/** Applies the documents that `isAccepted` accepts to the scheduler. */
function findAssignmentViolation(
  racks: readonly Rack[],
  sequence: readonly Accounts[],
  isAccepted: (document: Document) => boolean,
): { accepted: number; violation: string | undefined } {
  const assignments = new GuaranteeAssignments({ index: indexOf(racks) });
  let accepted = 0;
  for (const accounts of sequence) {
    const document = documentOf(racks, accounts);
    if (isAccepted(document)) {
      accepted++;
      assignments.configure(document, EAST);
      assignments.repair();
      const violation = findViolation(document, assignments);
      if (violation !== undefined) {
        return { accepted, violation };
      }
    }
  }
  return { accepted, violation: undefined };
}

function fuzz(isAccepted: (document: Document) => boolean) {
  let accepted = 0;
  const property = fc.property(
    racksArbitrary,
    fc.array(accountsArbitrary, { minLength: 1, maxLength: 6 }),
    (racks, sequence) => {
      const result = findAssignmentViolation(racks, sequence, isAccepted);
      accepted += result.accepted;
      if (result.violation !== undefined) {
        throw new Error(result.violation);
      }
    },
  );
  const run = fc.check(property, { seed: 5, numRuns: 2_000 });
  return { run, accepted };
}

const isValid = (document: Document) =>
  findUnplacedGuarantee(document, EAST) === undefined;

test("the scheduler can assign all guarantees that are accepted", (t) => {
  const { run, accepted } = fuzz(isValid);
  t.false(run.failed, String(run.errorInstance));
  t.true(accepted > 1_000, "enough documents were accepted");
});

test("the fuzz test detects a rule that only counts accelerators", (t) => {
  const { run } = fuzz((document) => {
    const total = (document.dataCentres[EAST]?.racks ?? [])
      .reduce(
        (sum, rack) => sum + rack.workers * rack.acceleratorsPerWorker,
        0,
      );
    const guaranteed = guaranteesOf(document, EAST).reduce(
      (sum, { guarantee: { racks, workersPerRack, acceleratorsPerWorker } }) =>
        sum + racks * workersPerRack * acceleratorsPerWorker,
      0,
    );
    return guaranteed <= total;
  });
  t.true(run.failed);
});

test("free accelerators spread over racks don't fit a one-rack shape", (t) => {
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
