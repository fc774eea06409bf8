/**
 * What a replicated group promises, checked from outside.
 *
 * @module
 */

import { unpack } from "msgpackr";
import type { LogEntry } from "../log_entry.ts";
import type { RaftSimulation } from "./raft_simulation.ts";

interface Acknowledged {
  readonly command: number;
  readonly index: number;
  readonly atMs: number;
}

/** A promise that was broken. */
export class BrokenPromise extends Error {
  constructor(promise: string, detail: string) {
    super(`${promise}: ${detail}`);
    this.name = "BrokenPromise";
  }
}

/** Watches a simulated group. */
export class GroupOracle {
  readonly acknowledged: Acknowledged[] = [];
  #mayForget: boolean;
  #committed = new Map<number, LogEntry>();
  /** Commands by the leader, term and index of their entries. */
  #taken = new Map<string, number>();
  /** The highest acknowledged index when a command was handed in. */
  #floors = new Map<number, number>();
  #highestIndex = 0;

  constructor(options: { mayForget: boolean }) {
    this.#mayForget = options.mayForget;
  }

  /** A command is about to be handed in. */
  invoke(command: number): void {
    this.#floors.set(command, this.#highestIndex);
  }

  /** A leader put the command into its log. */
  take(
    memberId: string,
    taken: { token: number; index: number; term: number },
  ): void {
    this.#taken.set(`${memberId} ${taken.term} ${taken.index}`, taken.token);
  }

  /** A member applied an entry: every member must apply the same there. */
  commit(memberId: string, entry: LogEntry): void {
    if (this.#mayForget) {
      return;
    }
    const known = this.#committed.get(entry.index);
    if (known === undefined) {
      this.#committed.set(entry.index, entry);
      return;
    }
    const isSame = known.term === entry.term && known.kind === entry.kind &&
      String(known.data) === String(entry.data);
    if (!isSame) {
      throw new BrokenPromise(
        "a committed entry is never lost or changed",
        `${memberId} has term ${entry.term} at ${entry.index}, ` +
          `where term ${known.term} was committed`,
      );
    }
  }

  /** The leader that took a command applied it, and so answers its caller. */
  acknowledge(
    memberId: string,
    applied: { entry: LogEntry; command: number; atMs: number },
  ): void {
    const { entry, command, atMs } = applied;
    const taken = this.#taken.get(`${memberId} ${entry.term} ${entry.index}`);
    if (taken !== command) {
      return;
    }
    const floor = this.#floors.get(command) ?? 0;
    if (entry.index <= floor && !this.#mayForget) {
      throw new BrokenPromise(
        "commands take effect between their call and their answer",
        `command ${command} went before one that was answered earlier`,
      );
    }
    this.acknowledged.push({ command, index: entry.index, atMs });
    this.#highestIndex = Math.max(this.#highestIndex, entry.index);
  }

  /** A member's state became that of a snapshot. */
  restore(memberId: string, commands: readonly number[]): void {
    if (this.#mayForget) {
      return;
    }
    const expected = this.committedCommands().slice(0, commands.length);
    if (expected.join() !== commands.join()) {
      throw new BrokenPromise(
        "members with the same index have the same state",
        `${memberId} was restored to ${commands.join()}`,
      );
    }
  }

  /** All committed commands, in order. */
  committedCommands(): number[] {
    return [...this.#committed.values()]
      .sort((left, right) => left.index - right.index)
      .filter((entry) => entry.kind === "command")
      .map((entry) => unpack(entry.data) as number);
  }

  /** What must hold at every moment. */
  check(simulation: RaftSimulation): void {
    const holders = simulation.leaseHolders();
    if (holders.length > 1) {
      throw new BrokenPromise(
        "at most one lease is valid at a time",
        holders.map((holder) => holder.id).join(),
      );
    }
    if (!this.#mayForget) {
      this.#checkReads(simulation);
      this.#checkCurrency(simulation);
    }
  }

  #checkReads(simulation: RaftSimulation): void {
    for (const holder of simulation.leaseHolders()) {
      if (holder.appliedIndex < this.#highestIndex) {
        throw new BrokenPromise(
          "a leader under lease knows all that was acknowledged",
          `${holder.id} applied ${holder.appliedIndex}, ` +
            `but ${this.#highestIndex} was acknowledged`,
        );
      }
    }
  }

  /** Nothing acknowledged before a member's currency moment is missing. */
  #checkCurrency(simulation: RaftSimulation): void {
    const newest = this.acknowledged.at(-1);
    for (const member of simulation.members.values()) {
      const { core } = member;
      if (core === undefined || newest === undefined) {
        continue;
      }
      if (member.appliedIndex >= newest.index) {
        continue;
      }
      const clockMs = core.currentAtMs(member.clockMs(simulation.nowMs));
      const currentMs = member.trueMs(clockMs);
      const missed = this.acknowledged.find((item) =>
        item.index > member.appliedIndex && item.atMs < currentMs
      );
      if (missed !== undefined) {
        throw new BrokenPromise(
          "a copy holds all that was acknowledged before its moment",
          `${member.id} lacks ${missed.index} of ${missed.atMs}, ` +
            `yet says that it was current at ${currentMs}`,
        );
      }
    }
  }

  /** At the end, with all healed: every member has everything. */
  checkEnd(simulation: RaftSimulation): void {
    const lists = [...simulation.members.values()].map((member) =>
      member.commands.join()
    );
    if (new Set(lists).size !== 1) {
      throw new BrokenPromise(
        "members with the same index have the same state",
        lists.join(" | "),
      );
    }
    const held = new Set([...simulation.members.values()][0]!.commands);
    const lost = this.acknowledged.find((item) => !held.has(item.command));
    if (lost !== undefined && !this.#mayForget) {
      throw new BrokenPromise(
        "an acknowledged command is never lost",
        `command ${lost.command} at ${lost.index}`,
      );
    }
  }
}
