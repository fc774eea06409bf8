import test from "ava";
import fc from "fast-check";
import { findUnplacedGuarantee } from "../../../version/document/guarantee_packing.ts";
import { FakeRuntime } from "./testing/fake_runtime.ts";
import {
  DATA_CENTRE,
  makeDocument,
  makeWorkers,
} from "./testing/test_document.ts";

const HARDWARE = { racks: 4, workersPerRack: 4, accelerators: 8 };

const shapes = fc.record({
  racks: fc.integer({ min: 1, max: 2 }),
  workersPerRack: fc.integer({ min: 1, max: 4 }),
  acceleratorsPerWorker: fc.constantFrom(1, 2, 3, 4, 8),
  count: fc.integer({ min: 1, max: 3 }),
});

const guarantees = fc.record({
  lakes: fc.array(shapes, { maxLength: 3 }),
  mills: fc.array(shapes, { maxLength: 3 }),
  looms: fc.array(shapes, { maxLength: 3 }),
});

test("guarantees of an accepted document are placed in whatever order workers join", (t) => {
  let fitting = 0;
  const property = fc.property(
    guarantees,
    fc.shuffledSubarray(makeWorkers(HARDWARE), { minLength: 16 }),
    fc.nat({ max: 15 }),
    (granted, workers, lost) => {
      const document = makeDocument({ ...HARDWARE, guarantees: granted });
      if (findUnplacedGuarantee(document, DATA_CENTRE) !== undefined) {
        return;
      }
      fitting += 1;
      const runtime = new FakeRuntime({ document, workers });
      runtime.tick(100);
      const workerId = workers[lost]?.workerId ?? "";
      runtime.lose(workerId, { leavesStaleTasks: false });
      runtime.join(workerId);
      runtime.tick(100);
      t.deepEqual(runtime.violations, []);
      t.is(runtime.core.metrics().unplacedGuarantees, 0);
    },
  );
  fc.assert(property, { seed: 20_261_204, numRuns: 300 });
  t.true(fitting > 50);
});

test("a document that guarantees more than the hardware holds is rejected", (t) => {
  const document = makeDocument({
    ...HARDWARE,
    guarantees: {
      lakes: [
        { racks: 1, workersPerRack: 3, acceleratorsPerWorker: 8, count: 5 },
      ],
      mills: [],
    },
  });
  const unplaced = findUnplacedGuarantee(document, DATA_CENTRE);

  t.is(unplaced?.clientAccount, "lakes");
});
