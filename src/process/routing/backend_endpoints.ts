/**
 * `POST /v1/backends/:id/announce` for backend servers and `GET /v1/backends`
 * for operators.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { isIdentity } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type { ConfigurationSource } from "../configuration/configuration_source.ts";
import {
  type HttpAnswer,
  type HttpCall,
  type HttpEndpoint,
  jsonAnswer,
} from "../http/mod.ts";
import { announcementBodySchema, type ServerAnnouncement } from "./core/mod.ts";
import type { Router } from "./router.ts";

const ANNOUNCEMENT_LIMIT_BYTES = 4_096;

/** Options of {@link backendEndpoints}. */
export interface BackendEndpointsOptions {
  readonly clock: Clock;
  readonly router: Router;
  readonly configuration: ConfigurationSource;
  readonly onAnnounced: (announcement: ServerAnnouncement) => void;
}

/** The endpoints for announcing and listing backend servers. */
export function backendEndpoints(
  options: BackendEndpointsOptions,
): HttpEndpoint[] {
  return [{
    method: "POST",
    path: "/v1/backends/:id/announce",
    bodyLimitBytes: ANNOUNCEMENT_LIMIT_BYTES,
    handle: (call) => Promise.resolve(announce(call, options)),
  }, {
    method: "GET",
    path: "/v1/backends",
    bodyLimitBytes: 0,
    handle: () => Promise.resolve(Right(listServers(options))),
  }];
}

function announce(
  call: HttpCall,
  options: BackendEndpointsOptions,
): Result<HttpAnswer> {
  const serverId = call.parameters["id"] ?? "";
  if (!isIdentity(serverId)) {
    return failure("malformed", { location: "id" });
  }
  return readAnnouncement(call).chain((body) => {
    const { document } = options.configuration.current();
    if (document.services[body.service] === undefined) {
      const detail = `There is no service ${body.service}.`;
      return failure<HttpAnswer>("notFound", { detail });
    }
    options.onAnnounced({ ...body, serverId });
    return Right(jsonAnswer(200, { serverId }));
  });
}

function readAnnouncement(
  call: HttpCall,
): Result<Omit<ServerAnnouncement, "serverId">> {
  const parsed = announcementBodySchema.safeParse(parseJson(call.body));
  if (parsed.success) {
    return Right(parsed.data);
  }
  const [issue] = parsed.error.issues;
  return failure("malformed", {
    detail: issue?.message ?? "The body isn't an announcement.",
    location: issue?.path.join(".") ?? "",
  });
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(body));
  } catch {
    return undefined;
  }
}

function listServers(options: BackendEndpointsOptions): HttpAnswer {
  const nowMs = options.clock.nowMs();
  const backends = [];
  for (const { servers } of options.router.core.services.values()) {
    for (const server of servers.servers) {
      const { announcement, health } = server;
      backends.push({
        ...announcement,
        heardMsAgo: Math.round(nowMs - server.announcedAtMs),
        health: health.state,
        latencyMs: Math.round(health.latency.meanMs * 10) / 10,
        slotsHere: servers.slotsOf(server),
        inFlightHere: server.attempts.size,
      });
    }
  }
  return jsonAnswer(200, { backends });
}
