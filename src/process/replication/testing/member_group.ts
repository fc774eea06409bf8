/**
 * Complete members with a shared fake clock and network, and a fake disk each.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import type { Clock } from "../../../base/clock.ts";
import type { EventLog } from "../../../base/event_log.ts";
import { FakeClock } from "../../../base/fake_clock.ts";
import { SeededRandom } from "../../../base/random_source.ts";
import type { Result } from "../../../base/sesame_error.ts";
import { FakeStorage } from "../../storage/fake_storage.ts";
import { FakePeerHub } from "../fake_peer_network.ts";
import type { GroupMember } from "../raft_effect.ts";
import type { StateMachine } from "../replicated_log.ts";
import { ReplicationMember } from "../replication_member.ts";
import type { ReplicationTiming } from "../replication_timing.ts";

/** A list of texts; adding a text returns the new length. */
export class TextList implements StateMachine<string, number> {
  texts: string[] = [];

  apply(command: string): number {
    this.texts.push(command);
    return this.texts.length;
  }

  snapshot(): Uint8Array {
    return pack(this.texts);
  }

  restore(snapshot: Uint8Array): Result<void> {
    this.texts = unpack(snapshot) as string[];
    return Right(undefined);
  }
}

export type Member = ReplicationMember<string, number>;

/** Further options of each member. */
export interface ExtraMemberOptions {
  readonly catchUpBytesPerSecond?: (peer: string) => number;
  readonly founderIds?: readonly string[];
  readonly wantedVoters?: number;
  readonly clock?: Clock;
  readonly events?: EventLog;
  /** Those that a member knows, if not all; it may grow. */
  readonly members?: readonly GroupMember[];
  readonly onMemberDiscovered?: (id: string) => void;
  /** The one-way delay of messages, in milliseconds. */
  readonly delayMs?: (from: string, to: string) => number;
  /** Called with every message that is sent. */
  readonly onSend?: (from: string, to: string, body: unknown) => void;
}

/** Members with a shared fake clock and network, and a fake disk each. */
export class MemberGroup {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly random = new SeededRandom({ seed: 7 });
  readonly hub: FakePeerHub;
  readonly members = new Map<string, Member>();
  readonly machines = new Map<string, TextList>();
  readonly disks = new Map<string, FakeStorage>();
  readonly groupMembers: readonly GroupMember[];
  readonly timing: Partial<ReplicationTiming>;
  readonly extraOptions: ExtraMemberOptions;

  constructor(
    groupMembers: readonly GroupMember[],
    timing: Partial<ReplicationTiming> = {},
    extraOptions: ExtraMemberOptions = {},
  ) {
    this.groupMembers = groupMembers;
    this.extraOptions = extraOptions;
    this.hub = new FakePeerHub({
      clock: this.clock,
      random: this.random,
      delayMs: () => 1,
      ...extraOptions,
    });
    this.timing = timing;
    for (const { id, isDurable } of groupMembers) {
      if (isDurable) {
        this.disks.set(id, new FakeStorage());
      }
    }
  }

  async start(
    id: string,
    extraOptions: ExtraMemberOptions = this.extraOptions,
  ): Promise<void> {
    const machine = new TextList();
    const opened = await ReplicationMember.open({
      groupId: "test",
      members: this.groupMembers,
      network: this.hub.join(id, {
        peerIds: this.groupMembers.map((member) => member.id),
      }),
      clock: this.clock,
      random: this.random,
      machine,
      storage: this.disks.get(id),
      timing: this.timing,
      ...extraOptions,
    });
    this.members.set(id, opened.unsafeCoerce());
    this.machines.set(id, machine);
  }

  async startAll(): Promise<void> {
    for (const { id } of this.groupMembers) {
      await this.start(id);
    }
  }

  async stop(id: string): Promise<void> {
    await this.members.get(id)?.close();
    this.members.delete(id);
    this.disks.get(id)?.crash(this.random);
  }

  async run(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 5) {
      this.clock.advance(5);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  async runUntilDone<T>(work: Promise<T>): Promise<T> {
    let isDone = false;
    void work.then(() => isDone = true);
    while (!isDone) {
      await this.run(5);
    }
    return await work;
  }

  propose(id: string, text: string): Promise<Result<number>> {
    const deadlineMs = this.clock.nowMs() + 5_000;
    return this.runUntilDone(
      this.members.get(id)!.propose(text, { deadlineMs }),
    );
  }

  leader(): Member | undefined {
    return [...this.members.values()].find((member) =>
      member.status().leaseEndMs > this.clock.nowMs()
    );
  }

  async close(): Promise<void> {
    for (const member of this.members.values()) {
      await member.close();
    }
  }
}
