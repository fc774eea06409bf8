import { Buffer } from "node:buffer";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import { Right } from "purify-ts/Either";
import { WebSocket } from "ws";
import {
  failure,
  SeededRandom,
  SILENT_EVENT_LOG,
  SystemClock,
} from "../base/mod.ts";
import { HybridClock } from "../process/timeline/mod.ts";
import { ClusterKey } from "./cluster_key.ts";
import { FRAME_LIMIT_BYTES, type PeerTls } from "./link_transport.ts";
import { encodeFrame, PEER_PROTOCOL_VERSION } from "./peer_frame.ts";
import type { PeerChannel, Received } from "./peer_network.ts";
import { WsPeerNetwork } from "./ws_peer_network.ts";

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return `127.0.0.1:${port}`;
}

interface Pair {
  readonly a: WsPeerNetwork;
  readonly b: WsPeerNetwork;
  readonly addressOfB: string;
}

function makeNetwork(
  self: { id: string; address: string },
  options: {
    peer: { id: string; address: string };
    key: string;
    tls?: PeerTls;
  },
): WsPeerNetwork {
  const clock = new SystemClock();
  return new WsPeerNetwork({
    self,
    peers: [options.peer],
    clusterName: "test",
    clusterKey: new ClusterKey({ key: Buffer.from(options.key) }),
    ...(options.tls === undefined ? {} : { tls: options.tls }),
    clock,
    hybridClock: new HybridClock({ clock }),
    random: new SeededRandom({ seed: 1 }),
    events: SILENT_EVENT_LOG,
  });
}

async function openPair(
  keys: { a: string; b: string; tls?: PeerTls },
): Promise<Pair> {
  const selfA = { id: "a", address: await freeAddress() };
  const selfB = { id: "b", address: await freeAddress() };
  const tls = keys.tls === undefined ? {} : { tls: keys.tls };
  const a = makeNetwork(selfA, { peer: selfB, key: keys.a, ...tls });
  const b = makeNetwork(selfB, { peer: selfA, key: keys.b, ...tls });
  await Promise.all([a.open(), b.open()]);
  return { a, b, addressOfB: selfB.address };
}

async function closePair(pair: Pair): Promise<void> {
  await Promise.all([pair.a.close(), pair.b.close()]);
}

function textChannel(network: WsPeerNetwork): PeerChannel<string> {
  return network.channel<string>({
    name: "text",
    decode: (body) =>
      typeof body === "string" ? Right(body) : failure("malformed"),
  });
}

