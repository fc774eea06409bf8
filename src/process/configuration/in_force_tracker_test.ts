import test from "ava";
import { FakeClock } from "../../base/fake_clock.ts";
import { FakePeerLinks } from "./fake_peer_network.ts";
import {
  decodeReport,
  type InForceReport,
  InForceTracker,
} from "./in_force_tracker.ts";

const INSTANCE_IDS = ["a", "b", "c"];

function setUp() {
  const clock = new FakeClock({ startMs: 1_000 });
  const links = new FakePeerLinks({ instanceIds: INSTANCE_IDS });
  const trackers = INSTANCE_IDS.map((id) =>
    new InForceTracker({ clock, network: links.network(id) })
  );
  const [a, b, c] = trackers as [
    InForceTracker,
    InForceTracker,
    InForceTracker,
  ];
  return { clock, links, a, b, c };
}

test("a change is told at once, and again after a lost report", (t) => {
  const { clock, links, a, b } = setUp();
  a.setVersion(3);
  clock.advance(0);
  t.is(b.versionOn("a"), 3);
  links.cutOff("b");
  a.setVersion(4);
  clock.advance(100);
  links.reconnect("b");
  t.is(b.versionOn("a"), 3);
  clock.advance(5_000);
  t.is(b.versionOn("a"), 4);
  t.deepEqual(b.inForce(), [
    { instanceId: "b", version: 0 },
    { instanceId: "a", version: 4 },
    { instanceId: "c", version: 0 },
  ]);
});

test("many changes at once are told in few reports", (t) => {
  const { clock, links, a, b } = setUp();
  for (let version = 1; version <= 500; version++) {
    a.setVersion(version);
    clock.advance(1);
  }
  clock.advance(100);
  t.is(b.versionOn("a"), 500);
  t.true(links.sent.messages <= 2 * (500 / 50 + 2));
});

test("a report that comes late doesn't undo a later one", (t) => {
  const clock = new FakeClock({ startMs: 1_000 });
  const links = new FakePeerLinks({ instanceIds: ["a", "b"] });
  const tracker = new InForceTracker({ clock, network: links.network("a") });
  const sender = links.network("b").channel<InForceReport>({
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
  t.is(tracker.versionOn("b"), 5);
  clock.advance(20_000);
  sender.send("a", reportOf(100, 6));
  t.is(tracker.versionOn("b"), 6, "an earlier clock after a restart");
  tracker.close();
});

test("acknowledgements reach every instance", (t) => {
  const { clock, a, b, c } = setUp();
  a.acknowledge("north", 7);
  clock.advance(0);
  for (const tracker of [a, b, c]) {
    t.true(tracker.isAcknowledged("north", 7));
    t.false(tracker.isAcknowledged("north", 8));
    t.false(tracker.isAcknowledged("south", 1));
  }
});

test("a body of another shape is no report", (t) => {
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
