import test from "ava";
import { RaftMutation } from "./raft_mutation.ts";
import { diskVoters } from "./testing/fault_session.ts";
import { RaftSimulation } from "./testing/raft_simulation.ts";

/**
 * Two candidates ask one voter for its vote in the same term; its disk fails
 * and is repaired in between. Returns whom the voter voted for each time.
 */
function voteTwice(mutations: RaftMutation[]): (string | undefined)[] {
  const simulation = new RaftSimulation({
    members: diskVoters("a", "b", "c"),
    seed: 7,
    mutations,
  });
  simulation.startAll();
  simulation.run(3_000);
  const viewOf = (id: string) => simulation.member(id).core!.view;
  const term = viewOf("a").term + 5;
  const { lastIndex, lastTerm } = viewOf("a").log;
  const requestVote = (candidate: string) => {
    const { formationId, incarnation } = viewOf("a");
    simulation.input("a", {
      kind: "message",
      from: candidate,
      envelope: {
        formationId,
        fromIncarnation: viewOf(candidate).incarnation,
        toIncarnation: incarnation,
        message: {
          kind: "vote",
          term,
          lastIndex,
          lastTerm,
          isHandOver: true,
          isLeaderless: false,
        },
      },
    });
    return viewOf("a").votedFor;
  };
  const first = requestVote("b");
  // Its answers don't matter here, and others must not raise the term.
  simulation.isolate("a");
  simulation.run(200);
  simulation.failDisk("a", 100);
  simulation.run(150);
  return [first, requestVote("c")];
}

test("a voter whose disk failed keeps its vote", (t) => {
  t.deepEqual(voteTwice([]), ["b", "b"]);
});

test("a voter that forgets its vote at a disk fault votes twice", (t) => {
  t.deepEqual(voteTwice([RaftMutation.forgetsVoteAtDiskFault]), ["b", "c"]);
});
