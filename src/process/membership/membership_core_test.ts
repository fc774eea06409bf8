import test from "ava";
import type { Heartbeat } from "./heartbeat.ts";
import { MembershipCore, PeerState } from "./membership_core.ts";

const PEERS = ["b", "c"].map((id) => ({
  id,
  dataCentre: "east",
  region: "one",
}));

function beat(sequence: number, change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    incarnation: 1,
    sequence,
    httpAddress: "127.0.0.1:1",
    isLeaving: false,
    missing: [],
    ...change,
  };
}

/** Feeds one heartbeat a period from each named peer. */
function feed(
  core: MembershipCore,
  options: { from: string[]; seconds: [number, number]; missing?: string[] },
): void {
  const [first, last] = options.seconds;
  for (let second = first; second <= last; second++) {
    for (const id of options.from) {
      const heartbeat = beat(second, { missing: options.missing ?? [] });
      core.heartbeat(id, { heartbeat, atMs: second * 1_000 });
    }
    core.tick(second * 1_000 + 500);
  }
}

function stateOf(core: MembershipCore, id: string): string | undefined {
  return core.peers().find((peer) => peer.id === id)?.state;
}

test("a peer that falls silent is suspect, then dead, then back", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  feed(core, { from: ["b", "c"], seconds: [1, 10] });
  t.is(stateOf(core, "b"), PeerState.alive);
  feed(core, { from: ["c"], seconds: [11, 13], missing: ["b"] });
  t.is(stateOf(core, "b"), PeerState.suspect);
  feed(core, { from: ["c"], seconds: [14, 18], missing: ["b"] });
  t.is(stateOf(core, "b"), PeerState.dead);
  feed(core, { from: ["b", "c"], seconds: [19, 19] });
  t.is(stateOf(core, "b"), PeerState.alive);
});

test("a peer that another hears is unreachable, not dead", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  feed(core, { from: ["b", "c"], seconds: [1, 10] });
  feed(core, { from: ["c"], seconds: [11, 30] });
  t.is(stateOf(core, "b"), PeerState.unreachable);
});

test("a late peer becomes slow and is never taken for dead", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  let atMs = 1_000;
  for (let sequence = 1; sequence < 60; sequence++) {
    core.heartbeat("b", { heartbeat: beat(sequence), atMs });
    atMs += 1_000 + Math.min(sequence * 50, 1_500);
    core.tick(atMs);
    t.not(stateOf(core, "b"), PeerState.dead);
  }
  t.is(stateOf(core, "b"), PeerState.slow);
});

test("a restart is seen, and words of the earlier run are dropped", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  feed(core, { from: ["b"], seconds: [1, 5] });
  const restarted = beat(0, { incarnation: 2, httpAddress: "127.0.0.1:2" });
  core.heartbeat("b", { heartbeat: restarted, atMs: 6_000 });
  core.heartbeat("b", { heartbeat: beat(9), atMs: 6_100 });
  const view = core.peers()[0];
  t.is(view?.incarnation, 2);
  t.is(view?.httpAddress, "127.0.0.1:2");
});

test("a peer that says so is leaving", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  feed(core, { from: ["b"], seconds: [1, 5] });
  const leaving = beat(6, { isLeaving: true });
  core.heartbeat("b", { heartbeat: leaving, atMs: 6_000 });
  t.is(stateOf(core, "b"), PeerState.leaving);
});
