/**
 * Random sessions of faults for a simulated group, as commands of `fast-check`.
 *
 * @module
 */

import * as fc from "fast-check";
import type { GroupMember, RaftInput } from "../raft_effect.ts";
import type { RaftMutation } from "../raft_mutation.ts";
import type { ReplicationTiming } from "../replication_timing.ts";
import { RaftSimulation } from "./raft_simulation.ts";

/**
 * An action on a simulated group; a number selects a member by its position.
 */
export type Action =
  | { kind: "run"; ms: number }
  | { kind: "propose"; count: number }
  | { kind: "proposeTo"; member: number }
  | { kind: "crash"; member: number }
  | { kind: "start"; member: number }
  | { kind: "wipe"; member: number }
  | { kind: "restartAll" }
  | { kind: "failDisk"; member: number; ms: number }
  | { kind: "hangDisk"; member: number; ms: number }
  | { kind: "cut"; from: number; to: number }
  | { kind: "isolate"; member: number }
  | { kind: "heal" }
  | { kind: "linkFaults"; lossRate: number; duplicateRate: number }
  | { kind: "handOver" }
  | { kind: "remove"; member: number }
  | { kind: "add"; member: number };

const memberPosition = fc.nat({ max: 8 });
const diskFaultMs = fc.integer({ min: 1, max: 5_000 });

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
  fc.record({ kind: fc.constant("proposeTo"), member: memberPosition }),
  fc.record({ kind: fc.constant("crash"), member: memberPosition }),
  fc.record({ kind: fc.constant("start"), member: memberPosition }),
  fc.record({ kind: fc.constant("start"), member: memberPosition }),
  fc.record({ kind: fc.constant("wipe"), member: memberPosition }),
  fc.record({ kind: fc.constant("restartAll") }),
  fc.record({
    kind: fc.constant("failDisk"),
    member: memberPosition,
    ms: diskFaultMs,
  }),
  fc.record({
    kind: fc.constant("hangDisk"),
    member: memberPosition,
    ms: diskFaultMs,
  }),
  fc.record({
    kind: fc.constant("cut"),
    from: memberPosition,
    to: memberPosition,
  }),
  fc.record({ kind: fc.constant("isolate"), member: memberPosition }),
  fc.record({ kind: fc.constant("heal") }),
  fc.record({
    kind: fc.constant("linkFaults"),
    lossRate: fc.double({ min: 0, max: 0.4, noNaN: true }),
    duplicateRate: fc.double({ min: 0, max: 0.4, noNaN: true }),
  }),
  fc.record({ kind: fc.constant("handOver") }),
  fc.record({ kind: fc.constant("remove"), member: memberPosition }),
  fc.record({ kind: fc.constant("add"), member: memberPosition }),
];

/** One action as a command of the model run; the oracle serves as the model. */
class ActionCommand implements fc.Command<object, RaftSimulation> {
  readonly action: Action;

  constructor(action: Action) {
    this.action = action;
  }

  check(): boolean {
    return true;
  }

  run(_model: object, simulation: RaftSimulation): void {
    performAction(simulation, this.action);
  }

  toString(): string {
    return JSON.stringify(this.action);
  }
}

/** Performs one action. */
export function performAction(
  simulation: RaftSimulation,
  action: Action,
): void {
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
    case "failDisk":
      return simulation.failDisk(idOf(action.member), action.ms);
    case "hangDisk":
      return simulation.hangDisk(idOf(action.member), action.ms);
    case "cut":
      return simulation.cut(idOf(action.from), idOf(action.to));
    case "isolate":
      return simulation.isolate(idOf(action.member));
    case "heal":
      return simulation.heal();
    case "linkFaults":
      simulation.lossRate = action.lossRate;
      simulation.duplicateRate = action.duplicateRate;
      return;
    case "handOver":
      return inputToLeader(simulation, { kind: "handOver" });
    case "remove":
      return remove(simulation, idOf(action.member));
    case "add":
      return inputToLeader(simulation, {
        kind: "addMember",
        id: idOf(action.member),
      });
  }
}

function inputToLeader(
  simulation: RaftSimulation,
  input: RaftInput,
): void {
  const leader = simulation.leaseHolders()[0];
  if (leader !== undefined) {
    simulation.input(leader.id, input);
  }
}

/**
 * Crashes a member. One that loses its state crashes only while all voters are
 * intact, so that there is one loss at a time.
 */
function crash(simulation: RaftSimulation, id: string): void {
  const losesState = !simulation.member(id).options.self.isDurable;
  if (!losesState || simulation.hasAllVoters()) {
    simulation.crash(id);
  }
}

function wipe(simulation: RaftSimulation, id: string): void {
  if (simulation.hasAllVoters()) {
    simulation.crash(id);
    simulation.member(id).eraseDisk();
  }
}

/**
 * Removes a member if all voters are intact: an operator doesn't remove one
 * while another is being recovered.
 */
function remove(simulation: RaftSimulation, id: string): void {
  if (simulation.hasAllVoters()) {
    inputToLeader(simulation, { kind: "removeMember", id });
  }
}

/**
 * Restarts all members at once; only what is on the disks remains. Does nothing
 * if that might lose committed entries.
 */
export function restartAll(simulation: RaftSimulation): void {
  const hasDisk = [...simulation.members.values()].some((member) =>
    member.options.self.isDurable && member.core !== undefined
  );
  if (
    !hasDisk || !simulation.hasAllVoters() || simulation.isDurabilityWaived()
  ) {
    return;
  }
  for (const id of simulation.ids) {
    simulation.crash(id);
  }
  simulation.startAll();
}

/** Starts all members and checks that the group works again. */
export function recover(simulation: RaftSimulation): void {
  simulation.heal();
  simulation.startAll();
  simulation.run(12_000);
  for (const id of simulation.ids) {
    inputToLeader(simulation, { kind: "addMember", id });
    simulation.run(400);
  }
  simulation.run(4_000);
  if (!simulation.proposeToLeader()) {
    throw new Error("no leader with all members running");
  }
  const before = simulation.oracle.acknowledged.length;
  simulation.run(3_000);
  if (simulation.oracle.acknowledged.length === before) {
    throw new Error("no commit with all members running");
  }
  simulation.oracle.checkEnd(simulation);
}

/** Options of {@link sessionProperty}. */
export interface FuzzOptions {
  readonly members: readonly GroupMember[];
  readonly mutations?: readonly RaftMutation[];
  readonly founderIds?: readonly string[];
  readonly wantedVoters?: number;
  readonly timing?: Partial<ReplicationTiming>;
}

/** The property that all invariants hold in any session. */
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
export function diskVoters(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: true, isDurable: true }));
}

/** Voters without a disk. */
export function memoryVoters(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: true, isDurable: false }));
}

/** Members that never vote. */
export function learners(...ids: string[]): GroupMember[] {
  return ids.map((id) => ({ id, isVoter: false, isDurable: false }));
}

/** The kinds of group that sessions run against. */
export const FUZZ_GROUPS: Readonly<Record<string, readonly GroupMember[]>> = {
  "three disks": diskVoters("a", "b", "c"),
  "five disks and two learners": [
    ...diskVoters("a", "b", "c", "d", "e"),
    ...learners("f", "g"),
  ],
  "one disk of three": [...memoryVoters("a", "b"), ...diskVoters("c")],
  "no disk of three": memoryVoters("a", "b", "c"),
  "two disks": diskVoters("a", "b"),
  "four disks": diskVoters("a", "b", "c", "d"),
};
