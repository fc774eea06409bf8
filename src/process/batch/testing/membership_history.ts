/**
 * Random histories of a group whose members are lost and replaced, as early as
 * the settings allow, and what must hold in them.
 *
 * @module
 */

import { SeededRandom } from "../../../base/random_source.ts";
import type { RaftMutation } from "../../replication/raft_mutation.ts";
import { LossPlayer, type LossStep, type SeedChoice } from "./loss_player.ts";
import { MembershipGroup, type Place } from "./membership_group.ts";

/** What a history's deployment is like. */
export interface Deployment {
  readonly places: number;
  readonly lossesBorne: number;
  /** How long after its successor's start a loss still counts. */
  readonly catchUpMs: number;
}

/** Those of the settings, by name. */
export const DEPLOYMENTS = {
  six: { places: 6, lossesBorne: 2, catchUpMs: 6_000 },
  three: { places: 3, lossesBorne: 1, catchUpMs: 4_000 },
} as const satisfies Record<string, Deployment>;

/** Options of {@link runMembershipHistory}. */
export interface MembershipHistoryOptions {
  readonly seed: number;
  readonly deployment: Deployment;
  /** The number of losses. */
  readonly losses?: number;
  /** Replaces the random losses. */
  readonly steps?: readonly LossStep[];
  /** Per place, whether it lies in the other region; random if absent. */
  readonly farPlaces?: readonly boolean[];
  /** The seeds of successors; `any` if absent. */
  readonly seeds?: SeedChoice;
  /** Between two proposals at the leader; random if absent. */
  readonly proposalMs?: number;
  /** The largest random addition to each message's delay. */
  readonly jitterMs?: number;
  readonly mutations?: readonly RaftMutation[];
}

/** The outcome of a history. */
export interface MembershipHistoryResult {
  readonly violations: readonly string[];
  readonly trace: readonly string[];
}

const DEFAULT_LOSSES = 8;
const PROPOSAL_MS = [8, 20, 20, 20, 50, 500] as const;

/** How long a group may be without a leader, after its start or a loss. */
const LEADERLESS_LIMIT_MS = 3_000;

/** The machines start within this time of each other. */
const START_SPREAD_MS = 300;

/** Runs one history. */
export async function runMembershipHistory(
  options: MembershipHistoryOptions,
): Promise<MembershipHistoryResult> {
  const { seed, deployment } = options;
  const random = new SeededRandom({ seed });
  const group = new MembershipGroup({
    seed,
    mutations: options.mutations ?? [],
    lossesBorne: deployment.lossesBorne,
    farPlaces: options.farPlaces ?? randomRegions(random, deployment.places),
    proposalMs: options.proposalMs ??
      PROPOSAL_MS[random.nextInt(PROPOSAL_MS.length)]!,
  });
  group.hub.faults.jitterMs = options.jitterMs ?? 0;
  const player = new LossPlayer({ ...options, group, random });
  const history = new History(group, player);
  const violations = await history.play(options);
  await group.close();
  return { violations, trace: group.trace };
}

function randomRegions(random: SeededRandom, places: number): boolean[] {
  const regions: boolean[] = [];
  for (let at = 0; at < places; at++) {
    regions.push(random.nextUnit() < 0.4);
  }
  return regions;
}

class History {
  readonly #group: MembershipGroup;
  readonly #player: LossPlayer;
  readonly #violations: string[] = [];
  #lastLeaderMs = 0;
  /** The places that count as lost. */
  #lost = new Set<Place>();

  constructor(group: MembershipGroup, player: LossPlayer) {
    this.#group = group;
    this.#player = player;
  }

