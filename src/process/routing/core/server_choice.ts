/**
 * Chooses among servers with a free slot by the power of two choices: picks
 * two at random and takes the one that is expected to answer sooner.
 *
 * @module
 */

import type { RandomSource } from "../../../base/random_source.ts";

/** A server that could take the call. */
export interface Candidate {
  /** Expected latency; 0 when unknown. */
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
  const firstIndex = random.nextInt(candidates.length);
  const offset = 1 + random.nextInt(candidates.length - 1);
  const first = candidates[firstIndex];
  const second = candidates[(firstIndex + offset) % candidates.length];
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  return cost(second) < cost(first) ? second : first;
}

function cost(candidate: Candidate): number {
  const load = (candidate.inFlight + 1) / Math.max(1, candidate.slots);
  return (1 + candidate.latencyMs) * load;
}
