import test from "ava";
import { pack } from "msgpackr";
import { SeededRandom } from "../../base/random_source.ts";
import { EMPTY_CONFIGURATION } from "./group_configuration.ts";
import { RaftCore } from "./raft_core.ts";
import type { RaftEffect, RaftInput } from "./raft_effect.ts";
import type { RaftMessage } from "./raft_message.ts";
import { RaftMutation } from "./raft_mutation.ts";
import type { RaftCoreOptions } from "./raft_state.ts";
import { EMPTY_SNAPSHOT } from "./raft_log.ts";
import { REPLICATION_TIMING } from "./replication_timing.ts";
import {
  diskVoters,
  learners,
  memoryVoters,
  recover,
} from "./testing/fault_session.ts";
import { InvariantViolation } from "./testing/group_oracle.ts";
import {
  RaftSimulation,
  type RaftSimulationOptions,
} from "./testing/raft_simulation.ts";

type Scenario = (simulation: RaftSimulation) => void;

/**
 * A scenario that succeeds, but violates an invariant if the fault is injected.
 */
interface FaultScenario {
  readonly mutation: RaftMutation;
  readonly options: Omit<RaftSimulationOptions, "seed" | "mutations">;
  readonly run: Scenario;
}

function leaderOf(simulation: RaftSimulation): string {
  return simulation.leaseHolders()[0]!.id;
}

function others(simulation: RaftSimulation, id: string): string[] {
  return simulation.ids.filter((other) => other !== id);
}

function cutBothWays(
  simulation: RaftSimulation,
  one: string,
  two: string,
): void {
  simulation.cut(one, two);
  simulation.cut(two, one);
}

function crashAll(simulation: RaftSimulation): void {
  for (const id of simulation.ids) {
    simulation.crash(id);
  }
}

const SCENARIOS: readonly FaultScenario[] = [
  {
    mutation: RaftMutation.answersBeforeSync,
    options: { members: diskVoters("a", "b", "c"), syncMs: 900 },
    run: (simulation) => {
      simulation.run(5_000);
      simulation.proposeToLeader();
      simulation.run(80);
      crashAll(simulation);
    },
  },
  {
    mutation: RaftMutation.votesDespiteLeader,
    options: { members: diskVoters("a", "b", "c") },
    run: (simulation) => {
      const leader = leaderOf(simulation);
      cutBothWays(simulation, leader, others(simulation, leader)[0]!);
      simulation.run(6_000);
    },
  },
  {
    mutation: RaftMutation.votesRightAfterRestart,
    options: { members: diskVoters("a", "b", "c") },
    run: (simulation) => {
      const leader = leaderOf(simulation);
      const [isolated, between] = others(simulation, leader);
      cutBothWays(simulation, leader, isolated!);
      simulation.run(3_000);
      for (let at = 0; at < 5; at++) {
        simulation.crash(between!);
        simulation.start(between!);
        simulation.run(1_000);
      }
    },
  },
  {
    mutation: RaftMutation.deniesKnownLeader,
    options: { members: diskVoters("a", "b", "c"), delayMs: 40 },
    run: (simulation) => {
      for (let at = 0; at < 40; at++) {
        const leader = leaderOf(simulation);
        const restarted = others(simulation, leader)[0]!;
        simulation.crash(restarted);
        simulation.start(restarted);
        simulation.run(200 + at * 10);
        cutBothWays(simulation, leader, restarted);
        simulation.run(700);
        simulation.heal();
        simulation.run(4_000);
      }
    },
  },
  {
    mutation: RaftMutation.commitsWithoutDurable,
    options: { members: [...memoryVoters("a", "b"), ...diskVoters("c")] },
    run: (simulation) => {
      simulation.isolate("c");
      simulation.run(300);
      simulation.proposeToLeader();
      simulation.run(300);
      crashAll(simulation);
    },
  },
  {
    mutation: RaftMutation.changesOverlap,
    options: { members: diskVoters("a", "b", "c", "d", "e") },
    run: (simulation) => {
      const leader = leaderOf(simulation);
      const [near, ...far] = others(simulation, leader);
      for (const id of far) {
        cutBothWays(simulation, id, leader);
        cutBothWays(simulation, id, near!);
      }
      simulation.input(leader, { kind: "removeMember", id: far[0]! });
      simulation.input(leader, { kind: "removeMember", id: far[1]! });
      simulation.run(6_000);
    },
  },
  {
    mutation: RaftMutation.currentAtReceipt,
    options: {
      members: [...diskVoters("a", "b", "c"), ...learners("d")],
      delayMs: 200,
    },
    run: (simulation) => {
      for (let at = 0; at < 100; at++) {
        simulation.proposeToLeader();
        simulation.run(70);
      }
    },
  },
];

