/**
 * Capacity held for one gang while other gangs on it finish or are evicted.
 *
 * @module
 */

import type { JobState } from "./job_state.ts";
import type { Block } from "./placement.ts";

/** Longest time that a reservation drains before it evicts gangs. */
export const DRAIN_LIMIT_MS = 60_000;

/** Why capacity is reserved. */
export const ReservationKind = {
  /** For a guarantee whose capacity is taken back from borrowing gangs. */
  reclaim: "reclaim",
  /** For an urgent job that evicts less urgent gangs. */
  preemption: "preemption",
  /** For a gang that has waited long; short jobs may backfill meanwhile. */
  drain: "drain",
} as const;

/** One of the values of {@link ReservationKind}. */
export type ReservationKind =
  typeof ReservationKind[keyof typeof ReservationKind];

/** Capacity held for one gang. */
export interface Reservation {
  readonly kind: ReservationKind;
  readonly job: JobState;
  readonly block: Block;
  /**
   * While draining, when the remaining gangs are evicted; once evicting, when
   * the reservation is cancelled.
   */
  deadlineMs: number;
  /** Whether gangs are being evicted for it. */
  isEvicting: boolean;
}
