import test from "ava";
import { FakeClock } from "../../base/mod.ts";
import { LeaderCalls, type LeaderCallsOptions } from "./leader_calls.ts";
import type { RaftEnvelope } from "./raft_message.ts";

type Options = LeaderCallsOptions<never, never>;

/** A follower whose leader replies to reads when the test says so. */
function newFollower() {
  const clock = new FakeClock({ startMs: 1_000 });
  const view = {
    role: "follower",
    leaderId: "leader",
    commitIndex: 1,
    formationId: "f",
    incarnation: 1,
  };
  const sentIds: number[] = [];
  const calls = new LeaderCalls<never, never>({
    driver: { view } as unknown as Options["driver"],
    channel: {
      send: (_to: string, { message }: RaftEnvelope) => {
        sentIds.push(message.kind === "read" ? message.id : 0);
        return true;
      },
    } as unknown as Options["channel"],
    clock,
  });
  const reply = (id: number) =>
    calls.receive("leader", {
      formationId: "f",
      fromIncarnation: 1,
      toIncarnation: 1,
      message: { kind: "readReply", id, index: 7 },
    });
  return { clock, calls, sentIds, reply };
}

test("a read is answered by a leader that is slower than the resend", async (t) => {
  const { clock, calls, sentIds, reply } = newFollower();
  const index = calls.readIndex(clock.nowMs() + 900);
  clock.advance(800);
  t.is(sentIds.length, 2);
  reply(sentIds[0]!);
  t.is(await index, 7);
  clock.advance(2_000);
  t.is(sentIds.length, 2);
});

test("a read ends at its deadline without a reply", async (t) => {
  const { clock, calls, sentIds } = newFollower();
  const index = calls.readIndex(clock.nowMs() + 900);
  clock.advance(900);
  t.is(await index, undefined);
  clock.advance(2_000);
  t.is(sentIds.length, 2);
});
