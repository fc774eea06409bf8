/**
 * `GET /healthz`: whether a load balancer should send calls to this instance.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { type HttpEndpoint, jsonAnswer } from "./http_endpoint.ts";

/** Whether the instance is ready for new calls. */
export const Readiness = {
  starting: "starting",
  ready: "ready",
  stopping: "stopping",
} as const;

/** One of the values of {@link Readiness}. */
export type Readiness = typeof Readiness[keyof typeof Readiness];

/** Answers 200 when ready and 503 otherwise, with the state in the body. */
export function healthEndpoint(readiness: () => Readiness): HttpEndpoint {
  return {
    method: "GET",
    path: "/healthz",
    bodyLimitBytes: 0,
    handle: () => {
      const state = readiness();
      const status = state === Readiness.ready ? 200 : 503;
      return Promise.resolve(Right(jsonAnswer(status, { state })));
    },
  };
}
