/**
 * Loses cores wave by wave, each at the first moment that the settings allow,
 * and records what was lost and what started when.
 *
 * @module
 */

import { delay } from "../process/cluster.ts";
import type { CoreFleet } from "./core_fleet.ts";
import { controlAddress, type ProgramPlace, SEED_COUNT } from "./layout.ts";
import { LossLedger } from "./loss_ledger.ts";
import type { ReadMonitor } from "./read_monitor.ts";
import type { Loss, LossKind, Wave } from "./replacement_cases.ts";
import { nowMs } from "./run_history.ts";
import { shuffled, type TestBed } from "./test_bed.ts";
import type { VoterLog } from "./voter_log.ts";

/** A core that started or went on after a loss. */
export interface CoreReturn {
  readonly lostName: string;
  readonly name: string;
  readonly host: string;
  readonly kind: LossKind;
  readonly atMs: number;
  readonly seeds: readonly string[];
}

/** A wave that was played. */
export interface PlayedWave {
  readonly atMs: number;
  /** Who led until then. */
  readonly leader: string;
  readonly lost: readonly ProgramPlace[];
  /** The cores that didn't count as lost. */
  readonly living: readonly ProgramPlace[];
  readonly returns: CoreReturn[];
}

/** Times that the settings give. */
export interface ReplacementBounds {
  readonly lossesBorne: number;
  /** How long a core that started counts as lost. */
  readonly catchUpMs: number;
  /** Within this time after a loss, cores answer again. */
  readonly contactMs: number;
}

/** Options of a {@link ReplacementPlay}. */
export interface ReplacementPlayOptions {
  readonly bed: TestBed;
  readonly fleet: CoreFleet;
  readonly monitor: ReadMonitor;
  readonly voterLog: VoterLog;
  readonly bounds: ReplacementBounds;
  readonly random: () => number;
}

/** Losses don't come earlier than allowed by a timer's inaccuracy. */
const GAP_MARGIN_MS = 100;
const POLL_MS = 20;

/** How long after a change operators' lists and settings name the new cores. */
const SEED_LAG_MS = 3_000;

/** Plays waves of losses. */
export class ReplacementPlay {
  readonly waves: PlayedWave[] = [];
  readonly #options: ReplacementPlayOptions;
  readonly #ledger: LossLedger;
  readonly #firstSeeds: readonly ProgramPlace[];
  readonly #reloads: NodeJS.Timeout[] = [];

  constructor(options: ReplacementPlayOptions) {
    this.#options = options;
    this.#ledger = new LossLedger(options.bounds);
    this.#firstSeeds = options.fleet.listed.slice(0, SEED_COUNT);
  }

  /** The core that leads, unless it is lost. */
  leader(): string | undefined {
    const leader = this.#options.bed.programs.leader();
    return this.#living().find(({ name }) => name === leader)?.name;
  }

  /** Returns false if no core led when it was time for the next loss. */
  async run(waves: readonly Wave[]): Promise<boolean> {
    const { bounds: { catchUpMs, contactMs } } = this.#options;
    for (const wave of waves) {
      const earliestMs = this.#ledger.earliestMs(wave.losses.length) +
        GAP_MARGIN_MS;
      await delay(Math.max(0, earliestMs - nowMs()));
      const leader = await this.#waitForLeader(contactMs);
      if (leader === undefined) {
        return false;
      }
      await this.#play(wave, leader);
    }
    const latestMs = this.waves.flatMap(({ atMs, returns }) => [
      atMs + contactMs,
      ...returns.map((each) => each.atMs + Math.max(catchUpMs, contactMs)),
    ]);
    await delay(Math.max(0, ...latestMs) + GAP_MARGIN_MS - nowMs());
    return true;
  }

  close(): void {
    this.#reloads.forEach((timer) => clearTimeout(timer));
  }

