import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import test from "ava";
import { Right } from "purify-ts/Either";
import {
  failure,
  SeededRandom,
  SILENT_EVENT_LOG,
  SystemClock,
} from "../base/mod.ts";
import { HybridClock } from "../process/timeline/mod.ts";
import { ClusterKey } from "./cluster_key.ts";
import { SilentRelay } from "./silent_relay_fixture.ts";
import { type PeerAddress, WsPeerNetwork } from "./ws_peer_network.ts";

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `127.0.0.1:${port}`;
}

function newNetwork(self: PeerAddress, peer: PeerAddress): WsPeerNetwork {
  const clock = new SystemClock();
  return new WsPeerNetwork({
    self,
    peers: [peer],
    clusterName: "test",
    clusterKey: new ClusterKey({ key: Buffer.from("secret") }),
    clock,
    hybridClock: new HybridClock({ clock }),
    random: new SeededRandom({ seed: 1 }),
    events: SILENT_EVENT_LOG,
  });
}

/** A follower calls an election after 0.95 s without a heartbeat. */
const LIMIT_MS = 2_000;

test.failing("messages arrive again within 2 s after an open connection went silent", async (t) => {
  const addressOfB = await freeAddress();
  const relay = new SilentRelay(addressOfB);
  const selfA = { id: "a", address: await freeAddress() };
  const a = newNetwork(selfA, { id: "b", address: await relay.open() });
  const b = newNetwork({ id: "b", address: addressOfB }, selfA);
  await Promise.all([a.open(), b.open()]);
  const channelOf = (network: WsPeerNetwork) =>
    network.channel<number>({
      name: "numbers",
      decode: (body) =>
        typeof body === "number" ? Right(body) : failure("malformed"),
    });
  const sender = channelOf(a);
  let received = 0;
  channelOf(b).received.observe(({ message }) => void (received = message));
  // As a leader's heartbeats.
  let sent = 0;
  const timer = setInterval(() => sender.send("b", ++sent), 50);
  while (received < 20) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  relay.silence();
  const last = sent;
  const beganAtMs = Date.now();
  while (received <= last && Date.now() - beganAtMs < 10_000) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const tookMs = Date.now() - beganAtMs;
  clearInterval(timer);
  await Promise.all([a.close(), b.close()]);
  relay.close();
  t.true(tookMs < LIMIT_MS, `took ${tookMs} ms`);
});
