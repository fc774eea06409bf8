/**
 * What showed a leader that a run is over. Logged with the run's end, and not
 * part of the replicated state.
 *
 * @module
 */

/** What showed that a run is over. */
export const RunEndProof = {
  /** A report of the worker lists the end. */
  report: "report",
  /**
   * A complete report that was asked for after the run was confirmed or stopped
   * lists neither the run nor its end.
   */
  absent: "absent",
  /** A process that began later answered at the worker's address. */
  incarnation: "incarnation",
  /**
   * Every lease of the worker, silent or without a record, has ended, and so has
   * the longest one of a later incarnation that may have carried a late start out.
   */
  lease: "lease",
  /** The worker refused the only start that was sent, or none was sent. */
  refused: "refused",
} as const;

/** One of the values of {@link RunEndProof}. */
export type RunEndProof = typeof RunEndProof[keyof typeof RunEndProof];
