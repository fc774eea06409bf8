/**
 * Failure detection without I/O or timers, driven by heartbeats and time.
 *
 * @module
 */

import type {
  DataCentreId,
  InstanceId,
  RegionId,
} from "../../base/identity.ts";
import { ArrivalWindow } from "./arrival_window.ts";
import type { Heartbeat } from "./heartbeat.ts";

/** Periods and thresholds of failure detection. */
export const MEMBERSHIP_DEFAULTS = {
  heartbeatPeriodMs: 1_000,
  /** The phi value from which a peer is not considered reachable. */
  suspicionPhi: 8,
  /** A peer is slow if its mean interval exceeds this many periods. */
  slowFactor: 1.5,
  /** How long a peer stays suspect before it is considered dead. */
  suspicionMs: 3_000,
} as const;

/** The state of a peer as seen by this instance. */
export const PeerState = {
  /** No heartbeat has been received yet. */
  unknown: "unknown",
  /** Its heartbeats arrive on time. */
  alive: "alive",
  /** Its heartbeats arrive, but their mean interval is too long. */
  slow: "slow",
  /** Not reachable from here, but from another peer that is. */
  unreachable: "unreachable",
  /** Not reachable from here or from any reachable peer. */
  suspect: "suspect",
  /** Suspect for so long that it is considered failed. */
  dead: "dead",
  /** It has announced that it is stopping. */
  leaving: "leaving",
} as const;

/** One of the values of {@link PeerState}. */
export type PeerState = typeof PeerState[keyof typeof PeerState];

/** One peer as seen by this instance. */
export interface PeerView {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly state: PeerState;
  /** Increases with each restart of the peer; 0 while unknown. */
  readonly incarnation: number;
  /** Its HTTP address; undefined while unknown. */
  readonly httpAddress: string | undefined;
}

/** A peer as named in the settings. */
export interface ConfiguredPeer {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
}

interface PeerRecord {
  readonly configured: ConfiguredPeer;
  state: PeerState;
  incarnation: number;
  sequence: number;
  httpAddress: string | undefined;
  isLeaving: boolean;
  missing: ReadonlySet<InstanceId>;
  arrivals: ArrivalWindow | undefined;
  suspectUntilMs: number | undefined;
}

/** A change of a peer's state. */
export interface PeerChange {
  readonly peer: PeerView;
  readonly before: PeerState;
}

/** Failure detection in one instance. */
export class MembershipCore {
  #peers = new Map<InstanceId, PeerRecord>();
  #periodMs: number;

  constructor(options: {
    peers: readonly ConfiguredPeer[];
    heartbeatPeriodMs?: number;
  }) {
    this.#periodMs = options.heartbeatPeriodMs ??
      MEMBERSHIP_DEFAULTS.heartbeatPeriodMs;
    for (const configured of options.peers) {
      this.#peers.set(configured.id, newRecord(configured));
    }
  }

  /** Every configured peer, in the order of the settings. */
  peers(): PeerView[] {
    return [...this.#peers.values()].map(viewOf);
  }

  /** The peers not reachable from here, for this instance's heartbeats. */
  missing(): InstanceId[] {
    return [...this.#peers.values()]
      .filter((peer) => !isReachable(peer))
      .map((peer) => peer.configured.id);
  }

  /**
   * Applies a heartbeat and returns the state changes. A heartbeat that is not
   * newer than the latest one is dropped.
   */
  applyHeartbeat(
    from: InstanceId,
    options: { heartbeat: Heartbeat; atMs: number },
  ): PeerChange[] {
    const peer = this.#peers.get(from);
    const { heartbeat, atMs } = options;
    if (peer === undefined || isOutdated(peer, heartbeat)) {
      return [];
    }
    this.#recordArrival(peer, heartbeat, atMs);
    peer.incarnation = heartbeat.incarnation;
    peer.sequence = heartbeat.sequence;
    peer.httpAddress = heartbeat.httpAddress;
    peer.isLeaving = heartbeat.isLeaving;
    peer.missing = new Set(heartbeat.missing);
    return this.#evaluateAll(atMs);
  }

  /** Re-evaluates all peers at the given time. */
  tick(atMs: number): PeerChange[] {
    return this.#evaluateAll(atMs);
  }

  #recordArrival(peer: PeerRecord, heartbeat: Heartbeat, atMs: number): void {
    const isRestarted = heartbeat.incarnation !== peer.incarnation;
    const wasLost = peer.state === PeerState.dead ||
      peer.state === PeerState.suspect;
    if (peer.arrivals === undefined || isRestarted || wasLost) {
      peer.arrivals = new ArrivalWindow({
        firstAtMs: atMs,
        expectedIntervalMs: this.#periodMs,
      });
      return;
    }
    peer.arrivals.add(atMs);
  }

  #evaluateAll(atMs: number): PeerChange[] {
    const changes: PeerChange[] = [];
    for (const peer of this.#peers.values()) {
      const before = peer.state;
      peer.state = this.#evaluate(peer, atMs);
      if (peer.state !== before) {
        changes.push({ peer: viewOf(peer), before });
      }
    }
    return changes;
  }

  #evaluate(peer: PeerRecord, atMs: number): PeerState {
    if (peer.arrivals === undefined) {
      return PeerState.unknown;
    }
    const isSilent =
      peer.arrivals.phi(atMs) >= MEMBERSHIP_DEFAULTS.suspicionPhi;
    if (!isSilent) {
      peer.suspectUntilMs = undefined;
      return this.#evaluateReachable(peer);
    }
    if (this.#isReachableFromAnother(peer, atMs)) {
      peer.suspectUntilMs = undefined;
      return PeerState.unreachable;
    }
    peer.suspectUntilMs ??= atMs + MEMBERSHIP_DEFAULTS.suspicionMs;
    return atMs < peer.suspectUntilMs ? PeerState.suspect : PeerState.dead;
  }

  #evaluateReachable(peer: PeerRecord): PeerState {
    if (peer.isLeaving) {
      return PeerState.leaving;
    }
    const meanMs = peer.arrivals?.meanMs() ?? this.#periodMs;
    const isSlow = meanMs > this.#periodMs * MEMBERSHIP_DEFAULTS.slowFactor;
    return isSlow ? PeerState.slow : PeerState.alive;
  }

  #isReachableFromAnother(peer: PeerRecord, atMs: number): boolean {
    for (const other of this.#peers.values()) {
      const isWitness = other !== peer && other.arrivals !== undefined &&
        other.arrivals.phi(atMs) < MEMBERSHIP_DEFAULTS.suspicionPhi;
      if (isWitness && !other.missing.has(peer.configured.id)) {
        return true;
      }
    }
    return false;
  }
}

function newRecord(configured: ConfiguredPeer): PeerRecord {
  return {
    configured,
    state: PeerState.unknown,
    incarnation: 0,
    sequence: -1,
    httpAddress: undefined,
    isLeaving: false,
    missing: new Set(),
    arrivals: undefined,
    suspectUntilMs: undefined,
  };
}

function isOutdated(peer: PeerRecord, heartbeat: Heartbeat): boolean {
  if (heartbeat.incarnation !== peer.incarnation) {
    return heartbeat.incarnation < peer.incarnation;
  }
  return heartbeat.sequence <= peer.sequence;
}

function isReachable(peer: PeerRecord): boolean {
  return peer.state === PeerState.alive || peer.state === PeerState.slow ||
    peer.state === PeerState.leaving;
}

function viewOf(peer: PeerRecord): PeerView {
  return {
    ...peer.configured,
    state: peer.state,
    incarnation: peer.incarnation,
    httpAddress: peer.httpAddress,
  };
}
