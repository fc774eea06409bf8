import test from "ava";
import { FakeClock } from "../../base/fake_clock.ts";
import { SeededRandom } from "../../base/random_source.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import {
  decodeReport,
  type InForceReport,
  InForceTracker,
} from "./in_force_tracker.ts";

const INSTANCE_IDS = ["a", "b", "c"];

function createTrackers() {
  const clock = new FakeClock({ startMs: 1_000 });
  const sent = { messages: 0 };
  const hub = new FakePeerHub({
    clock,
    random: new SeededRandom({ seed: 1 }),
    onSend: () => void sent.messages++,
  });
  const trackers = INSTANCE_IDS.map((id) => {
    const network = hub.join(id, { peerIds: INSTANCE_IDS });
    return new InForceTracker({ clock, network });
  });
  const [a, b, c] = trackers as [
    InForceTracker,
    InForceTracker,
    InForceTracker,
  ];
  return { clock, hub, sent, a, b, c };
}

test("a change is reported at once, and again after a lost report", (t) => {
  const { clock, hub, a, b } = createTrackers();
  a.setVersion(3);
  clock.advance(0);
  t.is(b.versionOn("a"), 3);
  hub.isolate("b");
  a.setVersion(4);
  clock.advance(100);
  hub.heal();
  t.is(b.versionOn("a"), 3);
  clock.advance(5_000);
  t.is(b.versionOn("a"), 4);
  t.deepEqual(b.versionsInForce(), [
    { instanceId: "b", version: 0 },
    { instanceId: "a", version: 4 },
    { instanceId: "c", version: 0 },
  ]);
});

test("frequent changes are batched into few reports", (t) => {
  const { clock, sent, a, b } = createTrackers();
  for (let version = 1; version <= 500; version++) {
    a.setVersion(version);
    clock.advance(1);
  }
  clock.advance(100);
  t.is(b.versionOn("a"), 500);
  t.true(sent.messages <= 2 * (500 / 50 + 2));
});

test("a delayed report doesn't replace a newer one", (t) => {
  const clock = new FakeClock({ startMs: 1_000 });
  const random = new SeededRandom({ seed: 1 });
  const hub = new FakePeerHub({ clock, random });
  const peerIds = ["a", "b"];
  const network = hub.join("a", { peerIds });
  const tracker = new InForceTracker({ clock, network });
  const sender = hub.join("b", { peerIds }).channel<InForceReport>({
    name: "configuration",
    decode: decodeReport,
  });
  const reportOf = (sentAtMs: number, version: number): InForceReport => ({
    formatVersion: 1,
    sentAtMs,
    version,
    acknowledgements: [],
  });
  sender.send("a", reportOf(900, 5));
  sender.send("a", reportOf(800, 4));
  clock.advance(0);
  t.is(tracker.versionOn("b"), 5);
  clock.advance(20_000);
  sender.send("a", reportOf(100, 6));
  clock.advance(0);
  t.is(tracker.versionOn("b"), 6, "the sender restarted with an earlier clock");
  tracker.close();
});

test("acknowledgements reach every instance", (t) => {
  const { clock, a, b, c } = createTrackers();
  a.acknowledge("north", 7);
  clock.advance(0);
  for (const tracker of [a, b, c]) {
    t.true(tracker.isAcknowledged("north", 7));
    t.false(tracker.isAcknowledged("north", 8));
    t.false(tracker.isAcknowledged("south", 1));
  }
});

test("malformed reports are refused", (t) => {
  const bodies = [
    null,
    1,
    {},
    { formatVersion: 2, sentAtMs: 1, version: 1, acknowledgements: [] },
    {
      formatVersion: 1,
      sentAtMs: 1,
      version: 1,
      acknowledgements: Array(100).fill({ dataCentre: "a", version: 1 }),
    },
  ];
  for (const body of bodies) {
    t.true(decodeReport(body).isLeft());
  }
});