/** Polls until the condition, which depends on real sockets, is true. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

test("messages arrive on the same channel of the peer, in order", async (t) => {
  const pair = await openPair({ a: "secret", b: "secret" });
  const messages: Received<string>[] = [];
  textChannel(pair.b).received.observe((received) => {
    messages.push(received);
  });
  const sender = textChannel(pair.a);
  t.false(sender.send("nobody", "lost"));
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  t.true(sender.send("b", "one"));
  t.true(sender.send("b", "two"));
  await waitUntil(() => messages.length === 2);
  t.deepEqual(messages, [
    { from: "a", message: "one" },
    { from: "a", message: "two" },
  ]);
  await closePair(pair);
});

test("a peer that was away is dialled as soon as it connects", async (t) => {
  const selfA = { id: "a", address: await freeAddress() };
  const selfB = { id: "b", address: await freeAddress() };
  const a = makeNetwork(selfA, { peer: selfB, key: "secret" });
  await a.open();
  // Attempts to reconnect are up to 2 s apart by then.
  await new Promise((resolve) => setTimeout(resolve, 4_500));
  const b = makeNetwork(selfB, { peer: selfA, key: "secret" });
  await b.open();
  await waitUntil(() => b.linkedPeerIds().includes("a"));
  const linkedAtMs = performance.now();
  await waitUntil(() => a.linkedPeerIds().includes("b"));
  t.true(performance.now() - linkedAtMs < 500);
  await Promise.all([a.close(), b.close()]);
});

test("a stranger is admitted once it has proven the cluster key, not before", async (t) => {
  const selfA = { id: "a", address: await freeAddress() };
  const selfB = { id: "b", address: await freeAddress() };
  const clock = new SystemClock();
  const admittedIds: string[] = [];
  const a = new WsPeerNetwork({
    self: selfA,
    peers: [],
    clusterName: "test",
    clusterKey: new ClusterKey({ key: Buffer.from("secret") }),
    clock,
    hybridClock: new HybridClock({ clock }),
    random: new SeededRandom({ seed: 1 }),
    events: SILENT_EVENT_LOG,
    admit: () => selfB,
    onAdmitted: (id) => admittedIds.push(id),
  });
  await a.open();
  const socket = new WebSocket(`ws://${selfA.address}`);
  await once(socket, "open");
  socket.send(encodeFrame({
    kind: "hello",
    protocolVersion: PEER_PROTOCOL_VERSION,
    clusterName: "test",
    from: "stranger",
    to: "a",
    nonce: new Uint8Array(16),
  }));
  await once(socket, "message");
  t.deepEqual(admittedIds, []);
  const b = makeNetwork(selfB, { peer: selfA, key: "secret" });
  await b.open();
  await waitUntil(() => b.linkedPeerIds().includes("a"));
  t.deepEqual(admittedIds, ["b"]);
  socket.terminate();
  await Promise.all([a.close(), b.close()]);
});

test("no link opens between peers with different cluster keys", async (t) => {
  const pair = await openPair({ a: "secret", b: "guess" });
  await waitUntil(() =>
    pair.a.traffic.rejectedConnections > 0 &&
    pair.b.traffic.rejectedConnections > 0
  );
  t.deepEqual(pair.a.linkedPeerIds(), []);
  t.deepEqual(pair.b.linkedPeerIds(), []);
  await closePair(pair);
});

test("a bad frame is counted and closes only its connection", async (t) => {
  const pair = await openPair({ a: "secret", b: "secret" });
  const hello = {
    kind: "hello",
    protocolVersion: PEER_PROTOCOL_VERSION,
    clusterName: "test",
    from: "a",
    to: "b",
    nonce: new Uint8Array(16),
  } as const;
  const frames: (Uint8Array | string)[] = [
    "text",
    Buffer.from([0xc1]),
    encodeFrame({ ...hello, protocolVersion: 99 }),
    encodeFrame({ ...hello, clusterName: "other" }),
    encodeFrame({ ...hello, to: "c" }),
    encodeFrame({ ...hello, from: "unknown" }),
    encodeFrame({ kind: "proof", mac: new Uint8Array(32) }),
    encodeFrame({
      kind: "message",
      channel: "text",
      wallMs: 0,
      counter: 0,
      body: "unauthenticated",
    }),
    new Uint8Array(FRAME_LIMIT_BYTES + 1),
  ];
  const messages: unknown[] = [];
  textChannel(pair.b).received.observe((received) => {
    messages.push(received);
  });
  for (const frame of frames) {
    const socket = new WebSocket(`ws://${pair.addressOfB}`);
    socket.on("error", () => undefined);
    await once(socket, "open");
    const before = pair.b.traffic.rejectedConnections;
    socket.send(frame);
    await once(socket, "close");
    await waitUntil(() => pair.b.traffic.rejectedConnections > before);
  }
  t.is(pair.b.traffic.rejectedConnections, frames.length);
  t.deepEqual(messages, []);
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  t.true(textChannel(pair.a).send("b", "still delivered"));
  await waitUntil(() => messages.length === 1);
  await closePair(pair);
});

// Guards against memory for a large frame before its sender is known.
test("an unknown peer that sends more than an authentication is closed", async (t) => {
  const pair = await openPair({ a: "secret", b: "secret" });
  const [host, port] = pair.addressOfB.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  let received = 0;
  socket.on("data", (chunk) => received += chunk.length);
  const closed = once(socket, "close");
  socket.write([
    "GET / HTTP/1.1",
    "connection: upgrade",
    "upgrade: websocket",
    "sec-websocket-version: 13",
    "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==",
    "",
    "",
  ].join("\r\n"));
  await waitUntil(() => received > 0);
  const frameOf1MiB = [0x82, 0xff, 0, 0, 0, 0, 0, 16, 0, 0, 0, 0, 0, 0];
  socket.write(Buffer.from(frameOf1MiB));
  socket.write(Buffer.alloc(20_000));
  await closed;
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  t.pass();
  await closePair(pair);
});

// Guards against strangers that hold all places of a listener of links, and come
// back as soon as they are closed.
test("a peer links to an instance whose places strangers hold", async (t) => {
  const selfA = { id: "a", address: await freeAddress() };
  const selfB = { id: "b", address: await freeAddress() };
  const b = makeNetwork(selfB, { peer: selfA, key: "secret" });
  await b.open();
  const [host, port] = selfB.address.split(":");
  const strangers = new Set<Socket>();
  let isOver = false;
  const hold = () => {
    const socket = connect({
      host: host!,
      port: Number(port),
      localAddress: "127.0.0.9",
    });
    strangers.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      strangers.delete(socket);
      if (!isOver) {
        setTimeout(hold, 5);
      }
    });
  };
  Array.from({ length: 100 }, hold);
  await waitUntil(() => strangers.size >= 64);
  await new Promise((resolve) => setTimeout(resolve, 100));
  const a = makeNetwork(selfA, { peer: selfB, key: "secret" });
  await a.open();
  const deadlineMs = Date.now() + 4_000;
  await waitUntil(() =>
    a.linkedPeerIds().includes("b") || Date.now() > deadlineMs
  );
  t.deepEqual(a.linkedPeerIds(), ["b"]);
  isOver = true;
  strangers.forEach((socket) => socket.destroy());
  await Promise.all([a.close(), b.close()]);
});

// Guards against requests that a listener of links never answers and keeps.
test("an HTTP request at a listener of links is closed", async (t) => {
  const pair = await openPair({ a: "secret", b: "secret" });
  const [host, port] = pair.addressOfB.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  const closed = once(socket, "close");
  socket.resume();
  socket.write("GET / HTTP/1.1\r\n\r\n".repeat(1_000));
  await closed;
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  t.pass();
  await closePair(pair);
});

test("a message that its channel can't decode closes the link", async (t) => {
  const pair = await openPair({ a: "secret", b: "secret" });
  textChannel(pair.b);
  const wrong = pair.a.channel<number>({
    name: "text",
    decode: () => failure("malformed"),
  });
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  wrong.send("b", 5);
  await waitUntil(() => pair.b.traffic.rejectedConnections === 1);
  t.is(pair.b.traffic.receivedMessages, 0);
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  await closePair(pair);
});

test("with TLS, a peer without a certificate is rejected", async (t) => {
  const read = (name: string) =>
    readFileSync(`test/fixtures/tls/${name}`, "utf8");
  const tls: PeerTls = {
    certificate: read("instance.pem"),
    key: read("instance.key"),
    authority: read("authority.pem"),
  };
  const pair = await openPair({ a: "secret", b: "secret", tls });
  const messages: Received<string>[] = [];
  textChannel(pair.b).received.observe((received) => {
    messages.push(received);
  });
  await waitUntil(() => pair.a.linkedPeerIds().includes("b"));
  t.true(textChannel(pair.a).send("b", "encrypted"));
  await waitUntil(() => messages.length === 1);
  const socket = new WebSocket(`wss://${pair.addressOfB}`, {
    ca: tls.authority,
    checkServerIdentity: () => false,
  });
  const error = await new Promise<NodeJS.ErrnoException>((resolve) => {
    socket.once("error", resolve);
  });
  t.is(error.code, "ERR_SSL_TLSV13_ALERT_CERTIFICATE_REQUIRED");
  await closePair(pair);
});
