/**
 * One process of a simulated group of the batch scheduler, wired as `StateHost`
 * wires it, with a list of numbers as its state.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type {
  Clock,
  RandomSource,
  Result,
  Storage,
} from "../../../base/mod.ts";
import type {
  FakePeerHub,
  FakePeerNetwork,
} from "../../replication/fake_peer_network.ts";
import { ReplicationMember, type StateMachine } from "../../replication/mod.ts";
import type { RaftMutation } from "../../replication/raft_mutation.ts";
import { PeerList } from "../peer_list.ts";
import { GROUP_TIMING } from "../state_host.ts";
import { FreezableClock } from "./freezable_clock.ts";

/** Snapshots are frequent, so that successors get one and then entries. */
const SNAPSHOT_ENTRIES = 512;

/** A list of numbers; adding one returns the new length. */
export class NumberList implements StateMachine<number, number> {
  numbers: number[] = [];

  apply(command: number): number {
    return this.numbers.push(command);
  }

  snapshot(): Uint8Array {
    return pack(this.numbers);
  }

  restore(snapshot: Uint8Array): Result<void> {
    this.numbers = unpack(snapshot) as number[];
    return Right(undefined);
  }
}

/** Options of {@link GroupProcess}. */
export interface GroupProcessOptions {
  readonly id: string;
  readonly seedIds: readonly string[];
  readonly formsGroup: boolean;
  readonly wantedVoters: number;
  readonly storage: Storage;
  readonly hub: FakePeerHub;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly mutations?: ReadonlySet<RaftMutation>;
}

/** One process, from its start to its end. */
export class GroupProcess {
  readonly id: string;
  readonly seedIds: readonly string[];
  readonly clock: FreezableClock;
  readonly state = new NumberList();
  /** Undefined until the log is read. */
  member: ReplicationMember<number, number> | undefined;
  readonly #options: GroupProcessOptions;
  #isClosed = false;

  constructor(options: GroupProcessOptions) {
    this.#options = options;
    this.id = options.id;
    this.seedIds = options.seedIds;
    this.clock = new FreezableClock(options.clock);
    void this.#open();
  }

  /** Kills the process. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#options.hub.leave(this.id);
    this.clock.close();
    await this.member?.close();
  }

  async #open(): Promise<void> {
    const { id, seedIds, hub, random, storage, wantedVoters, mutations } =
      this.#options;
    const { clock } = this;
    const peers: PeerList = new PeerList({
      selfId: id,
      seedIds,
      connect: (peer) => network.addPeer(peer),
    });
    const network: FakePeerNetwork = hub.join(id, {
      peerIds: seedIds,
      clock,
      whenRunning: (action) => clock.run(action),
      isFrozen: () => clock.isFrozen,
      admit: (peer) => {
        peers.admit(peer);
        network.addPeer(peer);
      },
    });
    const opened = await ReplicationMember.open<number, number>({
      groupId: "batch",
      members: peers.members,
      founderIds: this.#options.formsGroup ? seedIds : [],
      wantedVoters,
      onMemberDiscovered: (peer) => peers.add(peer),
      network,
      clock,
      random,
      machine: this.state,
      storage,
      ...(mutations === undefined ? {} : { mutations }),
      timing: { ...GROUP_TIMING, snapshotEntries: SNAPSHOT_ENTRIES },
    });
    const member = opened.unsafeCoerce();
    if (this.#isClosed) {
      return void await member.close();
    }
    this.member = member;
  }
}
