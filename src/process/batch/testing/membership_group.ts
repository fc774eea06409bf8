/**
 * A simulated group of the batch scheduler whose processes each know only their
 * seeds and whom they have learned of, under a steady load of proposals.
 *
 * @module
 */

import { FakeClock } from "../../../base/fake_clock.ts";
import { SeededRandom } from "../../../base/random_source.ts";
import { FakePeerHub } from "../../replication/fake_peer_network.ts";
import type { RaftMutation } from "../../replication/raft_mutation.ts";
import { FakeStorage } from "../../storage/fake_storage.ts";
import { GroupProcess } from "./group_process.ts";

/** One-way, within a region and between two. */
const NEAR_MS = 1;
const FAR_MS = 20;

/** The one-way messages until a link is open: TCP, WebSocket and two proofs. */
const LINK_MESSAGES = 8;

const PROPOSAL_TIMEOUT_MS = 1_000;
const CHECK_MS = 10;

/** A place of the deployment: one process at a time, at changing addresses. */
export interface Place {
  readonly name: string;
  readonly isFar: boolean;
  /** Counts the IDs that its processes have had. */
  generation: number;
  process: GroupProcess | undefined;
  storage: FakeStorage;
  isCut: boolean;
  /** Until when it counts as lost. */
  lostUntilMs: number;
}

/** Options of {@link MembershipGroup}. */
export interface MembershipGroupOptions {
  readonly seed: number;
  /** Per place, whether it lies in the other region. */
  readonly farPlaces: readonly boolean[];
  readonly lossesBorne: number;
  /** Between two proposals at the leader. */
  readonly proposalMs: number;
  readonly mutations?: readonly RaftMutation[];
}

/** A simulated group. */
export class MembershipGroup {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly random: SeededRandom;
  readonly hub: FakePeerHub;
  readonly places: readonly Place[];
  /** The numbers that were acknowledged. */
  readonly acknowledged: number[] = [];
  /** What happened, each line with its time since the start. */
  readonly trace: string[] = [];
  /** Called from time to time. */
  onStep: () => void = () => undefined;
  #options: MembershipGroupOptions;
  #nextNumber = 1;
  #hasLoad = true;
  #leader: Place | undefined;
  #lastLeader = "";

