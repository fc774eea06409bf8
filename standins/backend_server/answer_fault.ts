/**
 * The faults that a stand-in backend server can be told to have.
 *
 * @module
 */

import * as z from "zod";

/** What a server does wrong with a request. */
export const ServerFault = {
  none: "none",
  /** Answers at once that it failed. */
  fail: "fail",
  /** Takes many times as long. */
  slow: "slow",
  /** Never answers. */
  hang: "hang",
  /** Closes the connection without an answer, after running the request. */
  drop: "drop",
  /** Answers after the caller's timeout. */
  late: "late",
  /** Answers with the correlation identity of another request. */
  crossed: "crossed",
  /** Answers twice. */
  doubled: "doubled",
  /** Ends in the middle of the answer. */
  truncated: "truncated",
  /** Stops at once, with everything on its way. */
  die: "die",
} as const;

/** One of the values of {@link ServerFault}. */
export type ServerFault = typeof ServerFault[keyof typeof ServerFault];

/** The body of `POST /faults`. */
export const faultPlanSchema = z.strictObject({
  fault: z.enum(ServerFault),
  /** The part of the requests that meet the fault. */
  fraction: z.number().min(0).max(1).default(1),
  /** How many times as long a slow server takes. */
  slowFactor: z.number().min(1).max(1_000).default(10),
});

/** Which requests meet which fault. */
export type FaultPlan = z.infer<typeof faultPlanSchema>;

/** A server without faults. */
export const NO_FAULTS: FaultPlan = {
  fault: ServerFault.none,
  fraction: 1,
  slowFactor: 10,
};
