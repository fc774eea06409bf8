/**
 * The status of an instance, its groups and its peers.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import { type HttpEndpoint, jsonAnswer } from "../http/mod.ts";
import type { MemberStatus } from "../replication/replicated_log.ts";
import type { DaemonBase } from "./daemon_base.ts";

/** Sources of the status besides {@link DaemonBase}. */
export interface InstanceEndpointsOptions {
  /** The status of this instance's member of each of its groups. */
  readonly groups: () => readonly MemberStatus[];
  readonly configurationVersion: () => number;
}

/** `GET /v1/status`. */
export function instanceEndpoints(
  base: DaemonBase,
  options: InstanceEndpointsOptions,
): HttpEndpoint[] {
  return [{
    method: "GET",
    path: "/v1/status",
    bodyLimitBytes: 0,
    handle: () =>
      Promise.resolve(Right(jsonAnswer(200, statusBody(base, options)))),
  }];
}

function statusBody(
  base: DaemonBase,
  options: InstanceEndpointsOptions,
): unknown {
  const { id, dataCentre, region, hasDisk } = base.settings.instance;
  return {
    instance: {
      id,
      dataCentre,
      region,
      hasDisk,
      incarnation: base.incarnation,
      nowMs: Math.round(base.clock.nowMs()),
    },
    configurationVersion: options.configurationVersion(),
    groups: options.groups(),
    peers: base.membership.peers(),
    linkedPeers: base.network.linkedPeerIds(),
    traffic: base.network.traffic,
  };
}
