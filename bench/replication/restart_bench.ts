/**
 * Measures how long a member takes to start with a log of many commands on its
 * disk, and the size of its folder.
 *
 *     node dist/bench/replication/restart_bench.js
 *
 * @module
 */

import { mkdtemp, readdir, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { SeededRandom, SystemClock } from "../../src/base/mod.ts";
import { FakePeerHub } from "../../src/process/replication/fake_peer_network.ts";
import { ReplicationMember } from "../../src/process/replication/mod.ts";
import { FileStorage } from "../../src/process/storage/mod.ts";
import { CountingMachine } from "./bench_group.ts";

const COMMAND = new Uint8Array(200).fill(7);
const CALLERS = 512;

interface OpenMember {
  readonly machine: CountingMachine;
  readonly member: ReplicationMember<Uint8Array, number>;
  readonly storage: FileStorage;
}

const clock = new SystemClock();

async function open(folder: string): Promise<OpenMember> {
  const random = new SeededRandom({ seed: 3 });
  const hub = new FakePeerHub({ clock, random });
  const storage = (await FileStorage.open({ folder })).unsafeCoerce();
  const machine = new CountingMachine();
  const member = await ReplicationMember.open({
    groupId: "bench",
    members: [{ id: "a", isVoter: true, isDurable: true }],
    network: hub.join("a", { peerIds: ["a"] }),
    clock,
    random,
    machine,
    storage,
  });
  return { machine, member: member.unsafeCoerce(), storage };
}

async function close({ member, storage }: OpenMember): Promise<void> {
  await member.close();
  await storage.close();
}

async function fill(opened: OpenMember, commands: number): Promise<void> {
  let left = commands;
  const call = async () => {
    while (left > 0) {
      left -= 1;
      const deadlineMs = clock.nowMs() + 60_000;
      const result = await opened.member.propose(COMMAND, { deadlineMs });
      result.unsafeCoerce();
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, call));
}

async function folderBytes(folder: string): Promise<number> {
  let bytes = 0;
  for (const name of await readdir(folder)) {
    bytes += (await stat(join(folder, name))).size;
  }
  return bytes;
}

async function measure(commands: number): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), "replication-"));
  const first = await open(folder);
  const fillStartMs = performance.now();
  await fill(first, commands);
  const fillMs = performance.now() - fillStartMs;
  await close(first);
  const bytes = await folderBytes(folder);
  const startMs = performance.now();
  const second = await open(folder);
  const openMs = performance.now() - startMs;
  const deadlineMs = clock.nowMs() + 10_000;
  (await second.member.propose(COMMAND, { deadlineMs })).unsafeCoerce();
  const servingMs = performance.now() - startMs;
  const { count } = second.machine;
  await close(second);
  await rm(folder, { recursive: true });
  return `${commands} commands: written in ${fillMs.toFixed(0)} ms, ` +
    `${bytes} bytes on disk, open after ${openMs.toFixed(0)} ms, ` +
    `first commit after ${servingMs.toFixed(0)} ms, ${count} applied`;
}

for (const commands of [1_000, 4_000, 100_000]) {
  console.log(await measure(commands));
}
