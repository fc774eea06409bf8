/**
 * Loses and replaces members of a simulated group, within what the settings say
 * that it bears.
 *
 * @module
 */

import type { RandomSource } from "../../../base/mod.ts";
import type { MembershipGroup, Place } from "./membership_group.ts";

/** Kinds of losses. */
export const LossKind = {
  /** An empty successor starts at another address. */
  replace: "replace",
  /** The disk is lost, and the process starts again at its address. */
  wipe: "wipe",
  /** The process is killed and starts again with its disk. */
  restart: "restart",
  freeze: "freeze",
  cut: "cut",
  /** All processes are killed, and start again with their disks. */
  restartAll: "restartAll",
} as const;

/** One of the values of {@link LossKind}. */
export type LossKind = typeof LossKind[keyof typeof LossKind];

/** One loss. */
export interface LossStep {
  readonly kind: LossKind;
  /** The leader, the place of a first seed, or a place, by number. */
  readonly target: "leader" | { seed: number } | { place: number };
  /** How long the process is down, frozen or cut off. */
  readonly downMs: number;
  /** Between the earliest moment allowed and the loss. */
  readonly pauseMs: number;
  /** Loses a member that still counts as lost, if one runs again. */
  readonly isRepeated?: boolean;
}

/** Which seeds a process gets that starts in a place. */
export const SeedChoice = {
  /** The first ones, or any three, of which one lives. */
  any: "any",
  /** Any three, of which one lives, without the leader. */
  withoutLeader: "withoutLeader",
  /** All others. */
  all: "all",
} as const;

/** One of the values of {@link SeedChoice}. */
export type SeedChoice = typeof SeedChoice[keyof typeof SeedChoice];

/** Options of {@link LossPlayer}. */
export interface LossPlayerOptions {
  readonly group: MembershipGroup;
  readonly random: RandomSource;
  readonly deployment: { lossesBorne: number; catchUpMs: number };
  readonly seeds?: SeedChoice;
}

const SEEDS = 3;

const KINDS: readonly LossKind[] = [
  ...Array<LossKind>(20).fill("replace"),
  ...Array<LossKind>(6).fill("wipe"),
  ...Array<LossKind>(4).fill("freeze"),
  ...Array<LossKind>(4).fill("cut"),
  ...Array<LossKind>(2).fill("restart"),
  "restartAll",
];

/** Loses members, and brings them back. */
export class LossPlayer {
  /** The seeds of all members at the first start. */
  readonly firstSeedIds: readonly string[];
  readonly #options: LossPlayerOptions;
  /** All IDs that processes have had. */
  readonly #usedIds: string[];
  /** Whole members that restarted with all others: they know the group. */
  readonly #restarting = new Set<Place>();

  constructor(options: LossPlayerOptions) {
    this.#options = options;
    const { group } = options;
    this.#usedIds = group.places.map((place) => group.idOf(place));
    this.firstSeedIds = this.#shuffle(this.#usedIds).slice(0, SEEDS);
  }

  /** How many losses may come now. */
  get budget(): number {
    const { lossesBorne } = this.#options.deployment;
    return Math.max(0, lossesBorne - this.lostPlaces().length);
  }

  lostPlaces(): Place[] {
    const { group } = this.#options;
    return group.places.filter((place) => place.lostUntilMs > group.nowMs);
  }

  mayLose(): boolean {
    return this.budget > 0 && this.#mayBeLost().length > 0;
  }

  /** Random losses; in some histories all first seeds go, one after another. */
  randomSteps(losses: number): LossStep[] {
    const { random } = this.#options;
    const losesSeeds = random.nextInt(4) === 0;
    const steps: LossStep[] = [];
    for (let at = 0; at < losses; at++) {
      const step = this.#randomStep();
      steps.push(
        losesSeeds && at < SEEDS
          ? { ...step, kind: "replace", target: { seed: at } }
          : step,
      );
    }
    return steps;
  }

  /** Loses a member; another one if the step's own may not be lost now. */
  lose(step: LossStep): void {
    if (step.kind === LossKind.restartAll) {
      this.#restartAll(step.downMs);
      return;
    }
    const repeated = step.isRepeated === true ? this.#running() : [];
    const allowed = repeated.length > 0 ? repeated : this.#mayBeLost();
    const wanted = this.#find(step.target);
    const place = allowed.find((other) => other === wanted) ??
      this.#shuffle(allowed)[0]!;
    this.#losePlace(place, step);
  }

