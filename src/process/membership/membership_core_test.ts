import test from "ava";
import type { Heartbeat } from "./heartbeat.ts";
import { MembershipCore, PeerState } from "./membership_core.ts";

const PEERS = ["b", "c"].map((id) => ({
  id,
  dataCentre: "east",
  region: "one",
}));

function makeHeartbeat(
  sequence: number,
  change: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    incarnation: 1,
    sequence,
    httpAddress: "127.0.0.1:1",
    isLeaving: false,
    missing: [],
    ...change,
  };
}

/** Applies one heartbeat a second from each named peer. */
function sendHeartbeats(
  core: MembershipCore,
  options: { from: string[]; seconds: [number, number]; missing?: string[] },
): void {
  const [first, last] = options.seconds;
  for (let second = first; second <= last; second++) {
    for (const id of options.from) {
      const heartbeat = makeHeartbeat(second, {
        missing: options.missing ?? [],
      });
      core.applyHeartbeat(id, { heartbeat, atMs: second * 1_000 });
    }
    core.tick(second * 1_000 + 500);
  }
}

function stateOf(core: MembershipCore, id: string): string | undefined {
  return core.peers().find((peer) => peer.id === id)?.state;
}

test("a peer that stops sending is suspect, then dead, and recovers", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  sendHeartbeats(core, { from: ["b", "c"], seconds: [1, 10] });
  t.is(stateOf(core, "b"), PeerState.alive);
  sendHeartbeats(core, { from: ["c"], seconds: [11, 13], missing: ["b"] });
  t.is(stateOf(core, "b"), PeerState.suspect);
  sendHeartbeats(core, { from: ["c"], seconds: [14, 18], missing: ["b"] });
  t.is(stateOf(core, "b"), PeerState.dead);
  sendHeartbeats(core, { from: ["b", "c"], seconds: [19, 19] });
  t.is(stateOf(core, "b"), PeerState.alive);
});

test("a peer that another peer can reach is unreachable, not dead", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  sendHeartbeats(core, { from: ["b", "c"], seconds: [1, 10] });
  sendHeartbeats(core, { from: ["c"], seconds: [11, 30] });
  t.is(stateOf(core, "b"), PeerState.unreachable);
});

test("a peer whose heartbeats get slower becomes slow, never dead", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  let atMs = 1_000;
  for (let sequence = 1; sequence < 60; sequence++) {
    core.applyHeartbeat("b", { heartbeat: makeHeartbeat(sequence), atMs });
    atMs += 1_000 + Math.min(sequence * 50, 1_500);
    core.tick(atMs);
    t.not(stateOf(core, "b"), PeerState.dead);
  }
  t.is(stateOf(core, "b"), PeerState.slow);
});

test("heartbeats from before a restart are dropped after it", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  sendHeartbeats(core, { from: ["b"], seconds: [1, 5] });
  const restarted = makeHeartbeat(0, {
    incarnation: 2,
    httpAddress: "127.0.0.1:2",
  });
  core.applyHeartbeat("b", { heartbeat: restarted, atMs: 6_000 });
  core.applyHeartbeat("b", { heartbeat: makeHeartbeat(9), atMs: 6_100 });
  const view = core.peers()[0];
  t.is(view?.incarnation, 2);
  t.is(view?.httpAddress, "127.0.0.1:2");
});

test("a peer that announces its stop is leaving", (t) => {
  const core = new MembershipCore({ peers: PEERS });
  sendHeartbeats(core, { from: ["b"], seconds: [1, 5] });
  const leaving = makeHeartbeat(6, { isLeaving: true });
  core.applyHeartbeat("b", { heartbeat: leaving, atMs: 6_000 });
  t.is(stateOf(core, "b"), PeerState.leaving);
});
