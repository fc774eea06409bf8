/**
 * Sessions of faults for a simulated group, as commands of `fast-check`.
 *
 * @module
 */

import * as fc from "fast-check";
import type { GroupMember, RaftInput } from "../raft_effect.ts";
import type { RaftMutation } from "../raft_mutation.ts";
import { RaftSimulation } from "./raft_simulation.ts";

/** What may happen to a group; a member is meant by its place. */
export type Action =
  | { kind: "run"; ms: number }
  | { kind: "propose"; count: number }
  | { kind: "proposeTo"; member: number }
  | { kind: "crash"; member: number }
  | { kind: "start"; member: number }
  | { kind: "wipe"; member: number }
  | { kind: "restartAll" }
  | { kind: "cut"; from: number; to: number }
  | { kind: "isolate"; member: number }
  | { kind: "heal" }
  | { kind: "weather"; lossRate: number; doublingRate: number }
  | { kind: "handOver" }
  | { kind: "remove"; member: number }
  | { kind: "add"; member: number };

const place = fc.nat({ max: 8 });

const ACTIONS: fc.Arbitrary<Action>[] = [
  fc.record({
    kind: fc.constant("run"),
    ms: fc.integer({ min: 1, max: 2500 }),
  }),
  fc.record({ kind: fc.constant("run"), ms: fc.integer({ min: 1, max: 200 }) }),
  fc.record({
    kind: fc.constant("propose"),
    count: fc.integer({ min: 1, max: 20 }),
  }),
  fc.record({ kind: fc.constant("proposeTo"), member: place }),
  fc.record({ kind: fc.constant("crash"), member: place }),
  fc.record({ kind: fc.constant("start"), member: place }),
  fc.record({ kind: fc.constant("start"), member: place }),
  fc.record({ kind: fc.constant("wipe"), member: place }),
  fc.record({ kind: fc.constant("restartAll") }),
  fc.record({ kind: fc.constant("cut"), from: place, to: place }),
  fc.record({ kind: fc.constant("isolate"), member: place }),
  fc.record({ kind: fc.constant("heal") }),
  fc.record({
    kind: fc.constant("weather"),
    lossRate: fc.double({ min: 0, max: 0.4, noNaN: true }),
    doublingRate: fc.double({ min: 0, max: 0.4, noNaN: true }),
  }),
  fc.record({ kind: fc.constant("handOver") }),
  fc.record({ kind: fc.constant("remove"), member: place }),
  fc.record({ kind: fc.constant("add"), member: place }),
];

/** One action as a command of the model run; the oracle is the model. */
class ActionCommand implements fc.Command<object, RaftSimulation> {
  readonly action: Action;

  constructor(action: Action) {
    this.action = action;
  }

  check(): boolean {
    return true;
  }

  run(_model: object, simulation: RaftSimulation): void {
    act(simulation, this.action);
  }

  toString(): string {
    return JSON.stringify(this.action);
  }
}

/** Carries one action out. */
export function act(simulation: RaftSimulation, action: Action): void {
  const idOf = (at: number) => simulation.ids[at % simulation.ids.length]!;
  switch (action.kind) {
    case "run":
      return simulation.run(action.ms);
    case "propose":
      for (let at = 0; at < action.count; at++) {
        simulation.proposeToLeader();
      }
      return;
    case "proposeTo":
      return simulation.propose(idOf(action.member));
    case "crash":
      return crash(simulation, idOf(action.member));
    case "start":
      return simulation.start(idOf(action.member));
    case "wipe":
      return wipe(simulation, idOf(action.member));
    case "restartAll":
      return restartAll(simulation);
    case "cut":
      return simulation.cut(idOf(action.from), idOf(action.to));
    case "isolate":
      return simulation.isolate(idOf(action.member));
    case "heal":
      return simulation.heal();
    case "weather":
      simulation.lossRate = action.lossRate;
      simulation.doublingRate = action.doublingRate;
      return;
    case "handOver":
      return forLeader(simulation, { kind: "handOver" });
    case "remove":
      return remove(simulation, idOf(action.member));
    case "add":
      return forLeader(simulation, {
        kind: "addMember",
        id: idOf(action.member),
      });
  }
}

function forLeader(
  simulation: RaftSimulation,
  input: RaftInput,
): void {
  const leader = simulation.leaseHolders()[0];
  if (leader !== undefined) {
    simulation.input(leader.id, input);
  }
}

/** A crash that forgets must find the group whole: one loss at a time. */
function crash(simulation: RaftSimulation, id: string): void {
  const forgets = !simulation.member(id).options.self.isDurable;
  if (!forgets || simulation.isWhole()) {
    simulation.crash(id);
  }
}

function wipe(simulation: RaftSimulation, id: string): void {
  if (simulation.isWhole()) {
    simulation.crash(id);
    simulation.member(id).forget();
  }
}

/** An operator takes no member out while another one is being repaired. */
function remove(simulation: RaftSimulation, id: string): void {
  if (simulation.isWhole()) {
    forLeader(simulation, { kind: "removeMember", id });
  }
}

/** Everything stops at once; only what is on the disks stays. */
export function restartAll(simulation: RaftSimulation): void {
  const hasDisk = [...simulation.members.values()].some((member) =>
    member.options.self.isDurable && member.core !== undefined
  );
  if (!hasDisk || !simulation.isWhole() || simulation.isWaived()) {
    return;
  }
  for (const id of simulation.ids) {
    simulation.crash(id);
  }
  simulation.startAll();
}

/** All members come back, and the group must work again. */
export function recover(simulation: RaftSimulation): void {
  simulation.heal();
  simulation.startAll();
  simulation.run(12_000);
  for (const id of simulation.ids) {
    forLeader(simulation, { kind: "addMember", id });
    simulation.run(400);
  }
  simulation.run(4_000);
  if (!simulation.proposeToLeader()) {
    throw new Error("no leader, though all members are back");
  }
  const before = simulation.oracle.acknowledged.length;
  simulation.run(3_000);
  if (simulation.oracle.acknowledged.length === before) {
    throw new Error("no commit, though all members are back");
  }
  simulation.oracle.checkEnd(simulation);
}

/** Which group a session is played with. */
export interface FuzzOptions {
  readonly members: readonly GroupMember[];
  readonly mutations?: readonly RaftMutation[];
}

/** Whatever happens in a session, every promise holds. */
export function sessionProperty(options: FuzzOptions) {
  const commands = fc.commands(
    ACTIONS.map((arbitrary) =>
      arbitrary.map((action) => new ActionCommand(action))
    ),
    { maxCommands: 60, size: "max" },
  );
  return fc.property(fc.integer(), commands, (seed, session) => {
    const simulation = new RaftSimulation({ ...options, seed });
    simulation.startAll();
    simulation.run(1_500);
    fc.modelRun(() => ({ model: {}, real: simulation }), session);
    recover(simulation);
  });
}

/** Voters with a disk. */
export function disks(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: true, isDurable: true }));
}

/** Voters without a disk. */
export function memories(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: true, isDurable: false }));
}

/** Members without a vote. */
export function learners(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: false, isDurable: false }));
}
