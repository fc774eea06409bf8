import test from "ava";
import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import { FakeClock } from "../../base/fake_clock.ts";
import { SeededRandom } from "../../base/random_source.ts";
import type { Result } from "../../base/sesame_error.ts";
import { FakeStorage } from "../storage/fake_storage.ts";
import { FakePeerHub } from "./fake_peer_network.ts";
import type { GroupMember } from "./raft_effect.ts";
import type { StateMachine } from "./replicated_log.ts";
import { ReplicationMember } from "./replication_member.ts";
import type { ReplicationTiming } from "./replication_timing.ts";

/** A list of texts; adding one gives its place. */
class TextList implements StateMachine<string, number> {
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

type Member = ReplicationMember<string, number>;

/** Members over one fake clock, network and a disk each. */
class Group {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly random = new SeededRandom({ seed: 7 });
  readonly hub = new FakePeerHub({
    clock: this.clock,
    random: this.random,
    delayMs: () => 1,
  });
  readonly members = new Map<string, Member>();
  readonly machines = new Map<string, TextList>();
  readonly disks = new Map<string, FakeStorage>();
  readonly settings: readonly GroupMember[];
  readonly timing: Partial<ReplicationTiming>;

  constructor(
    settings: readonly GroupMember[],
    timing: Partial<ReplicationTiming> = {},
  ) {
    this.settings = settings;
    this.timing = timing;
    for (const { id, isDurable } of settings) {
      if (isDurable) {
        this.disks.set(id, new FakeStorage());
      }
    }
  }

  async start(id: string): Promise<void> {
    const machine = new TextList();
    const opened = await ReplicationMember.open({
      groupId: "test",
      members: this.settings,
      network: this.hub.join(id, {
        peerIds: this.settings.map((member) => member.id),
      }),
      clock: this.clock,
      random: this.random,
      machine,
      storage: this.disks.get(id),
      timing: this.timing,
    });
    this.members.set(id, opened.unsafeCoerce());
    this.machines.set(id, machine);
  }

  async startAll(): Promise<void> {
    for (const { id } of this.settings) {
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

  async finish<T>(work: Promise<T>): Promise<T> {
    let isDone = false;
    void work.then(() => isDone = true);
    while (!isDone) {
      await this.run(5);
    }
    return await work;
  }

  propose(id: string, text: string): Promise<Result<number>> {
    const deadlineMs = this.clock.nowMs() + 5_000;
    return this.finish(this.members.get(id)!.propose(text, { deadlineMs }));
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

function disks(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: true, isDurable: true }));
}

function memories(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: true, isDurable: false }));
}

function learners(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: false, isDurable: false }));
}

test("a group forms, commits from any member and keeps learners", async (t) => {
  const group = new Group([...disks("a", "b", "c"), ...learners("d")]);
  await group.startAll();
  await group.run(1_000);
  for (const id of ["a", "b", "c", "d"]) {
    const result = await group.propose(id, `from ${id}`);
    t.true(result.isRight(), id);
  }
  await group.run(1_500);
  for (const [id, machine] of group.machines) {
    t.deepEqual(machine.texts, ["from a", "from b", "from c", "from d"], id);
  }
  const age = group.clock.nowMs() -
    group.members.get("d")!.status().currentAtMs;
  t.true(age <= 1_200, `the learner's copy is ${age} ms old`);
  await group.close();
});

test("a restart of every member keeps what was acknowledged", async (t) => {
  const group = new Group(
    [...disks("a"), ...memories("b", "c")],
    { snapshotEntries: 20, tailEntries: 5 },
  );
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at < 50; at++) {
    (await group.propose("b", `text ${at}`)).unsafeCoerce();
  }
  for (const id of ["a", "b", "c"]) {
    await group.stop(id);
  }
  await group.startAll();
  await group.run(4_000);
  t.is(group.leader()?.status().voterIds.length, 3);
  t.deepEqual((await group.propose("c", "more")).extract(), 51);
  await group.run(1_000);
  t.is(group.machines.get("c")!.texts.length, 51);
  await group.close();
});

test("a wiped member votes again only after it has caught up", async (t) => {
  const group = new Group(disks("a", "b", "c"), {
    snapshotEntries: 10,
    tailEntries: 2,
  });
  await group.startAll();
  await group.run(1_000);
  for (let at = 0; at < 30; at++) {
    (await group.propose("a", `text ${at}`)).unsafeCoerce();
  }
  await group.stop("c");
  group.disks.get("c")!.wipe();
  await group.start("c");
  await group.run(3_000);
  t.is(group.leader()?.status().voterIds.length, 3);
  t.is(group.machines.get("c")!.texts.length, 30);
  // A second member is lost right after the repair.
  await group.stop("a");
  t.deepEqual((await group.propose("c", "more")).extract(), 31);
  await group.close();
});

test("a memory-only group goes on without its one disk", async (t) => {
  const group = new Group([...disks("a"), ...memories("b", "c")]);
  await group.startAll();
  await group.run(1_000);
  (await group.propose("b", "one")).unsafeCoerce();
  await group.stop("a");
  t.deepEqual((await group.propose("b", "two")).extract(), 2);
  await group.start("a");
  await group.run(3_000);
  t.deepEqual((await group.propose("a", "three")).extract(), 3);
  t.deepEqual(group.machines.get("a")!.texts, ["one", "two", "three"]);
  await group.close();
});

test("a cut-off leader's lease ends and another leads within 3 s", async (t) => {
  const group = new Group(disks("a", "b", "c"));
  await group.startAll();
  await group.run(1_000);
  const old = group.leader()!;
  const oldId = old.status().leaderId!;
  group.hub.isolate(oldId);
  await group.run(1_300);
  t.true(old.status().leaseEndMs <= group.clock.nowMs());
  await group.run(1_700);
  const next = group.leader();
  t.not(next, undefined);
  t.not(next?.status().leaderId, oldId);
  await group.close();
});
