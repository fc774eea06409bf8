/**
 * What all subsystems of a daemon share: clock, randomness, timeline, peer
 * network, membership and metrics.
 *
 * @module
 */

import type { Clock, RandomSource, Result } from "../../base/mod.ts";
import { WsPeerNetwork } from "../../connection/mod.ts";
import { MetricsRegistry } from "../http/mod.ts";
import { Membership } from "../membership/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { HybridClock, Timeline, TimelineService } from "../timeline/mod.ts";
import { type ClusterFiles, readClusterFiles } from "./cluster_files.ts";
import { createLogger } from "./logger.ts";

/** Shared by all subsystems of one daemon. */
export interface DaemonBase {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Start time in ms, and so greater than in earlier runs of the instance. */
  readonly incarnation: number;
  readonly timeline: Timeline;
  readonly network: WsPeerNetwork;
  readonly membership: Membership;
  readonly timelineService: TimelineService;
  readonly metrics: MetricsRegistry;
}

/** Reads the cluster's files and creates the base; opens no connections. */
export function createDaemonBase(
  settings: Settings,
  options: { clock: Clock; random: RandomSource },
): Result<DaemonBase> {
  return readClusterFiles(settings.cluster)
    .map((files) => composeBase(settings, { ...options, files }));
}

function composeBase(
  settings: Settings,
  options: { clock: Clock; random: RandomSource; files: ClusterFiles },
): DaemonBase {
  const { clock, random, files } = options;
  const incarnation = Math.floor(clock.nowMs());
  const hybridClock = new HybridClock({ clock });
  const timeline = new Timeline({
    instanceId: settings.instance.id,
    hybridClock,
    capacity: settings.log.timelineEvents,
    logger: createLogger(settings.log),
  });
  const shared = { clock, random, hybridClock, events: timeline };
  const metrics = new MetricsRegistry();
  const network = createNetwork(settings, { ...shared, files, metrics });
  const membership = new Membership({
    self: settings.instance,
    httpAddress: settings.instance.httpAddress,
    peers: settings.peers.map(({ id, dataCentre, region }) => ({
      id,
      dataCentre,
      region,
    })),
    incarnation,
    network,
    clock,
    events: timeline,
  });
  registerTrafficMetrics(metrics, network);
  return {
    settings,
    clock,
    random,
    incarnation,
    timeline,
    network,
    membership,
    timelineService: new TimelineService({ timeline, network, clock }),
    metrics,
  };
}

function registerTrafficMetrics(
  metrics: MetricsRegistry,
  network: WsPeerNetwork,
): void {
  metrics.gauge("sesamethread_peer_sent_bytes", {
    help: "Bytes of frames sent to other instances since the start.",
    read: () => network.traffic.sentBytes,
  });
  metrics.gauge("sesamethread_peer_sent_messages", {
    help: "Messages sent to other instances since the start.",
    read: () => network.traffic.sentMessages,
  });
  metrics.gauge("sesamethread_peer_rejected_connections", {
    help: "Connections of peers that were closed because of an error.",
    read: () => network.traffic.rejectedConnections,
  });
}

function createNetwork(
  settings: Settings,
  options: {
    clock: Clock;
    random: RandomSource;
    hybridClock: HybridClock;
    events: Timeline;
    files: ClusterFiles;
    metrics: MetricsRegistry;
  },
): WsPeerNetwork {
  const { files, ...shared } = options;
  const { id, peerAddress } = settings.instance;
  return new WsPeerNetwork({
    ...shared,
    self: { id, address: peerAddress },
    peers: settings.peers.map((peer) => ({
      id: peer.id,
      address: peer.peerAddress,
    })),
    clusterName: settings.cluster.name,
    clusterKey: files.clusterKey,
    ...(files.tls === undefined ? {} : { tls: files.tls }),
  });
}
