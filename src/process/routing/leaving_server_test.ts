import test from "ava";
import { FakeClock, SeededRandom } from "../../base/mod.ts";
import { MetricsRegistry } from "../http/mod.ts";
import { LedgerState } from "../ledger/mod.ts";
import { MemoryGroup } from "../ledger/memory_group.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import { fixedConfiguration } from "./fixed_configuration.ts";
import { RequestRouting } from "./request_routing.ts";

/** A leaving server gets nothing new after this. */
const BOUND_MS = 2_000;
const ANNOUNCE_MS = 900;
const INSTANCE_IDS = ["i1", "i2", "i3"];

const CONFIGURATION = fixedConfiguration({
  dataCentres: ["dc"],
  services: { loft: { classes: [{ name: "quote", rank: 0 }] } },
});

/**
 * Three instances under load; one of two servers leaves and says so to the
 * first instance only. Gives how long after that it was last sent to.
 */
async function leaveUnderLoad(
  options: { lossRate: number; isCut: boolean; lifetimeMs?: number },
): Promise<number> {
  const clock = new FakeClock({ startMs: 1_000_000 });
  const random = new SeededRandom({ seed: 6 });
  const hub = new FakePeerHub({ clock, random, delayMs: () => 1 });
  const lastSentAtMs = new Map<string, number>();
  const { lifetimeMs } = options;
  const routings = INSTANCE_IDS.map((id) => {
    const state = new LedgerState();
    return new RequestRouting({
      self: { id, dataCentre: "dc", region: "r" },
      peers: INSTANCE_IDS.filter((other) => other !== id)
        .map((other) => ({ id: other, dataCentre: "dc", region: "r" })),
      incarnation: 1,
      clock,
      random,
      network: hub.join(id, { peerIds: INSTANCE_IDS }),
      configuration: CONFIGURATION,
      ledgerLog: new MemoryGroup({ groupId: id, state }).member(id),
      ledgerState: state,
      metrics: new MetricsRegistry(),
      ...(lifetimeMs === undefined
        ? {}
        : { routing: { announcementLifetimeMs: lifetimeMs } }),
      client: {
        send: async ({ address, record }) => {
          lastSentAtMs.set(address, clock.nowMs());
          await new Promise<void>((resolve) => clock.after(20, resolve));
          const { requestId, body } = record;
          const answer = {
            requestId,
            httpStatus: 200,
            contentType: undefined,
            body,
          };
          return { result: "answered", answer, fault: undefined };
        },
        close: () => Promise.resolve(),
      },
    });
  });
  let leavingAtMs = Infinity;
  const announce = (port: number, leaving: boolean): void => {
    routings[0]?.announce({
      serverId: `s${port}`,
      service: "loft",
      address: `127.0.0.1:${port}`,
      slots: 8,
      dataCentre: "dc",
      incarnation: 1,
      leaving,
    });
  };
  const timer = clock.every(ANNOUNCE_MS, () => {
    announce(1, clock.nowMs() >= leavingAtMs);
    announce(2, false);
  });
  announce(1, false);
  announce(2, false);
  const run = async (forMs: number): Promise<void> => {
    for (let leftMs = forMs; leftMs > 0; leftMs -= 10) {
      routings.forEach((routing) => void load(routing, clock));
      clock.advance(10);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  await run(3_000);
  hub.faults.lossRate = options.lossRate;
  if (options.isCut) {
    hub.cut("i1", "i2");
    hub.cut("i1", "i3");
  }
  leavingAtMs = clock.nowMs();
  announce(1, true);
  await run(4_000);
  timer.close();
  await Promise.all(routings.map((routing) => routing.close()));
  return (lastSentAtMs.get("127.0.0.1:1") ?? Infinity) - leavingAtMs;
}

async function load(routing: RequestRouting, clock: FakeClock): Promise<void> {
  const nowMs = clock.nowMs();
  await routing.answer({
    isNamed: false,
    record: {
      requestId: "r",
      service: "loft",
      clientAccount: undefined,
      requestClass: "quote",
      isIdempotent: true,
      receivedAtMs: nowMs,
      deadlineMs: nowMs + 500,
      path: "/",
      contentType: undefined,
      body: new Uint8Array(1),
      configurationVersion: 1,
    },
  }, { signal: new AbortController().signal });
}

test("a leaving server gets nothing once its instances heard", async (t) => {
  const lastMs = await leaveUnderLoad({ lossRate: 0, isCut: false });
  t.true(lastMs <= 10, `${lastMs}`);
});

for (const lossRate of [0.3, 0.9]) {
  test(`it gets nothing late when ${lossRate} of messages are lost`, async (t) => {
    const lastMs = await leaveUnderLoad({ lossRate, isCut: false });
    t.true(lastMs < BOUND_MS, `${lastMs}`);
  });
}

test("it gets nothing late from instances that never hear", async (t) => {
  const lastMs = await leaveUnderLoad({ lossRate: 0, isCut: true });
  t.true(lastMs < BOUND_MS, `${lastMs}`);
});

test("the check notices announcements that are used too long", async (t) => {
  const lastMs = await leaveUnderLoad({
    lossRate: 0,
    isCut: true,
    lifetimeMs: 3_500,
  });
  t.true(lastMs >= BOUND_MS, `${lastMs}`);
});
