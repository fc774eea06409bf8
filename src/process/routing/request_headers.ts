/**
 * HTTP headers between callers, instances and backend servers.
 *
 * @module
 */

/** Header fields of requests and answers. */
export const RequestHeader = {
  /** The caller's ID of its request; the same on every retry. */
  requestId: "sesamethread-request",
  requestClass: "sesamethread-class",
  /** How long the caller still waits. */
  timeoutMs: "sesamethread-timeout-ms",
  /** `true` or `false`; `false` when absent. */
  idempotent: "sesamethread-idempotent",
  clientAccount: "sesamethread-client-account",
  /** The path that the backend server sees; `/` when absent. */
  path: "sesamethread-path",
  /** The backend server that answered. */
  server: "sesamethread-server",
  /** `true` on an earlier answer that was recorded in the ledger. */
  recorded: "sesamethread-recorded",
  /** Identifies one attempt on a server, which must echo it. */
  correlation: "sesamethread-correlation",
} as const;
