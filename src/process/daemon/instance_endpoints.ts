/**
 * What an instance says of itself and of its peers.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/mod.ts";
import type { WsPeerNetwork } from "../../connection/mod.ts";
import { type HttpEndpoint, jsonAnswer } from "../http/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { MemberStatus } from "../replication/replicated_log.ts";
import type { Settings } from "../settings/mod.ts";

/** What the status endpoint looks at. */
export interface InstanceEndpointsOptions {
  readonly settings: Settings;
  readonly incarnation: number;
  readonly network: WsPeerNetwork;
  readonly membership: Membership;
  readonly clock: Clock;
  /** Where this instance stands in each of its groups. */
  readonly groups: () => readonly MemberStatus[];
  readonly configurationVersion: () => number;
}

/** `GET /v1/status`. */
export function instanceEndpoints(
  options: InstanceEndpointsOptions,
): HttpEndpoint[] {
  return [{
    method: "GET",
    path: "/v1/status",
    bodyLimitBytes: 0,
    handle: () =>
      Promise.resolve(Right(jsonAnswer(200, describeInstance(options)))),
  }];
}

function describeInstance(options: InstanceEndpointsOptions): unknown {
  const { id, dataCentre, region, hasDisk } = options.settings.instance;
  return {
    instance: {
      id,
      dataCentre,
      region,
      hasDisk,
      incarnation: options.incarnation,
      nowMs: Math.round(options.clock.nowMs()),
    },
    configurationVersion: options.configurationVersion(),
    groups: options.groups(),
    peers: options.membership.peers(),
    linkedPeers: options.network.linkedPeerIds(),
    traffic: options.network.traffic,
  };
}