  /** Those that still count as lost, and run again. */
  #running(): Place[] {
    return this.lostPlaces().filter((place) => place.lostUntilMs < Infinity);
  }

  #restartAll(downMs: number): void {
    const { group } = this.#options;
    const kind = LossKind.restart;
    for (const place of group.places.filter((each) => group.isServing(each))) {
      const isWhole = place.lostUntilMs <= group.nowMs;
      this.#losePlace(place, { kind, downMs: Math.min(downMs, 1_000) });
      if (isWhole) {
        this.#restarting.add(place);
      }
    }
  }

  #losePlace(place: Place, step: { kind: LossKind; downMs: number }): void {
    const { group } = this.#options;
    group.note(`${group.idOf(place)} lost: ${step.kind} ${step.downMs} ms`);
    place.lostUntilMs = Infinity;
    this.#restarting.delete(place);
    switch (step.kind) {
      case "freeze":
        place.process?.clock.freeze();
        break;
      case "cut":
        group.setCut(place, true);
        break;
      default:
        group.kill(place);
    }
    group.clock.after(step.downMs, () => this.#bringBack(place, step.kind));
  }

  #bringBack(place: Place, kind: LossKind): void {
    const { group, deployment } = this.#options;
    switch (kind) {
      case "freeze":
        group.note(`${group.idOf(place)} thaws`);
        place.process?.clock.thaw();
        break;
      case "cut":
        group.note(`${group.idOf(place)} is in touch again`);
        group.setCut(place, false);
        break;
      case "replace":
        place.storage.wipe();
        place.generation += 1;
        this.#usedIds.push(group.idOf(place));
        this.#start(place);
        break;
      case "wipe":
        place.storage.wipe();
        this.#start(place);
        break;
      default:
        this.#start(place);
    }
    place.lostUntilMs = group.nowMs + deployment.catchUpMs;
  }

  #start(place: Place): void {
    const seedIds = this.#seedsFor(place);
    this.#options.group.start(place, { seedIds, formsGroup: false });
  }

  #randomStep(): LossStep {
    const { random, group } = this.#options;
    const targets = [
      "leader" as const,
      "leader" as const,
      { seed: random.nextInt(SEEDS) },
      { place: random.nextInt(group.places.length) },
    ];
    return {
      kind: KINDS[random.nextInt(KINDS.length)]!,
      target: targets[random.nextInt(targets.length)]!,
      downMs: random.nextInt(2) === 0 ? 50 : random.nextInt(5_000),
      pauseMs: random.nextInt(4) === 0 ? random.nextInt(6_000) : 0,
      isRepeated: random.nextInt(8) === 0,
    };
  }

  #find(target: LossStep["target"]): Place | undefined {
    const { group } = this.#options;
    if (target === "leader") {
      return group.leader();
    }
    return "seed" in target
      ? group.places.find((place) =>
        place.name === this.firstSeedIds[target.seed]![0]
      )
      : group.places[target.place];
  }

  /** Who may be lost: not the only seed that a new member may reach. */
  #mayBeLost(): Place[] {
    const { group } = this.#options;
    const lost = this.lostPlaces();
    const whole = group.places.filter((place) => !lost.includes(place));
    const onlySeeds = lost.map((place) => {
      const seedIds = place.process?.seedIds ?? [];
      const seeds = group.places.filter((other) =>
        this.#knowsGroup(other) &&
        seedIds.includes(group.idOf(other))
      );
      return seeds.length === 1 ? seeds[0] : undefined;
    });
    return whole.filter((place) => !onlySeeds.includes(place));
  }

  #seedsFor(place: Place): readonly string[] {
    const { group, random, seeds = SeedChoice.any } = this.#options;
    const others = group.places.filter((other) => other !== place);
    if (seeds === SeedChoice.all) {
      return others.map((other) => group.idOf(other));
    }
    const livingIds = others.filter((other) => this.#knowsGroup(other))
      .map((other) => group.idOf(other));
    const hasLivingSeed = this.firstSeedIds.some((id) =>
      livingIds.includes(id)
    );
    const mayKeepFirst = seeds === SeedChoice.any && hasLivingSeed;
    if (mayKeepFirst && random.nextInt(2) === 0) {
      return this.firstSeedIds;
    }
    const leader = group.leader();
    const avoidedId = seeds === SeedChoice.withoutLeader && leader !== undefined
      ? group.idOf(leader)
      : "";
    const living = this.#shuffle(livingIds.filter((id) => id !== avoidedId))[0];
    const rest = this.#shuffle(this.#usedIds).filter((id) =>
      id !== living && id !== avoidedId && id !== group.idOf(place)
    );
    return this.#shuffle([living!, ...rest.slice(0, SEEDS - 1)]);
  }

  #knowsGroup(place: Place): boolean {
    return place.lostUntilMs <= this.#options.group.nowMs ||
      this.#restarting.has(place);
  }

  #shuffle<Item>(items: readonly Item[]): Item[] {
    const { random } = this.#options;
    const rest = [...items];
    const shuffled: Item[] = [];
    while (rest.length > 0) {
      shuffled.push(...rest.splice(random.nextInt(rest.length), 1));
    }
    return shuffled;
  }
}
