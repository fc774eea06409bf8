import test from "ava";
import fc from "fast-check";
import { MemoryFault } from "../ledger/memory_group.ts";
import {
  INSTANCES,
  type Mutation,
  settle,
  World,
} from "./request_path_fixture.ts";

type Step = (world: World) => void | Promise<void>;

const ids = fc.constantFrom(...INSTANCES.map(({ id }) => id));

const steps: fc.Arbitrary<Step>[] = [
  ...[0, 1, 2, 3].map(() =>
    fc.record({
      id: ids,
      request: fc.constantFrom("east:a", "west:b", "c", "d", "e", "f"),
      content: fc.constantFrom("bale", "bale", "bale", "quilt"),
      timeoutMs: fc.constantFrom(40, 300, 1_500),
    }).map(({ id, ...options }) => (world: World) => world.call(id, options))
  ),
  fc.tuple(ids, fc.constantFrom(...Object.values(MemoryFault)))
    .map(([id, fault]) => (world) => world.setLogFault(id, fault)),
  fc.tuple(fc.constantFrom(0, 0.2, 0.5), fc.constantFrom(0, 100))
    .map(([rate, jitterMs]) => (world) => world.setLinkFaults(rate, jitterMs)),
  ids.map((id) => (world) => world.isolate(id)),
  fc.tuple(fc.constantFrom("east", "west"), fc.boolean())
    .map(([dataCentre, isSilent]) => async (world) => {
      world.setSilent(dataCentre, isSilent);
      await world.advance(2_000);
    }),
  fc.constant((world) => world.heal()),
  ids.map((id) => (world) => world.start(id)),
  fc.constant((world) => world.forget()),
  ...[0, 1].map(() =>
    fc.constantFrom(25, 100, 500).map((byMs) => (world: World) =>
      world.advance(byMs)
    )
  ),
];

/** Runs random sessions; gives what broke, if anything did. */
async function fuzz(
  mutation: Mutation,
  runs: number,
): Promise<string | undefined> {
  let broken: string | undefined;
  const session = fc.tuple(
    fc.nat({ max: 1_000_000 }),
    fc.array(fc.oneof(...steps), { minLength: 20, maxLength: 50 }),
  );
  await fc.check(
    fc.asyncProperty(session, async ([seed, chosen]) => {
      const world = new World(mutation, seed);
      await world.advance(200);
      for (const step of chosen) {
        await step(world);
        await settle();
      }
      await world.finish();
      broken ??= world.broken;
      return world.broken === undefined;
    }),
    { numRuns: runs, seed: 31, endOnFailure: true },
  );
  return broken;
}

test("random sessions send no request twice", async (t) => {
  t.is(await fuzz({}, 800), undefined);
});

const MUTATIONS: readonly (readonly [string, Mutation, RegExp])[] = [
  ["whose ledgers forget", { forgets: true }, /sent twice|not run/],
  ["whose instances disagree", { disagrees: true }, /sent twice|not run/],
  ["that misjudges a lost answer", { misjudges: true }, /sent twice|not run/],
  ["that crosses answers", { crosses: true }, /another request/],
];

for (const [name, mutation, expected] of MUTATIONS) {
  test(`the oracle notices a system ${name}`, async (t) => {
    t.regex(await fuzz(mutation, 400) ?? "nothing", expected);
  });
}
