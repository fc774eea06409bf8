/**
 * Tells operators what keeps a member from its vote, and which voters a group
 * without a leader lacks.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { PeerNetwork } from "../../connection/peer_network.ts";
import type { MetricsRegistry } from "../http/mod.ts";
import type { MemberStatus, ReplicatedLog } from "./replicated_log.ts";

const CHECK_PERIOD_MS = 500;

/** A leader that is unknown for longer is logged. An election takes less. */
const LEADERLESS_LOGGED_MS = 2_000;

/** How often a state that lasts is logged again. */
const REPEAT_PERIOD_MS = 10_000;

/** A copy that was current this recently has caught up. */
const CURRENT_WITHIN_MS = 2_500;

/** What a member without a vote waits for. */
export const VoteObstacle = {
  /** No link to any other member is open. */
  link: "link",
  /** No member has named a leader. */
  leader: "leader",
  /** The leader has sent no state yet. */
  state: "state",
  /** The state is behind that of the leader. */
  entries: "entries",
  /** The member has caught up; the leader has enough voters. */
  vacancy: "vacancy",
} as const;

/** One of the values of {@link VoteObstacle}. */
export type VoteObstacle = typeof VoteObstacle[keyof typeof VoteObstacle];

/** What a member without a vote waits for. */
export function findVoteObstacle(
  status: Pick<MemberStatus, "leaderId" | "commitIndex" | "currentAtMs">,
  { linkedIds, nowMs }: { linkedIds: readonly InstanceId[]; nowMs: number },
): VoteObstacle {
  if (linkedIds.length === 0) {
    return VoteObstacle.link;
  }
  if (status.leaderId === undefined) {
    return VoteObstacle.leader;
  }
  if (status.commitIndex === 0) {
    return VoteObstacle.state;
  }
  return nowMs - status.currentAtMs <= CURRENT_WITHIN_MS
    ? VoteObstacle.vacancy
    : VoteObstacle.entries;
}

/** Options of {@link GroupMonitor}. */
export interface GroupMonitorOptions {
  readonly log: Pick<ReplicatedLog<unknown, unknown>, "status">;
  readonly network: Pick<PeerNetwork, "selfId" | "linkedPeerIds">;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: MetricsRegistry;
}

/** Logs and measures a member's way to its vote, and times without a leader. */
export class GroupMonitor {
  readonly #options: GroupMonitorOptions;
  readonly #timer: Timer;
  readonly #startedAtMs: number;
  #votedAtMs: number | undefined;
  #leaderKnownAtMs: number;
  #isLeaderless = false;
  #obstacle: VoteObstacle | undefined;
  /** When each event that repeats is logged again, at the earliest. */
  #repeatAtMs = { voteAwaited: 0, groupWithoutLeader: 0 };

  constructor(options: GroupMonitorOptions) {
    const { clock } = options;
    this.#options = options;
    this.#startedAtMs = clock.nowMs();
    this.#leaderKnownAtMs = this.#startedAtMs;
    this.#registerMetrics();
    this.#timer = clock.every(CHECK_PERIOD_MS, () => this.#check());
  }

  close(): void {
    this.#timer.close();
  }

  #registerMetrics(): void {
    const { metrics, clock, log } = this.#options;
    metrics.gauge("sesamethread_time_to_vote_ms", {
      help: "Time from this member's start to its vote, or until now.",
      read: () => (this.#votedAtMs ?? clock.nowMs()) - this.#startedAtMs,
    });
    metrics.gauge("sesamethread_leaderless_ms", {
      help: "How long this member has known no leader, in milliseconds.",
      read: () => this.#leaderlessMs(log.status()),
    });
    metrics.gauge("sesamethread_voters_without_link", {
      help: "Voters to which this member has no open link.",
      read: () => this.#lackingIds(log.status()).length,
    });
  }

  #check(): void {
    const status = this.#options.log.status();
    this.#checkVote(status);
    this.#checkLeader(status);
  }

  #checkVote(status: MemberStatus): void {
    const { clock, events, network } = this.#options;
    const nowMs = clock.nowMs();
    const sinceStartMs = Math.round(nowMs - this.#startedAtMs);
    const isVoter = status.voterIds.includes(network.selfId);
    if (isVoter) {
      if (this.#votedAtMs === undefined || this.#obstacle !== undefined) {
        events.emit("voteGained", { group: status.groupId, sinceStartMs });
      }
      this.#votedAtMs ??= nowMs;
      this.#obstacle = undefined;
      return;
    }
    const linkedIds = network.linkedPeerIds();
    const obstacle = findVoteObstacle(status, { linkedIds, nowMs });
    const isRepeated = obstacle !== VoteObstacle.vacancy &&
      nowMs >= this.#repeatAtMs.voteAwaited;
    if (obstacle === this.#obstacle && !isRepeated) {
      return;
    }
    this.#obstacle = obstacle;
    this.#repeatAtMs.voteAwaited = nowMs + REPEAT_PERIOD_MS;
    events.emit("voteAwaited", {
      group: status.groupId,
      waitingFor: obstacle,
      sinceStartMs,
      leader: status.leaderId,
      linked: linkedIds.join(","),
    });
  }

  #checkLeader(status: MemberStatus): void {
    const { clock, events } = this.#options;
    const nowMs = clock.nowMs();
    const leaderlessMs = Math.round(this.#leaderlessMs(status));
    if (status.leaderId !== undefined) {
      if (this.#isLeaderless) {
        events.emit("groupHasLeader", {
          group: status.groupId,
          leader: status.leaderId,
          afterMs: Math.round(nowMs - this.#leaderKnownAtMs),
        });
      }
      this.#leaderKnownAtMs = nowMs;
      this.#isLeaderless = false;
      return;
    }
    // A member without state knows no voters; voteAwaited says what it lacks.
    const isDue = status.voterIds.length > 0 &&
      leaderlessMs >= LEADERLESS_LOGGED_MS &&
      (!this.#isLeaderless || nowMs >= this.#repeatAtMs.groupWithoutLeader);
    if (isDue) {
      this.#isLeaderless = true;
      this.#repeatAtMs.groupWithoutLeader = nowMs + REPEAT_PERIOD_MS;
      const { voterIds } = status;
      events.emit("groupWithoutLeader", {
        group: status.groupId,
        leaderlessMs,
        voters: voterIds.join(","),
        lacking: this.#lackingIds(status).join(","),
        needed: Math.floor(voterIds.length / 2) + 1,
        term: status.term,
      });
    }
  }

  #leaderlessMs({ leaderId }: MemberStatus): number {
    return leaderId === undefined
      ? this.#options.clock.nowMs() - this.#leaderKnownAtMs
      : 0;
  }

  #lackingIds({ voterIds }: MemberStatus): InstanceId[] {
    const { network } = this.#options;
    const linkedIds = network.linkedPeerIds();
    return voterIds.filter((id) =>
      id !== network.selfId && !linkedIds.includes(id)
    );
  }
}
