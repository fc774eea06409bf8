/**
 * Who is there: pure state, driven by heartbeats and by the passing of time.
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

/** The periods and bounds of failure detection. */
export const MEMBERSHIP_DEFAULTS = {
  heartbeatPeriodMs: 1_000,
  /** The silence that makes a peer suspect, as phi. */
  suspicionPhi: 8,
  /** A mean interval beyond this multiple of the period is slow. */
  slowFactor: 1.5,
  /** How long a peer stays suspect before it counts as dead. */
  suspicionMs: 3_000,
} as const;

/** What is known of one peer. */
export const PeerState = {
  /** Named in the settings, not heard of yet. */
  unknown: "unknown",
  /** Heard directly and on time. */
  alive: "alive",
  /** Heard directly, but late as a rule. */
  slow: "slow",
  /** Not heard here, but by a peer that is heard. */
  unreachable: "unreachable",
  /** Heard by nobody for a surprising time. */
  suspect: "suspect",
  /** Suspect for so long that it is taken to have failed. */
  dead: "dead",
  /** It said that it stops. */
  leaving: "leaving",
} as const;

/** One of the values of {@link PeerState}. */
export type PeerState = typeof PeerState[keyof typeof PeerState];

/** One peer as this instance sees it. */
export interface PeerView {
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly state: PeerState;
  /** Grows with each restart of the peer; 0 while unknown. */
  readonly incarnation: number;
  /** Where it answers HTTP; absent while unknown. */
  readonly httpAddress: string | undefined;
}

/** A peer as the settings name it. */
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

/** A change of state of one peer. */
export interface PeerChange {
  readonly peer: PeerView;
  readonly before: PeerState;
}

/** The state of failure detection in one instance. */
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

  /** The peers that this instance doesn't hear; goes into its heartbeats. */
  missing(): InstanceId[] {
    return [...this.#peers.values()]
      .filter((peer) => !isHeard(peer))
      .map((peer) => peer.configured.id);
  }

  /**
   * Takes in a heartbeat. One of an earlier incarnation, or one overtaken by
   * a later, is dropped.
   */
  heartbeat(
    from: InstanceId,
    options: { heartbeat: Heartbeat; atMs: number },
  ): PeerChange[] {
    const peer = this.#peers.get(from);
    const { heartbeat, atMs } = options;
    if (peer === undefined || isOutdated(peer, heartbeat)) {
      return [];
    }
    this.#noteArrival(peer, heartbeat, atMs);
    peer.incarnation = heartbeat.incarnation;
    peer.sequence = heartbeat.sequence;
    peer.httpAddress = heartbeat.httpAddress;
    peer.isLeaving = heartbeat.isLeaving;
    peer.missing = new Set(heartbeat.missing);
    return this.#judgeAll(atMs);
  }

  /** Lets time pass. */
  tick(atMs: number): PeerChange[] {
    return this.#judgeAll(atMs);
  }

  #noteArrival(peer: PeerRecord, heartbeat: Heartbeat, atMs: number): void {
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

  #judgeAll(atMs: number): PeerChange[] {
    const changes: PeerChange[] = [];
    for (const peer of this.#peers.values()) {
      const before = peer.state;
      peer.state = this.#judge(peer, atMs);
      if (peer.state !== before) {
        changes.push({ peer: viewOf(peer), before });
      }
    }
    return changes;
  }

  #judge(peer: PeerRecord, atMs: number): PeerState {
    if (peer.arrivals === undefined) {
      return PeerState.unknown;
    }
    const isSilent =
      peer.arrivals.phi(atMs) >= MEMBERSHIP_DEFAULTS.suspicionPhi;
    if (!isSilent) {
      peer.suspectUntilMs = undefined;
      return this.#judgeHeard(peer);
    }
    if (this.#isHeardByAnother(peer, atMs)) {
      peer.suspectUntilMs = undefined;
      return PeerState.unreachable;
    }
    peer.suspectUntilMs ??= atMs + MEMBERSHIP_DEFAULTS.suspicionMs;
    return atMs < peer.suspectUntilMs ? PeerState.suspect : PeerState.dead;
  }

  #judgeHeard(peer: PeerRecord): PeerState {
    if (peer.isLeaving) {
      return PeerState.leaving;
    }
    const meanMs = peer.arrivals?.meanMs() ?? this.#periodMs;
    const isSlow = meanMs > this.#periodMs * MEMBERSHIP_DEFAULTS.slowFactor;
    return isSlow ? PeerState.slow : PeerState.alive;
  }

  #isHeardByAnother(silent: PeerRecord, atMs: number): boolean {
    for (const other of this.#peers.values()) {
      const isWitness = other !== silent && other.arrivals !== undefined &&
        other.arrivals.phi(atMs) < MEMBERSHIP_DEFAULTS.suspicionPhi;
      if (isWitness && !other.missing.has(silent.configured.id)) {
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

function isHeard(peer: PeerRecord): boolean {
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
