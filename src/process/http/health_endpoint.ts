/**
 * `GET /healthz`: whether the platform's balancer should send callers here.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { type HttpEndpoint, jsonAnswer } from "./http_endpoint.ts";

/** Whether the instance takes new calls. */
export const Readiness = {
  starting: "starting",
  ready: "ready",
  stopping: "stopping",
} as const;

/** One of the values of {@link Readiness}. */
export type Readiness = typeof Readiness[keyof typeof Readiness];

/** 200 when ready, 503 otherwise; the body says which. */
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
