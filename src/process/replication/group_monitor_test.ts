import test from "ava";
import { EventRecord } from "../../base/event_record.ts";
import { FakeClock } from "../../base/fake_clock.ts";
import { MetricsRegistry } from "../http/mod.ts";
import { findVoteObstacle, GroupMonitor } from "./group_monitor.ts";
import type { MemberStatus } from "./replicated_log.ts";

/** A monitor of a member whose status and links the test sets. */
class MonitoredMember {
  readonly clock = new FakeClock({ startMs: 1_000_000 });
  readonly metrics = new MetricsRegistry();
  readonly events = new EventRecord();
  linkedIds: string[] = [];
  status: MemberStatus = {
    groupId: "batch",
    role: "learner",
    term: 0,
    leaderId: undefined,
    commitIndex: 0,
    appliedIndex: 0,
    leaseEndMs: 0,
    currentAtMs: 0,
    voterIds: [],
    learnerIds: [],
  };
  readonly monitor: GroupMonitor;

  constructor() {
    this.monitor = new GroupMonitor({
      log: { status: () => this.status },
      network: { selfId: "self", linkedPeerIds: () => this.linkedIds },
      clock: this.clock,
      events: this.events,
      metrics: this.metrics,
    });
  }

  set(change: Partial<MemberStatus>): void {
    this.status = { ...this.status, ...change };
  }
}

test("a member without a vote says what it waits for, step by step", (t) => {
  const nowMs = 10_000;
  const obstacleOf = (
    linkedIds: string[],
    status: Partial<MemberStatus>,
  ) =>
    findVoteObstacle(
      { leaderId: undefined, commitIndex: 0, currentAtMs: 0, ...status },
      { linkedIds, nowMs },
    );
  t.is(obstacleOf([], {}), "link");
  t.is(obstacleOf(["a"], {}), "leader");
  t.is(obstacleOf(["a"], { leaderId: "b" }), "state");
  t.is(obstacleOf(["a"], { leaderId: "b", commitIndex: 7 }), "entries");
  t.is(
    obstacleOf(["a"], { leaderId: "b", commitIndex: 7, currentAtMs: 9_500 }),
    "vacancy",
  );
});

test("the way to the vote is logged once a step, and its length measured", (t) => {
  const member = new MonitoredMember();
  const { clock } = member;
  clock.advance(1_500);
  t.deepEqual(
    member.events.of("voteAwaited").map(({ waitingFor }) => waitingFor),
    ["link"],
  );
  member.linkedIds = ["a"];
  clock.advance(1_000);
  t.deepEqual(
    member.events.of("voteAwaited").map(({ waitingFor }) => waitingFor),
    ["link", "leader"],
  );
  member.set({ leaderId: "a", voterIds: ["a", "self"], commitIndex: 3 });
  clock.advance(2_000);
  t.deepEqual(member.events.of("voteGained"), [
    { group: "batch", sinceStartMs: 3_000 },
  ]);
  t.regex(member.metrics.render(), /sesamethread_time_to_vote_ms 3000/);
  member.monitor.close();
});

test("a wait that lasts is logged again, but no more than each 10 s", (t) => {
  const member = new MonitoredMember();
  member.clock.advance(31_000);
  t.is(member.events.of("voteAwaited").length, 4);
  member.monitor.close();
});

test("a group without a leader is logged with the voters that it lacks", (t) => {
  const member = new MonitoredMember();
  const { clock } = member;
  member.set({ role: "follower", leaderId: "a", term: 4 });
  member.set({ voterIds: ["a", "b", "c", "d", "self"] });
  member.linkedIds = ["c"];
  clock.advance(1_000);
  member.set({ role: "candidate", leaderId: undefined });
  clock.advance(1_500);
  t.deepEqual(member.events.of("groupWithoutLeader"), []);
  clock.advance(1_000);
  t.deepEqual(member.events.of("groupWithoutLeader"), [{
    group: "batch",
    leaderlessMs: 2_000,
    voters: "a,b,c,d,self",
    lacking: "a,b,d",
    needed: 3,
    term: 4,
  }]);
  t.regex(member.metrics.render(), /sesamethread_voters_without_link 3/);
  clock.advance(9_000);
  t.is(member.events.of("groupWithoutLeader").length, 1);
  member.set({ role: "follower", leaderId: "c" });
  clock.advance(500);
  t.deepEqual(member.events.of("groupHasLeader"), [
    { group: "batch", leader: "c", afterMs: 12_000 },
  ]);
  member.monitor.close();
});

test("a member that knows no voters doesn't report them as missing", (t) => {
  const member = new MonitoredMember();
  member.clock.advance(10_000);
  t.deepEqual(member.events.of("groupWithoutLeader"), []);
  member.monitor.close();
});
