import test from "ava";
import { Channel, FakeClock } from "../../base/mod.ts";
import type { ConfigurationVersion } from "../../version/configuration_version.ts";
import { documentSchema } from "../../version/document/document.ts";
import { RemovalAcknowledger } from "./removal_acknowledger.ts";

function versionOf(
  version: number,
  status: "in" | "out",
): ConfigurationVersion {
  const dataCentres = { east: { owner: "a", region: "one", status } };
  const document = documentSchema.parse({ formatVersion: 1, dataCentres });
  return { version, document, acceptedAtMs: 0 };
}

function setUp() {
  const clock = new FakeClock();
  const versions = new Channel<ConfigurationVersion>();
  const state = { hasSettled: false, isLeaseHeld: true };
  const acknowledged: number[] = [];
  const acknowledger = new RemovalAcknowledger({
    clock,
    dataCentre: "east",
    configuration: {
      current: () => versionOf(1, "in"),
      versions: versions.stream,
      currentAtMs: () => 0,
    },
    hasSettled: () => state.hasSettled,
    isLeaseHeld: () => state.isLeaseHeld,
    acknowledge: (version) => acknowledged.push(version),
  });
  return { clock, versions, state, acknowledged, acknowledger };
}

test("a removal is acknowledged once, when no start is in progress", (t) => {
  const { clock, versions, state, acknowledged } = setUp();
  versions.push(versionOf(2, "out"));
  clock.advance(5_000);
  t.deepEqual(acknowledged, []);
  state.hasSettled = true;
  clock.advance(5_000);
  t.deepEqual(acknowledged, [2]);
});

test("an instance without a valid lease acknowledges nothing", (t) => {
  const { clock, versions, state, acknowledged } = setUp();
  state.hasSettled = true;
  state.isLeaseHeld = false;
  versions.push(versionOf(2, "out"));
  clock.advance(5_000);
  versions.push(versionOf(3, "in"));
  state.isLeaseHeld = true;
  clock.advance(5_000);
  t.deepEqual(acknowledged, []);
});
