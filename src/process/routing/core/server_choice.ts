/**
 * Chooses among servers with a free slot: of two picked at random, the one
 * that is expected to answer sooner.
 *
 * @module
 */

import type { RandomSource } from "../../../base/random_source.ts";

/** A server that could take the call. */
export interface Candidate {
  /** How long it is expected to take; 0 when nothing is known. */
  readonly latencyMs: number;
  readonly inFlight: number;
  /** Slots that this instance may use. */
  readonly slots: number;
}

/** The better of two distinct candidates picked at random. */
export function chooseOfTwo<T extends Candidate>(
  candidates: readonly T[],
  random: RandomSource,
): T | undefined {
  if (candidates.length < 2) {
    return candidates[0];
  }
  const firstAt = random.nextInt(candidates.length);
  const step = 1 + random.nextInt(candidates.length - 1);
  const first = candidates[firstAt];
  const second = candidates[(firstAt + step) % candidates.length];
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  return cost(second) < cost(first) ? second : first;
}

function cost(candidate: Candidate): number {
  const use = (candidate.inFlight + 1) / Math.max(1, candidate.slots);
  return (1 + candidate.latencyMs) * use;
}
