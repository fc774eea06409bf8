/**
 * The faults that can be injected into a stand-in backend server.
 *
 * @module
 */

import * as z from "zod";

/** How a server mishandles a request. */
export const ServerFault = {
  none: "none",
  /** Answers immediately with status 500. */
  fail: "fail",
  /** Takes `slowFactor` times as long. */
  slow: "slow",
  /** Never answers. */
  hang: "hang",
  /** Closes the connection without an answer, after running the request. */
  drop: "drop",
  /** Answers after the caller's timeout. */
  late: "late",
  /** Answers with the correlation ID of another request. */
  crossed: "crossed",
  /** Answers twice. */
  doubled: "doubled",
  /** Closes the connection in the middle of the answer. */
  truncated: "truncated",
  /** Stops after running the request, and aborts all running requests. */
  die: "die",
} as const;

/** One of the values of {@link ServerFault}. */
export type ServerFault = typeof ServerFault[keyof typeof ServerFault];

/** The body of `POST /faults`. */
export const faultPlanSchema = z.strictObject({
  fault: z.enum(ServerFault),
  /** The fraction of requests that are affected by the fault. */
  fraction: z.number().min(0).max(1).default(1),
  /** The factor by which a slow server's service times grow. */
  slowFactor: z.number().min(1).max(1_000).default(10),
});

/** The fault in force, and which requests it affects. */
export type FaultPlan = z.infer<typeof faultPlanSchema>;

/** A server without faults. */
export const NO_FAULTS: FaultPlan = {
  fault: ServerFault.none,
  fraction: 1,
  slowFactor: 10,
};
