/**
 * An instance that replicates the batch scheduler's state: its connections to
 * the others, its member of the replication group, and the scheduler itself.
 *
 * @module
 */

import type { Result } from "../../base/sesame_error.ts";
import type { Clock, EventLog, RandomSource, Storage } from "../../base/mod.ts";
import { ClusterKey, WsPeerNetwork } from "../../connection/mod.ts";
import { GroupMonitor, ReplicationMember } from "../replication/mod.ts";
import type { MetricsRegistry } from "../http/mod.ts";
import { HybridClock } from "../timeline/mod.ts";
import type { BatchCommand, BatchOutcome } from "./batch_command.ts";
import { delayCostCounters, registerBatchMetrics } from "./batch_metrics.ts";
import { BatchService } from "./batch_service.ts";
import { BatchState } from "./batch_state.ts";
import type { BatchTiming } from "./batch_timing.ts";
import { PeerList } from "./peer_list.ts";
import type { WorkerCalls } from "./worker_calls.ts";

/** The group's ID in its messages and on disk. */
const GROUP_ID = "batch";

/**
 * Elections are fast: urgent jobs leave 1.7 s for one, and the members are at
 * most 20 ms apart. A leader counts as silent after four lost heartbeats, another
 * voter after ten: a lost one must be replaced before the next may be lost.
 */
export const GROUP_TIMING = {
  tickMs: 25,
  heartbeatMs: 150,
  leaderSilenceMs: 650,
  electionMinMs: 700,
  electionMaxMs: 950,
  retryMinMs: 80,
  retryMaxMs: 250,
  voterSilenceMs: 1_500,
  followMs: 500,
  // A new member gets one chunk a round trip, of 40 ms between regions.
  chunkBytes: 256 * 1_024,
} as const;

/** Options of {@link StateHost}. */
export interface StateHostOptions {
  readonly selfId: string;
  /** The instances from the settings that replicate the state. */
  readonly seedIds: readonly string[];
  /** How many instances may be lost at once, with their disks. */
  readonly lossesBorne: number;
  /** Whether the seeds form a new group; only at the system's first start. */
  readonly formsGroup: boolean;
  /** The peer address of an instance. */
  readonly peerAddressOf: (id: string) => string;
  readonly clusterName: string;
  readonly clusterKey: Uint8Array;
  readonly storage: Storage;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly calls: WorkerCalls;
  readonly timing: BatchTiming;
  readonly metrics: MetricsRegistry;
}

/** Replicates the state on this instance, and runs the scheduler on it. */
export class StateHost {
  readonly service: BatchService;
  readonly member: ReplicationMember<BatchCommand, BatchOutcome>;
  readonly #network: WsPeerNetwork;
  readonly #peers: PeerList;
  readonly #monitor: GroupMonitor;

  private constructor(
    options: StateHostOptions,
    opened: {
      network: WsPeerNetwork;
      member: ReplicationMember<BatchCommand, BatchOutcome>;
      state: BatchState;
      peers: PeerList;
    },
  ) {
    const { network, member, state, peers } = opened;
    const { clock, events, selfId, calls, timing } = options;
    this.#network = network;
    this.member = member;
    const commits = options.metrics.histogram("sesamethread_commit_ms", {
      help: "Time from the proposal of a batch to its commit, in milliseconds.",
    });
    this.service = new BatchService({
      member,
      state,
      selfId,
      clock,
      calls,
      events,
      timing,
      onCommit: (durationMs) => commits.record(durationMs),
      onDelayCost: delayCostCounters(options.metrics),
    });
    registerBatchMetrics(options.metrics, this.service, member);
    this.#peers = peers;
    this.#monitor = new GroupMonitor({
      log: member,
      network,
      clock,
      events,
      metrics: options.metrics,
    });
  }

  /** Connects to the peers, reads the stored state and joins the group. */
  static async open(options: StateHostOptions): Promise<Result<StateHost>> {
    const { selfId, seedIds, peerAddressOf } = options;
    const addressOf = (id: string) => ({ id, address: peerAddressOf(id) });
    const peers: PeerList = new PeerList({
      selfId,
      seedIds,
      connect: (id) => network.addPeer(addressOf(id)),
    });
    const network: WsPeerNetwork = new WsPeerNetwork({
      self: addressOf(selfId),
      peers: seedIds.filter((id) => id !== selfId).map(addressOf),
      clusterName: options.clusterName,
      clusterKey: new ClusterKey({ key: options.clusterKey }),
      clock: options.clock,
      hybridClock: new HybridClock({ clock: options.clock }),
      random: options.random,
      events: options.events,
      admit: addressOf,
      onAdmitted: (id) => peers.admit(id),
      metrics: options.metrics,
    });
    await network.open();
    const state = new BatchState();
    const opened = await ReplicationMember.open<BatchCommand, BatchOutcome>({
      groupId: GROUP_ID,
      members: peers.members,
      founderIds: options.formsGroup ? options.seedIds : [],
      wantedVoters: wantedVoters(options),
      onMemberDiscovered: (id) => peers.add(id),
      network,
      clock: options.clock,
      random: options.random,
      machine: state,
      storage: options.storage,
      events: options.events,
      timing: GROUP_TIMING,
    });
    return opened.map((member) =>
      new StateHost(options, { network, member, state, peers })
    );
  }

  /** Connects to the instances of settings that were read again. */
  addSeeds(seedIds: readonly string[]): void {
    seedIds.forEach((id) => this.#peers.add(id));
  }

  async close(): Promise<void> {
    this.#monitor.close();
    await this.service.close();
    await this.#network.close();
  }
}

/** The smallest number of voters of which a majority survives the losses. */
function wantedVoters({ lossesBorne }: { lossesBorne: number }): number {
  return 2 * lossesBorne + 1;
}
