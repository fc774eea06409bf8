import test from "ava";
import fc from "fast-check";
import { shareOut, SlotAllocator, type SlotGrant } from "./slot_allocator.ts";

const CAPACITY = new Map([["s1", 4], ["s2", 4], ["s3", 2]]);

/** An instance that takes slots up to its grant and keeps some in use. */
interface TrueHolder {
  grantId: number;
  granted: ReadonlyMap<string, number>;
  inUse: Map<string, number>;
  demand: number;
}

interface Session {
  readonly rounds: readonly {
    readonly demands: readonly number[];
    /** Which reports and grants are lost. */
    readonly lost: readonly boolean[];
    /** How many slots each holder keeps in use, as a fraction. */
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

/** Plays a session; gives the server that was promised twice, if any. */
function play(
  session: Session,
  options: { hidesUse: boolean },
): string | undefined {
  const allocator = new SlotAllocator({ firstGrantId: 0 });
  const holders: TrueHolder[] = [0, 1, 2].map(() => ({
    grantId: 0,
    granted: new Map(),
    inUse: new Map(),
    demand: 0,
  }));
  for (const { demands, lost, use } of session.rounds) {
    holders.forEach((holder, at) => {
      holder.demand = demands[at] ?? 0;
      if (lost[at] !== true) {
        const holds = options.hidesUse
          ? new Map<string, number>()
          : overUse(holder);
        const { demand, grantId } = holder;
        allocator.report({ instanceId: `i${at}`, demand, grantId, holds });
      }
    });
    for (const grant of allocator.allocate(CAPACITY)) {
      const at = Number(grant.instanceId.slice(1));
      if (lost[3 + at] !== true) {
        obey(holders[at], grant);
      }
    }
    holders.forEach((holder, at) => takeSlots(holder, use[at] ?? 0));
    const broken = promisedTwice(holders);
    if (broken !== undefined) {
      return broken;
    }
  }
  return undefined;
}

function obey(holder: TrueHolder | undefined, grant: SlotGrant): void {
  if (holder !== undefined && grant.grantId > holder.grantId) {
    holder.grantId = grant.grantId;
    holder.granted = grant.slots;
  }
}

function overUse(holder: TrueHolder): Map<string, number> {
  return new Map(
    [...holder.inUse].filter(([id, used]) =>
      used > (holder.granted.get(id) ?? 0)
    ),
  );
}

/** Starts up to the grant; what runs already ends only now and then. */
function takeSlots(holder: TrueHolder, use: number): void {
  for (const serverId of CAPACITY.keys()) {
    const granted = holder.granted.get(serverId) ?? 0;
    const running = holder.inUse.get(serverId) ?? 0;
    const wanted = Math.round(granted * use);
    const ended = use < 0.5 ? running - 1 : running;
    holder.inUse.set(serverId, Math.max(0, ended, wanted));
  }
}

function promisedTwice(holders: readonly TrueHolder[]): string | undefined {
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

test("no slot is promised twice, whatever is lost or in use", (t) => {
  const checked = fc.check(
    fc.property(
      sessions,
      (session) => play(session, { hidesUse: false }) === undefined,
    ),
    { numRuns: 2_000, seed: 4 },
  );
  t.is(
    checked.failed ? fc.defaultReportMessage(checked) : undefined,
    undefined,
  );
});

test("the check notices holders that hide what they use", (t) => {
  const checked = fc.check(
    fc.property(
      sessions,
      (session) => play(session, { hidesUse: true }) === undefined,
    ),
    { numRuns: 2_000, seed: 4, endOnFailure: true },
  );
  t.true(checked.failed);
});

test("shares are max-min fair and use everything", (t) => {
  t.deepEqual(shareOut(11, [1, 20, 20]), [1, 5, 5]);
  t.deepEqual(shareOut(10, [0, 0, 0]), [4, 3, 3]);
  t.deepEqual(shareOut(12, [2, 2, 2]), [4, 4, 4]);
  fc.assert(
    fc.property(
      fc.nat({ max: 300 }),
      fc.array(fc.nat({ max: 100 }), { minLength: 1, maxLength: 9 }),
      (total, demands) => {
        const shares = shareOut(total, demands);
        return shares.reduce((sum, share) => sum + share, 0) === total;
      },
    ),
    { seed: 4 },
  );
});
