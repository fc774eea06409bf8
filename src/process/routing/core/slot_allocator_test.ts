import test from "ava";
import fc from "fast-check";
import { fairShares, SlotAllocator, type SlotGrant } from "./slot_allocator.ts";

const CAPACITY = new Map([["s1", 4], ["s2", 4], ["s3", 2]]);

/** Model of an instance that uses slots up to its grant and frees them late. */
interface HolderModel {
  grantId: number;
  granted: ReadonlyMap<string, number>;
  inUse: Map<string, number>;
  demand: number;
}

interface Session {
  readonly rounds: readonly {
    readonly demands: readonly number[];
    /** Whether each holder's report, then whether each one's grant is lost. */
    readonly lost: readonly boolean[];
    /** How many slots each holder keeps in use, as a fraction of its grant. */
    readonly use: readonly number[];
  }[];
}

const sessions: fc.Arbitrary<Session> = fc.record({
  rounds: fc.array(
    fc.record({
      demands: fc.array(fc.nat({ max: 30 }), { minLength: 3, maxLength: 3 }),
      lost: fc.array(fc.boolean(), { minLength: 6, maxLength: 6 }),
      use: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), {
        minLength: 3,
        maxLength: 3,
      }),
    }),
    { minLength: 1, maxLength: 30 },
  ),
});

/** Runs a session; returns a server with slots granted twice, if any. */
function run(
  session: Session,
  options: { omitsUse: boolean },
): string | undefined {
  const allocator = new SlotAllocator({ lastGrantId: 0 });
  const holders: HolderModel[] = [0, 1, 2].map(() => ({
    grantId: 0,
    granted: new Map(),
    inUse: new Map(),
    demand: 0,
  }));
  for (const { demands, lost, use } of session.rounds) {
    holders.forEach((holder, index) => {
      holder.demand = demands[index] ?? 0;
      if (lost[index] !== true) {
        const holds = options.omitsUse
          ? new Map<string, number>()
          : usedOverGrant(holder);
        const { demand, grantId } = holder;
        allocator.report({ instanceId: `i${index}`, demand, grantId, holds });
      }
    });
    for (const grant of allocator.allocate(CAPACITY)) {
      const index = Number(grant.instanceId.slice(1));
      if (lost[3 + index] !== true) {
        applyGrant(holders[index], grant);
      }
    }
    holders.forEach((holder, index) => useSlots(holder, use[index] ?? 0));
    const grantedTwice = findGrantedTwice(holders);
    if (grantedTwice !== undefined) {
      return grantedTwice;
    }
  }
  return undefined;
}

function applyGrant(holder: HolderModel | undefined, grant: SlotGrant): void {
  if (holder !== undefined && grant.grantId > holder.grantId) {
    holder.grantId = grant.grantId;
    holder.granted = grant.slots;
  }
}

function usedOverGrant(holder: HolderModel): Map<string, number> {
  return new Map(
    [...holder.inUse].filter(([id, used]) =>
      used > (holder.granted.get(id) ?? 0)
    ),
  );
}

/** Starts calls up to the grant; a running call ends only at low use. */
function useSlots(holder: HolderModel, use: number): void {
  for (const serverId of CAPACITY.keys()) {
    const granted = holder.granted.get(serverId) ?? 0;
    const running = holder.inUse.get(serverId) ?? 0;
    const wanted = Math.round(granted * use);
    const ended = use < 0.5 ? running - 1 : running;
    holder.inUse.set(serverId, Math.max(0, ended, wanted));
  }
}

function findGrantedTwice(holders: readonly HolderModel[]): string | undefined {
  return [...CAPACITY.keys()].find((serverId) => {
    const used = holders.reduce(
      (sum, holder) =>
        sum + Math.max(
          holder.inUse.get(serverId) ?? 0,
          holder.granted.get(serverId) ?? 0,
        ),
      0,
    );
    return used > (CAPACITY.get(serverId) ?? 0);
  });
}

test("no slot is granted twice, whatever is lost or in use", (t) => {
  const checked = fc.check(
    fc.property(
      sessions,
      (session) => run(session, { omitsUse: false }) === undefined,
    ),
    { numRuns: 2_000, seed: 4 },
  );
  t.is(
    checked.failed ? fc.defaultReportMessage(checked) : undefined,
    undefined,
  );
});

test("the check notices instances that don't report slots in use", (t) => {
  const checked = fc.check(
    fc.property(
      sessions,
      (session) => run(session, { omitsUse: true }) === undefined,
    ),
    { numRuns: 2_000, seed: 4, endOnFailure: true },
  );
  t.true(checked.failed);
});

test("shares are max-min fair and add up to the total", (t) => {
  t.deepEqual(fairShares(11, [1, 20, 20]), [1, 5, 5]);
  t.deepEqual(fairShares(10, [0, 0, 0]), [4, 3, 3]);
  t.deepEqual(fairShares(12, [2, 2, 2]), [4, 4, 4]);
  fc.assert(
    fc.property(
      fc.nat({ max: 300 }),
      fc.array(fc.nat({ max: 100 }), { minLength: 1, maxLength: 9 }),
      (total, demands) => {
        const shares = fairShares(total, demands);
        return shares.reduce((sum, share) => sum + share, 0) === total;
      },
    ),
    { seed: 4 },
  );
});
