import test from "ava";
import { FakeClock, SeededRandom } from "../../base/mod.ts";
import { MetricsRegistry } from "../http/mod.ts";
import { LedgerState } from "../ledger/mod.ts";
import { MemoryGroup } from "../ledger/memory_group.ts";
import { FakePeerHub } from "../replication/fake_peer_network.ts";
import { fixedConfiguration } from "./fixed_configuration.ts";
import { RequestRouting } from "./request_routing.ts";

/** How long after its announcement a leaving server may get new requests. */
const SEND_LIMIT_MS = 2_000;
const ANNOUNCEMENT_PERIOD_MS = 900;
const INSTANCE_IDS = ["i1", "i2", "i3"];

const CONFIGURATION = fixedConfiguration({
  dataCentres: ["dc"],
  services: { loft: { classes: [{ name: "quote", rank: 0 }] } },
});

/**
 * Runs three instances under load. One of two servers leaves and announces it
 * to the first instance only. Returns how long after that its last request was
 * sent, in milliseconds.
 */
async function leaveUnderLoad(
  options: { lossRate: number; isPartitioned: boolean; lifetimeMs?: number },
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
  const timer = clock.every(ANNOUNCEMENT_PERIOD_MS, () => {
    announce(1, clock.nowMs() >= leavingAtMs);
    announce(2, false);
  });
  announce(1, false);
  announce(2, false);
  const run = async (periodMs: number): Promise<void> => {
    for (let leftMs = periodMs; leftMs > 0; leftMs -= 10) {
      routings.forEach((routing) => void sendRequest(routing, clock));
      clock.advance(10);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  await run(3_000);
  hub.faults.lossRate = options.lossRate;
  if (options.isPartitioned) {
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

async function sendRequest(
  routing: RequestRouting,
  clock: FakeClock,
): Promise<void> {
  const nowMs = clock.nowMs();
  await routing.answer({
    hasCallerId: false,
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

test("a leaving server gets nothing once all instances know", async (t) => {
  const lastMs = await leaveUnderLoad({ lossRate: 0, isPartitioned: false });
  t.true(lastMs <= 10, `${lastMs}`);
});

for (const lossRate of [0.3, 0.9]) {
  test(`a leaving server gets nothing after 2 s with ${lossRate} of messages lost`, async (t) => {
    const lastMs = await leaveUnderLoad({ lossRate, isPartitioned: false });
    t.true(lastMs < SEND_LIMIT_MS, `${lastMs}`);
  });
}

test("a leaving server gets nothing after 2 s from instances that miss its announcement", async (t) => {
  const lastMs = await leaveUnderLoad({ lossRate: 0, isPartitioned: true });
  t.true(lastMs < SEND_LIMIT_MS, `${lastMs}`);
});

test("the check notices announcements that expire too late", async (t) => {
  const lastMs = await leaveUnderLoad({
    lossRate: 0,
    isPartitioned: true,
    lifetimeMs: 3_500,
  });
  t.true(lastMs >= SEND_LIMIT_MS, `${lastMs}`);
});