  async play(options: MembershipHistoryOptions): Promise<readonly string[]> {
    const group = this.#group;
    const { catchUpMs } = options.deployment;
    this.#startAll();
    await group.run(catchUpMs);
    group.onStep = () => this.#check();
    this.#lastLeaderMs = group.nowMs;
    const steps = options.steps ??
      this.#player.randomSteps(options.losses ?? DEFAULT_LOSSES);
    for (const step of steps) {
      await this.#runUntil(() => this.#player.mayLose());
      await this.#run(step.pauseMs);
      if (this.#violations.length > 0) {
        return this.#violations;
      }
      this.#player.lose(step);
      this.#lastLeaderMs = group.nowMs;
    }
    await this.#runUntil(() => this.#player.lostPlaces().length === 0);
    if (this.#violations.length === 0) {
      await this.#checkEnd();
    }
    return this.#violations;
  }

  #startAll(): void {
    const group = this.#group;
    const { random } = group;
    const seedIds = this.#player.firstSeedIds;
    for (const place of group.places) {
      group.clock.after(
        random.nextInt(START_SPREAD_MS),
        () => group.start(place, { seedIds, formsGroup: true }),
      );
    }
  }

  async #run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 10) {
      if (this.#violations.length > 0) {
        return;
      }
      await this.#group.run(Math.min(10, ms - passedMs));
    }
  }

  async #runUntil(condition: () => boolean): Promise<void> {
    while (this.#violations.length === 0 && !condition()) {
      await this.#group.run(1);
    }
  }

  #violate(text: string): void {
    this.#group.note(`VIOLATED: ${text}`);
    this.#violations.push(text);
  }

  #check(): void {
    const group = this.#group;
    if (this.#violations.length > 0) {
      return;
    }
    const isStopped = !group.places.some((place) => group.isServing(place));
    if (isStopped || group.leader() !== undefined) {
      this.#lastLeaderMs = group.nowMs;
    } else if (group.nowMs - this.#lastLeaderMs > LEADERLESS_LIMIT_MS) {
      this.#violate(`no leader for ${LEADERLESS_LIMIT_MS} ms`);
    }
    const lost = new Set(this.#player.lostPlaces());
    const isWhole = [...this.#lost].some((place) => !lost.has(place));
    this.#lost = lost;
    if (isWhole) {
      this.#checkMargin();
    }
  }

  /** Whether the voters in force bear the losses that may come now. */
  #checkMargin(): void {
    const group = this.#group;
    const voterIds = group.voterIds();
    if (voterIds.length === 0) {
      return;
    }
    const standing = group.standingVoters().length;
    const { budget } = this.#player;
    if ((standing - budget) * 2 <= voterIds.length) {
      this.#violate(
        `${standing} of the voters ${voterIds.join()} stand, and ` +
          `${budget} may be lost`,
      );
    }
  }

  async #checkEnd(): Promise<void> {
    const group = this.#group;
    const acknowledged = group.acknowledged.length;
    await group.run(1_500);
    if (group.acknowledged.length === acknowledged) {
      this.#violate("no commit at the end");
    }
    const leader = group.leader();
    const leaderId = leader && group.idOf(leader);
    for (const place of group.places) {
      const status = place.process?.member?.status();
      if (status?.leaderId !== leaderId) {
        this.#violate(`${group.idOf(place)} follows ${status?.leaderId}`);
      }
    }
    const standing = group.standingVoters().length;
    const voters = group.voterIds().length;
    if (standing !== group.wantedVoters || voters !== group.wantedVoters) {
      this.#violate(`${standing} of ${voters} voters stand at the end`);
    }
    group.stopLoad();
    await group.run(1_000);
    for (const place of group.places) {
      this.#checkNumbers(place);
    }
  }

  #checkNumbers(place: Place): void {
    const { acknowledged } = this.#group;
    const numbers = place.process?.state.numbers ?? [];
    const held = new Set(numbers);
    const missing = acknowledged.filter((number) => !held.has(number));
    if (missing.length > 0) {
      this.#violate(
        `${this.#group.idOf(place)} lacks ${missing.length} acknowledged ` +
          `commands, the first ${missing[0]}`,
      );
    }
    if (held.size !== numbers.length) {
      this.#violate(`${this.#group.idOf(place)} applied a command twice`);
    }
  }
}
