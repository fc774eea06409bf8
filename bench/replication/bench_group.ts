/**
 * A replication group in one process for the benches: real time, links with
 * delays between regions, and optionally a disk for each member.
 *
 * @module
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import {
  type Result,
  SeededRandom,
  type Storage,
  SystemClock,
} from "../../src/base/mod.ts";
import { FakePeerHub } from "../../src/process/replication/fake_peer_network.ts";
import {
  type GroupMember,
  ReplicationMember,
  type StateMachine,
} from "../../src/process/replication/mod.ts";
import { FileStorage } from "../../src/process/storage/mod.ts";

/** One-way delays between regions and within one. */
const REGION_DELAY_MS = 20;
const LOCAL_DELAY_MS = 1;

/** Counts the commands applied at its member, and reports each to `onApply`. */
export class CountingMachine implements StateMachine<Uint8Array, number> {
  count = 0;
  onApply: (count: number) => void = () => undefined;

  apply(): number {
    this.count += 1;
    this.onApply(this.count);
    return this.count;
  }

  snapshot(): Uint8Array {
    return pack(this.count);
  }

  restore(snapshot: Uint8Array): Result<void> {
    this.count = unpack(snapshot) as number;
    return Right(undefined);
  }
}

/** A member and its state machine. */
export interface BenchMember {
  readonly id: string;
  readonly machine: CountingMachine;
  readonly member: ReplicationMember<Uint8Array, number>;
}

/** Options of {@link BenchGroup.open}. */
export interface BenchGroupOptions {
  readonly members: number;
  readonly seed: number;
  readonly hasDisks: boolean;
}

/** Members connected by delayed links, in three regions. */
export class BenchGroup {
  readonly clock = new SystemClock();
  readonly members: BenchMember[] = [];
  #folder: string | undefined;
  #storages: Storage[] = [];

  static async open(options: BenchGroupOptions): Promise<BenchGroup> {
    const group = new BenchGroup();
    await group.#open(options);
    return group;
  }

  leader(): BenchMember | undefined {
    return this.members.find(({ member }) =>
      member.status().leaseEndMs > this.clock.nowMs()
    );
  }

  async waitForLeader(): Promise<BenchMember> {
    for (;;) {
      const leader = this.leader();
      if (leader !== undefined) {
        return leader;
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  async close(): Promise<void> {
    for (const { member } of this.members) {
      await member.close();
    }
    for (const storage of this.#storages) {
      await storage.close();
    }
    if (this.#folder !== undefined) {
      await rm(this.#folder, { recursive: true });
    }
  }

  async #open(options: BenchGroupOptions): Promise<void> {
    const random = new SeededRandom({ seed: options.seed });
    const ids = Array.from({ length: options.members }, (_, at) => `m${at}`);
    const regionOf = (id: string) => Number(id.slice(1)) % 3;
    const hub = new FakePeerHub({
      clock: this.clock,
      random,
      delayMs: (from, to) =>
        regionOf(from) === regionOf(to) ? LOCAL_DELAY_MS : REGION_DELAY_MS,
    });
    const settings: GroupMember[] = ids.map((id) => ({
      id,
      isVoter: true,
      isDurable: options.hasDisks,
    }));
    if (options.hasDisks) {
      this.#folder = await mkdtemp(join(tmpdir(), "replication-"));
    }
    for (const id of ids) {
      const machine = new CountingMachine();
      const storage = await this.#openStorage(id);
      const member = await ReplicationMember.open({
        groupId: "bench",
        members: settings,
        network: hub.join(id, { peerIds: ids }),
        clock: this.clock,
        random,
        machine,
        storage,
      });
      this.members.push({ id, machine, member: member.unsafeCoerce() });
    }
  }

  async #openStorage(id: string): Promise<Storage | undefined> {
    if (this.#folder === undefined) {
      return undefined;
    }
    const opened = await FileStorage.open({ folder: join(this.#folder, id) });
    const storage = opened.unsafeCoerce();
    this.#storages.push(storage);
    return storage;
  }
}