  async #play(wave: Wave, leader: string): Promise<void> {
    const { bed, fleet } = this.#options;
    const victims = this.#chooseVictims(wave, leader);
    const listed = [...fleet.listed];
    const ends = victims.map(({ name, loss }) => this.#lose(name, loss.kind));
    const atMs = nowMs();
    victims.forEach(({ name }) => this.#ledger.lose(name, atMs));
    const lost = victims.map(({ name }) => fleet.place(name));
    const played: PlayedWave = {
      ...{ atMs, leader, lost, returns: [] },
      living: this.#living(),
    };
    this.waves.push(played);
    const kinds = victims.map(({ name, loss }) => `${name} ${loss.kind}`);
    bed.note(`lost: ${kinds.join(", ")} (leader ${leader})`);
    await Promise.all(ends);
    await delay(Math.max(0, atMs + wave.downMs - nowMs()));
    const seeds = await this.#chooseSeeds(wave, { played, listed });
    for (const { name, loss } of victims) {
      const returned = this.#return(name, loss.kind, seeds);
      played.returns.push(returned);
      bed.note(`${returned.name} starts, seeds ${seeds.join(" ")}`);
    }
    this.#reloads.push(setTimeout(() => fleet.reloadDoors(), SEED_LAG_MS));
  }

  #lose(name: string, kind: LossKind): Promise<void> {
    const { bed, fleet, monitor } = this.#options;
    if (kind === "frozen") {
      bed.programs.signal(name, "SIGSTOP");
      return Promise.resolve();
    }
    monitor.remove({ name });
    return fleet.lose(name);
  }

  #return(
    lostName: string,
    kind: LossKind,
    seeds: readonly string[],
  ): CoreReturn {
    const { bed, fleet, monitor } = this.#options;
    const atMs = nowMs();
    let place = fleet.place(lostName);
    if (kind === "frozen") {
      bed.programs.signal(lostName, "SIGCONT");
    } else if (kind === "replaced") {
      place = fleet.startSuccessor(lostName, { seeds });
      fleet.retire(lostName);
      monitor.add(place);
    } else {
      fleet.restart(lostName, { seeds, isWiped: kind === "wiped" });
      monitor.add(place);
    }
    const { name, host } = place;
    this.#ledger.start(lostName, atMs, { as: name });
    return { lostName, name, host, kind, atMs, seeds };
  }

  #chooseVictims(
    wave: Wave,
    leader: string,
  ): { name: string; loss: Loss }[] {
    const { random, voterLog } = this.#options;
    const voters = voterLog.votersAt(nowMs());
    const chosen = new Set<string>();
    return wave.losses.map((loss) => {
      const free = this.#living().filter(({ name }) => !chosen.has(name));
      const others = free.filter(({ name, host }) =>
        name !== leader && voters.includes(host)
      );
      const firstSeed = this.#firstSeeds.find((seed) => free.includes(seed));
      const name = loss.target === "leader"
        ? leader
        : loss.target === "firstSeed"
        ? firstSeed!.name
        : shuffled(others.length > 0 ? others : free, random)[0]!.name;
      chosen.add(name);
      return { name, loss };
    });
  }

  async #chooseSeeds(
    wave: Wave,
    { played, listed }: { played: PlayedWave; listed: ProgramPlace[] },
  ): Promise<string[]> {
    const { fleet, random, bounds } = this.#options;
    const runs = (core: ProgramPlace) =>
      played.living.some(({ name }) => name === core.name);
    if (wave.seeds === "first") {
      const seeds = this.#firstSeeds.some(runs)
        ? this.#firstSeeds
        : fleet.listed.filter(runs).slice(0, SEED_COUNT);
      return seeds.map(controlAddress);
    }
    const leader = await this.#waitForLeader(bounds.contactMs, played);
    const strangers = listed.filter(({ name }) => name !== leader);
    const seeds = shuffled(strangers, random);
    // One of them runs, or nobody could find the group.
    const running = seeds.find(runs)!;
    return [running, ...seeds.filter((core) => core !== running)]
      .slice(0, SEED_COUNT).map(controlAddress);
  }

  /** The core that leads, after the loss of a leader the next one. */
  async #waitForLeader(
    limitMs: number,
    lost?: PlayedWave,
  ): Promise<string | undefined> {
    const { voterLog } = this.#options;
    const endMs = nowMs() + limitMs;
    const isLeaderLost =
      lost?.lost.some(({ name }) => name === lost.leader) === true;
    while (nowMs() < endMs) {
      const leader = isLeaderLost
        ? voterLog.nextLeader(lost.atMs)?.core
        : this.leader();
      if (leader !== undefined) {
        return leader;
      }
      await delay(POLL_MS);
    }
    return undefined;
  }

  #living(): ProgramPlace[] {
    const timeMs = nowMs();
    return this.#options.fleet.listed.filter(({ name }) =>
      !this.#ledger.isLost(name, timeMs)
    );
  }
}
