import test from "ava";
import fc from "fast-check";
import { MemoryFault } from "../ledger/memory_group.ts";
import {
  flushPromises,
  INSTANCES,
  type Mutation,
  RequestPathSimulation,
} from "./request_path_fixture.ts";

type Step = (simulation: RequestPathSimulation) => void | Promise<void>;

const ids = fc.constantFrom(...INSTANCES.map(({ id }) => id));

const steps: fc.Arbitrary<Step>[] = [
  ...[0, 1, 2, 3].map(() =>
    fc.record({
      id: ids,
      request: fc.constantFrom("east:a", "west:b", "c", "d", "e", "f"),
      content: fc.constantFrom("bale", "bale", "bale", "quilt"),
      timeoutMs: fc.constantFrom(40, 300, 1_500),
    }).map(({ id, ...options }) => (simulation: RequestPathSimulation) =>
      simulation.call(id, options)
    )
  ),
  fc.tuple(ids, fc.constantFrom(...Object.values(MemoryFault)))
    .map(([id, fault]) => (simulation) => simulation.setLogFault(id, fault)),
  fc.tuple(fc.constantFrom(0, 0.2, 0.5), fc.constantFrom(0, 100))
    .map(([rate, jitterMs]) => (simulation) =>
      simulation.setLinkFaults(rate, jitterMs)
    ),
  ids.map((id) => (simulation) => simulation.isolate(id)),
  fc.tuple(fc.constantFrom("east", "west"), fc.boolean())
    .map(([dataCentre, isSilent]) => async (simulation) => {
      simulation.setSilent(dataCentre, isSilent);
      await simulation.advance(2_000);
    }),
  fc.constant((simulation) => simulation.heal()),
  ids.map((id) => (simulation) => simulation.start(id)),
  fc.constant((simulation) => simulation.loseEntries()),
  ...[0, 1].map(() =>
    fc.constantFrom(25, 100, 500).map(
      (byMs) => (simulation: RequestPathSimulation) => simulation.advance(byMs),
    )
  ),
];

/** Runs random sessions; returns the first violation, if any. */
async function fuzz(
  mutation: Mutation,
  runs: number,
): Promise<string | undefined> {
  let violation: string | undefined;
  const session = fc.tuple(
    fc.nat({ max: 1_000_000 }),
    fc.array(fc.oneof(...steps), { minLength: 20, maxLength: 50 }),
  );
  await fc.check(
    fc.asyncProperty(session, async ([seed, chosen]) => {
      const simulation = new RequestPathSimulation(mutation, seed);
      await simulation.advance(200);
      for (const step of chosen) {
        await step(simulation);
        await flushPromises();
      }
      await simulation.finish();
      violation ??= simulation.violation;
      return simulation.violation === undefined;
    }),
    { numRuns: runs, seed: 31, endOnFailure: true },
  );
  return violation;
}

test("random sessions send no request twice", async (t) => {
  t.is(await fuzz({}, 800), undefined);
});

const MUTATIONS: readonly (readonly [string, Mutation, RegExp])[] = [
  ["whose ledgers lose entries", { losesEntries: true }, /sent twice|not run/],
  ["whose instances disagree about the data centres", {
    splitsConfiguration: true,
  }, /sent twice|not run/],
  [
    "that reports a lost answer as not sent",
    { reportsLostAsNotSent: true },
    /sent twice|not run/,
  ],
  ["that mixes up answers", { mixesAnswers: true }, /another request/],
];

for (const [name, mutation, expected] of MUTATIONS) {
  test(`the oracle notices a system ${name}`, async (t) => {
    t.regex(await fuzz(mutation, 400) ?? "nothing", expected);
  });
}