function runScenario(scenario: FaultScenario, mutations: RaftMutation[]): void {
  for (let seed = 1; seed <= 8; seed++) {
    const simulation = new RaftSimulation({
      ...scenario.options,
      seed,
      mutations,
    });
    simulation.startAll();
    simulation.run(3_000);
    scenario.run(simulation);
    recover(simulation);
  }
}

for (const scenario of SCENARIOS) {
  test(`a scenario violates an invariant only with the fault ${scenario.mutation}`, (t) => {
    t.notThrows(() => runScenario(scenario, []));
    t.throws(() => runScenario(scenario, [scenario.mutation]), {
      instanceOf: InvariantViolation,
    });
  });
}

/** Voter a of three, in term 1, with these entries in its log. */
function coreOfTermOne(
  mutations: RaftMutation[],
  entries: RaftCoreOptions["entries"],
): RaftCore {
  const voters = ["a", "b", "c"].map((id) => ({
    id,
    incarnation: 1,
    isDurable: false,
  }));
  return new RaftCore({
    selfId: "a",
    members: memoryVoters("a", "b", "c"),
    random: new SeededRandom({ seed: 1 }),
    timing: REPLICATION_TIMING,
    hardState: {
      incarnation: 1,
      formationId: "g",
      term: 1,
      votedFor: undefined,
    },
    snapshot: {
      ...EMPTY_SNAPSHOT,
      configuration: { ...EMPTY_CONFIGURATION, voters },
    },
    entries,
    nowMs: 0,
    catchUpBytesPerSecond: () => 1e9,
    mutations: new Set(mutations),
  });
}

/**
 * A voter in term 1, and a function that delivers messages from b and c to it.
 */
function voterOfTermOne(mutations: RaftMutation[] = []) {
  const core = coreOfTermOne(mutations, []);
  const receive = (
    from: string,
    message: RaftMessage,
    { nowMs, steadyMs } = { nowMs: 10, steadyMs: 10 },
  ) =>
    core.step(
      [{
        kind: "message",
        from,
        envelope: {
          formationId: "g",
          fromIncarnation: 1,
          toIncarnation: 1,
          message,
        },
      }],
      nowMs,
      steadyMs,
    );
  return { core, receive };
}

function voteReplies(effects: readonly RaftEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "send" && effect.envelope.message.kind === "voteReply"
      ? [effect.envelope.message]
      : []
  );
}

const PRE_VOTE_OF_TERM_5 = {
  kind: "preVote",
  term: 5,
  lastIndex: 0,
  lastTerm: 0,
} as const;

test("a restarted voter grants no vote, but is willing without a leader", (t) => {
  const { core, receive } = voterOfTermOne();
  const [reply] = voteReplies(receive("b", PRE_VOTE_OF_TERM_5));
  t.false(reply?.isGranted);
  t.true(reply?.isWilling);
  t.is(core.view.term, 4, "it can't be elected in an earlier term");
  const mutant = voterOfTermOne([RaftMutation.staysInEarlierTerm]);
  mutant.receive("b", PRE_VOTE_OF_TERM_5);
  t.is(mutant.core.view.term, 1);
});

const HEARTBEAT_OF_TERM_2: RaftMessage = {
  kind: "append",
  term: 2,
  previousIndex: 0,
  previousTerm: 0,
  entries: [],
  commitIndex: 0,
  sentAtMs: 0,
  stampMs: 0,
  isLeaseHeld: false,
};

// Guards against two leaders at once after steps of the followers' clocks.
test("a step of the clock doesn't make a voter grant its vote early", (t) => {
  const { receive } = voterOfTermOne();
  receive("b", HEARTBEAT_OF_TERM_2);
  const [early] = voteReplies(
    receive("c", PRE_VOTE_OF_TERM_5, { nowMs: 2_010, steadyMs: 20 }),
  );
  t.false(early?.isGranted);
  const [due] = voteReplies(
    receive("c", PRE_VOTE_OF_TERM_5, { nowMs: 4_010, steadyMs: 2_020 }),
  );
  t.true(due?.isGranted);
});

test("a follower is willing to vote for its own leader only", (t) => {
  const { receive } = voterOfTermOne();
  receive("b", HEARTBEAT_OF_TERM_2);
  t.false(voteReplies(receive("c", PRE_VOTE_OF_TERM_5))[0]?.isWilling);
  t.true(voteReplies(receive("b", PRE_VOTE_OF_TERM_5))[0]?.isWilling);
});

