/**
 * Room that is held for one gang while work on it ends or is evicted.
 *
 * @module
 */

import type { JobState } from "./job_state.ts";
import type { Block } from "./placement.ts";

/** The longest that a reservation drains before work is moved for it. */
export const DRAIN_LIMIT_MS = 60_000;

/** Why room is held. */
export const ReservationKind = {
  /** For a guarantee, whose borrowers are being evicted. */
  reclaim: "reclaim",
  /** For urgent work, whose victims are being evicted. */
  preemption: "preemption",
  /** For a large gang, behind which short work goes on till the deadline. */
  drain: "drain",
} as const;

/** One of the values of {@link ReservationKind}. */
export type ReservationKind =
  typeof ReservationKind[keyof typeof ReservationKind];

/** Room held for one gang. */
export interface Reservation {
  readonly kind: ReservationKind;
  readonly job: JobState;
  readonly block: Block;
  /** When what still stands in the way is evicted, or the room given up. */
  deadlineMs: number;
  /** Whether eviction has been ordered. */
  isEvicting: boolean;
}
