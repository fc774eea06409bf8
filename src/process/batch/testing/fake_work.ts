/**
 * The work of a run on a worker of the fake pool, and how far it is.
 *
 * @module
 */

import type { RandomSource } from "../../../base/mod.ts";

/** The work of a run, with a time in which it stands still. */
export interface FakeWork {
  readonly beganAtMs: number;
  /** Without the time in which it stands still. */
  readonly durationMs: number;
  readonly hangsAfterMs: number;
  readonly hangMs: number;
}

/** How long a run that hangs stands still: longer than it takes. */
export const HANG_MS = 30_000;

/** Draws whether and when the work of a run stands still. */
export function drawWork(
  work: Pick<FakeWork, "beganAtMs" | "durationMs">,
  { random, hungRuns }: { random: RandomSource; hungRuns: number },
): FakeWork {
  // Without the fault nothing is drawn, so that seeds keep their histories.
  if (hungRuns === 0 || random.nextUnit() >= hungRuns) {
    return { ...work, hangsAfterMs: 0, hangMs: 0 };
  }
  const hangsAfterMs = work.durationMs * random.nextUnit();
  return { ...work, hangsAfterMs, hangMs: HANG_MS };
}

/** The share of the work that is done, in hundredths; 0 before it began. */
export function progressAt(work: FakeWork | undefined, nowMs: number): number {
  if (work === undefined) {
    return 0;
  }
  const { beganAtMs, durationMs, hangsAfterMs, hangMs } = work;
  const ranMs = nowMs - beganAtMs;
  const hungMs = Math.min(hangMs, Math.max(0, ranMs - hangsAfterMs));
  return Math.floor(100 * Math.min(1, (ranMs - hungMs) / durationMs)) / 100;
}
