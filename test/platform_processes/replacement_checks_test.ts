import test from "ava";
import type { LogLine } from "./programs.ts";
import { type Check, checkWaves } from "./replacement_checks.ts";
import type { PlayedWave } from "./replacement_play.ts";
import { VoterLog } from "./voter_log.ts";

const BOUNDS = { lossesBorne: 1, catchUpMs: 4_000, contactMs: 5_000 };

function core(name: string) {
  return { name, host: `host-${name}`, role: "core", dataCentre: "x" } as const;
}

const LOST_AT_MS = 10_000;
const STARTED_AT_MS = 10_500;

/** Core a is lost, and d starts in its place, or a itself without its disk. */
function waveOf(kind: "replaced" | "wiped"): PlayedWave {
  const returned = core(kind === "replaced" ? "d" : "a");
  return {
    atMs: LOST_AT_MS,
    leader: "a",
    lost: [core("a")],
    living: [core("b"), core("c")],
    returns: [{
      ...{ lostName: "a", name: returned.name, host: returned.host, kind },
      ...{ atMs: STARTED_AT_MS, seeds: [] },
    }],
  };
}

/** Changes of the voters, by time, in the log of core b. */
function logOf(changes: Record<number, string>): LogLine[] {
  return Object.entries(changes).map(([atMs, names]) => ({
    program: "b",
    life: 1,
    event: "membersChanged",
    atMs: Number(atMs),
    fields: { voters: [...names].map((name) => `host-${name}`).join() },
    text: "",
  }));
}

function check(
  kind: "replaced" | "wiped",
  options: { changes?: Record<number, string>; answersAfterMs?: number },
): Check[] {
  const { changes = {}, answersAfterMs = 100 } = options;
  const lines = logOf(changes);
  const founders = ["host-a", "host-b", "host-c"];
  return checkWaves({
    waves: [waveOf(kind)],
    voterLog: new VoterLog({ lines: () => lines }, founders),
    monitor: {
      firstAnswer: (name, fromMs) => ({
        ...{ core: name, status: 200, version: 7, sentAtMs: fromMs },
        endedAtMs: fromMs + answersAfterMs,
      }),
    },
    bounds: BOUNDS,
  });
}

function met(checks: readonly Check[]): boolean[] {
  return checks.map(({ isMet }) => isMet);
}

test("a successor that votes in time meets all checks", (t) => {
  const changes = { 11_000: "abcd", 11_500: "bcd" };
  t.deepEqual(met(check("replaced", { changes })), [true, true, true]);
});

test("a lost voter that isn't replaced in time leaves no reserve", (t) => {
  t.deepEqual(met(check("replaced", {})), [true, true, false]);
  const late = { 14_600: "abcd", 14_900: "bcd" };
  t.deepEqual(met(check("replaced", { changes: late })), [true, true, false]);
});

test("four voters of which one is lost bear no further loss", (t) => {
  const changes = { 11_000: "abcd" };
  t.deepEqual(met(check("replaced", { changes })), [true, true, false]);
});

test("a core without its disk has to be removed and added again", (t) => {
  t.deepEqual(met(check("wiped", {})), [true, true, false]);
  const changes = { 11_000: "bc", 11_500: "abc" };
  t.deepEqual(met(check("wiped", { changes })), [true, true, true]);
});

test("answers that come after the bound are too late", (t) => {
  const changes = { 11_000: "abcd", 11_500: "bcd" };
  const checks = check("replaced", { changes, answersAfterMs: 5_001 });
  t.deepEqual(met(checks), [false, false, true]);
});
