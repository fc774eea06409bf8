/**
 * Measures how fast commands are committed: the latency of single commands from
 * the leader and from a follower in another region, the time until every member
 * has applied them, and commits per second from many callers.
 *
 *     node dist/bench/replication/commit_bench.js [--disks]
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import process from "node:process";
import { BenchGroup, type BenchMember } from "./bench_group.ts";

const SEED = 11;
const COMMAND = new Uint8Array(200).fill(7);
const SINGLE_COMMANDS = 60;
const CALLERS = 1_024;
const LOAD_DURATION_MS = 3_000;
const DEADLINE_MS = 10_000;

async function propose(from: BenchMember, group: BenchGroup): Promise<void> {
  const deadlineMs = group.clock.nowMs() + DEADLINE_MS;
  (await from.member.propose(COMMAND, { deadlineMs })).unsafeCoerce();
}

function percentile(values: readonly number[], fraction: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * fraction));
  return sorted[at]!.toFixed(1);
}

/** Measures the time until the answer and until the last member applied it. */
async function measureCommand(
  group: BenchGroup,
  from: BenchMember,
): Promise<{ answeredMs: number; everywhereMs: number }> {
  const startMs = performance.now();
  const allApplied = group.members.map(({ machine }) =>
    new Promise<void>((resolve) => {
      machine.onApply = () => resolve();
    })
  );
  await propose(from, group);
  const answeredMs = performance.now() - startMs;
  await Promise.all(allApplied);
  return { answeredMs, everywhereMs: performance.now() - startMs };
}

async function measureLatency(
  group: BenchGroup,
  from: BenchMember,
): Promise<string> {
  const answered: number[] = [];
  const everywhere: number[] = [];
  for (let at = 0; at < SINGLE_COMMANDS; at++) {
    const times = await measureCommand(group, from);
    answered.push(times.answeredMs);
    everywhere.push(times.everywhereMs);
  }
  return `answered p50 ${percentile(answered, 0.5)} ` +
    `p99 ${percentile(answered, 0.99)}, ` +
    `everywhere p50 ${percentile(everywhere, 0.5)} ` +
    `p99 ${percentile(everywhere, 0.99)} ms`;
}

async function measureLoad(
  group: BenchGroup,
  from: BenchMember,
): Promise<string> {
  const endMs = performance.now() + LOAD_DURATION_MS;
  const latencies: number[] = [];
  const call = async () => {
    while (performance.now() < endMs) {
      const startMs = performance.now();
      await propose(from, group);
      latencies.push(performance.now() - startMs);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, call));
  const perSecond = latencies.length * 1_000 / LOAD_DURATION_MS;
  return `${perSecond.toFixed(0)} commits/s from ${CALLERS} callers, ` +
    `p50 ${percentile(latencies, 0.5)} p99 ${percentile(latencies, 0.99)} ms`;
}

async function main(): Promise<void> {
  const hasDisks = process.argv.includes("--disks");
  console.log(hasDisks ? "files, synced" : "memory");
  for (const members of [3, 5, 9]) {
    const group = await BenchGroup.open({ members, seed: SEED, hasDisks });
    const leader = await group.waitForLeader();
    const follower = group.members.find(({ id }) =>
      Number(id.slice(1)) % 3 !== Number(leader.id.slice(1)) % 3
    )!;
    console.log(`${members} members`);
    console.log("  leader:  ", await measureLatency(group, leader));
    console.log("  follower:", await measureLatency(group, follower));
    console.log("  load:    ", await measureLoad(group, leader));
    await group.close();
  }
}

await main();