  constructor(options: MembershipGroupOptions) {
    this.#options = options;
    this.random = new SeededRandom({ seed: options.seed });
    this.places = options.farPlaces.map((isFar, at) => ({
      name: String.fromCharCode("a".charCodeAt(0) + at),
      isFar,
      generation: 1,
      process: undefined,
      storage: new FakeStorage(),
      isCut: false,
      lostUntilMs: 0,
    }));
    this.hub = new FakePeerHub({
      clock: this.clock,
      random: this.random,
      delayMs: (from, to) => this.#delayMs(from, to),
      linkOpenMs: (from, to) => LINK_MESSAGES * this.#delayMs(from, to),
    });
    this.clock.every(options.proposalMs, () => this.#propose());
  }

  get nowMs(): number {
    return this.clock.nowMs() - 1_000_000;
  }

  get wantedVoters(): number {
    return 2 * this.#options.lossesBorne + 1;
  }

  idOf(place: Place): string {
    return place.name + place.generation;
  }

  /** Starts a process with the place's disk. */
  start(
    place: Place,
    options: { seedIds: readonly string[]; formsGroup: boolean },
  ): void {
    const id = this.idOf(place);
    this.note(`${id} starts, seeds ${options.seedIds.join()}`);
    place.process = new GroupProcess({
      id,
      ...options,
      wantedVoters: this.wantedVoters,
      storage: place.storage,
      hub: this.hub,
      clock: this.clock,
      random: this.random,
      mutations: new Set(this.#options.mutations),
    });
  }

  /** Kills the place's process, as by a loss of power. */
  kill(place: Place): void {
    void place.process?.close();
    place.process = undefined;
    place.storage.crash(this.random);
  }

  /** Cuts the place off from all others, also from those that come later. */
  setCut(place: Place, isCut: boolean): void {
    place.isCut = isCut;
    this.hub.heal();
    for (const cut of this.places.filter((other) => other.isCut)) {
      for (const other of this.places) {
        for (let count = 1; count <= other.generation + 1; count++) {
          this.hub.cut(this.idOf(cut), other.name + count);
          this.hub.cut(other.name + count, this.idOf(cut));
        }
      }
    }
  }

  /** Whether the place's process runs and is in touch with the others. */
  isServing(place: Place): boolean {
    const { process } = place;
    return process?.member !== undefined && !process.clock.isFrozen &&
      !place.isCut;
  }

  /** The place of the leader, if one that serves holds a lease. */
  leader(): Place | undefined {
    const known = this.#leader;
    if (known === undefined || !this.#leads(known)) {
      this.#leader = this.places.find((place) => this.#leads(place));
    }
    return this.#leader;
  }

  /** The IDs of the voters in force, by the leader's log. */
  voterIds(): readonly string[] {
    return this.leader()?.process?.member?.status().voterIds ?? [];
  }

  /** The voters in force that run in their current life and serve. */
  standingVoters(): Place[] {
    const voterIds = this.voterIds();
    return this.places.filter((place) =>
      this.isServing(place) && voterIds.includes(this.idOf(place)) &&
      place.process!.member!.status().role !== "learner"
    );
  }

  stopLoad(): void {
    this.#hasLoad = false;
  }

  note(text: string): void {
    this.trace.push(`${this.nowMs.toFixed(0)} ${text}`);
  }

  async run(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.clock.advance(Math.min(this.#idleMs(), endMs - this.nowMs));
      // Lets the disks' promises settle.
      await new Promise((resolve) => setImmediate(resolve));
      if (this.nowMs % CHECK_MS === 0) {
        this.#noteLeader();
        this.onStep();
      }
    }
  }

  /** Runs until the condition holds; returns whether it did in time. */
  async runUntil(condition: () => boolean, limitMs: number): Promise<boolean> {
    for (let passedMs = 0; passedMs < limitMs && !condition(); passedMs += 10) {
      await this.run(10);
    }
    return condition();
  }

  async close(): Promise<void> {
    for (const place of this.places) {
      await place.process?.close();
    }
  }

  #leads(place: Place): boolean {
    return this.isServing(place) &&
      place.process!.member!.status().leaseEndMs > this.clock.nowMs();
  }

  #delayMs(from: string, to: string): number {
    return this.#isFar(from) === this.#isFar(to) ? NEAR_MS : FAR_MS;
  }

  #isFar(id: string): boolean {
    return this.places.find((place) => id.startsWith(place.name))!.isFar;
  }

  /** The whole milliseconds until the next timer or check is due, at least 1. */
  #idleMs(): number {
    const nextDueMs = this.clock.nextDueMs() ?? Infinity;
    const idleMs = Math.ceil(nextDueMs - this.clock.steadyMs());
    return Math.max(1, Math.min(idleMs, CHECK_MS - this.nowMs % CHECK_MS));
  }

  #propose(): void {
    const member = this.#hasLoad ? this.leader()?.process?.member : undefined;
    if (member === undefined) {
      return;
    }
    const number = this.#nextNumber++;
    const deadlineMs = this.clock.nowMs() + PROPOSAL_TIMEOUT_MS;
    void member.propose(number, { deadlineMs }).then((result) => {
      if (result.isRight()) {
        this.acknowledged.push(number);
      }
    });
  }

  #noteLeader(): void {
    const leader = this.leader();
    const text = leader === undefined
      ? "no leader"
      : `${this.idOf(leader)} leads, voters ${this.voterIds().join()}`;
    if (text !== this.#lastLeader) {
      this.#lastLeader = text;
      this.note(text);
    }
  }
}