test("a restarted group elects a leader while votes are still withheld", (t) => {
  const simulation = new RaftSimulation({
    members: diskVoters("a", "b", "c"),
    seed: 1,
  });
  simulation.startAll();
  simulation.run(3_000);
  crashAll(simulation);
  simulation.ids.forEach((id) => simulation.start(id));
  simulation.run(REPLICATION_TIMING.leaderSilenceMs / 2);
  t.is(simulation.leaseHolders().length, 1);
});

/** A leader of term 2 whose log holds one entry of term 1. */
function leaderWithOldEntry(mutations: RaftMutation[]) {
  const core = coreOfTermOne(mutations, [
    { index: 1, term: 1, kind: "command", data: pack(1) },
  ]);
  const step = (input: RaftInput): RaftEffect[] => core.step([input], 5_000);
  const receive = (message: RaftMessage) =>
    step({
      kind: "message",
      from: "b",
      envelope: {
        formationId: "g",
        fromIncarnation: 1,
        toIncarnation: 1,
        message,
      },
    });
  step({ kind: "tick" });
  for (const isPreVote of [true, false]) {
    receive({
      kind: "voteReply",
      term: 2,
      isPreVote,
      isGranted: true,
      isWilling: true,
    });
  }
  step({ kind: "persisted", sequence: 10 });
  const acknowledge = (index: number) =>
    receive({
      kind: "appendReply",
      term: 2,
      isAccepted: true,
      index,
      sentAtMs: 5_000,
      stampMs: 0,
    });
  return { core, acknowledge };
}

test("an entry of an earlier term is committed only by one of the leader's term", (t) => {
  const { core, acknowledge } = leaderWithOldEntry([]);
  t.is(core.view.role, "leader");
  acknowledge(1);
  t.is(core.view.commitIndex, 0);
  acknowledge(2);
  t.is(core.view.commitIndex, 2);
  const mutant = leaderWithOldEntry([RaftMutation.commitsEarlierTerms]);
  mutant.acknowledge(1);
  t.is(mutant.core.view.commitIndex, 1);
});

test("a late snapshot drops no acknowledged entry", (t) => {
  const { core, acknowledge } = leaderWithOldEntry([]);
  acknowledge(2);
  const entries = [3, 4].map((index) => ({
    index,
    term: 3,
    kind: "command" as const,
    data: pack(index),
  }));
  const receive = (message: RaftMessage) =>
    core.step([{
      kind: "message",
      from: "c",
      envelope: {
        formationId: "g",
        fromIncarnation: 1,
        toIncarnation: 1,
        message,
      },
    }], 5_100);
  receive({
    kind: "append",
    term: 3,
    previousIndex: 2,
    previousTerm: 2,
    entries,
    commitIndex: 2,
    sentAtMs: 1,
    stampMs: 0,
    isLeaseHeld: false,
  });
  t.is(core.view.log.lastIndex, 4);
  receive({
    kind: "snapshotChunk",
    term: 3,
    index: 3,
    indexTerm: 3,
    configuration: core.view.configuration,
    totalBytes: 0,
    offsetBytes: 0,
    data: new Uint8Array(),
    sentAtMs: 2,
  });
  t.is(core.view.commitIndex, 3);
  t.is(core.view.log.lastIndex, 4);
});

test("a leader isolated while it removes a voter doesn't lead alone", (t) => {
  for (let seed = 1; seed <= 30; seed++) {
    const members = memoryVoters("a", "b", "c");
    const simulation = new RaftSimulation({ members, seed });
    simulation.startAll();
    simulation.run(3_000);
    const leader = leaderOf(simulation);
    const [restarted, removed] = others(simulation, leader);
    simulation.isolate(leader);
    simulation.input(leader, { kind: "removeMember", id: removed! });
    simulation.run(3_000);
    simulation.proposeToLeader();
    simulation.run(300);
    simulation.crash(restarted!);
    simulation.start(restarted!);
    t.notThrows(() => recover(simulation), `seed ${seed}`);
  }
});

// Guards against a leader that acts on a state without its predecessor's changes.
test("a leader has no lease before it knows all committed entries", (t) => {
  const simulation = new RaftSimulation({
    members: diskVoters("a", "b", "c"),
    seed: 1,
    syncMs: 300,
  });
  simulation.startAll();
  let leaders = 0;
  for (let round = 0; round < 8; round++) {
    for (let step = 0; step < 400; step++) {
      simulation.run(10);
      for (const id of simulation.ids) {
        const member = simulation.member(id);
        const nowMs = member.clockMs(simulation.nowMs);
        const { core } = member;
        if (core !== undefined && core.leaseEndMs(nowMs) > nowMs) {
          leaders += 1;
          t.true(core.isLeaseHeld(nowMs));
        }
      }
    }
    const leader = leaderOf(simulation);
    simulation.crash(leader);
    simulation.start(leader);
  }
  t.true(leaders > 0);
});
