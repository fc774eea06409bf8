/**
 * Test oracle: checks the invariants of a replicated group from outside.
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

/** A violated invariant. */
export class InvariantViolation extends Error {
  constructor(invariant: string, detail: string) {
    super(`${invariant}: ${detail}`);
    this.name = "InvariantViolation";
  }
}

/** Checks the invariants of a simulated group. */
export class GroupOracle {
  readonly acknowledged: Acknowledged[] = [];
  #mayLoseState: boolean;
  #committed = new Map<number, LogEntry>();
  /** Appended commands, by the leader, term and index of their entries. */
  #appended = new Map<string, number>();
  /** The highest acknowledged index when each command was proposed. */
  #acknowledgedBefore = new Map<number, number>();
  /** The highest index of an acknowledged command. */
  #highestIndex = 0;

  constructor(options: { mayLoseState: boolean }) {
    this.#mayLoseState = options.mayLoseState;
  }

  /** Records that a command is about to be proposed. */
  recordProposal(command: number): void {
    this.#acknowledgedBefore.set(command, this.#highestIndex);
  }

  /**
   * Records that a leader appended a command to its log. The simulation
   * proposes each command with its number as the token.
   */
  recordAppend(
    memberId: string,
    appended: { token: number; index: number; term: number },
  ): void {
    this.#appended.set(
      `${memberId} ${appended.term} ${appended.index}`,
      appended.token,
    );
  }

  /** Checks that every member applies the same entry at an index. */
  commit(memberId: string, entry: LogEntry): void {
    if (this.#mayLoseState) {
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
      throw new InvariantViolation(
        "a committed entry is never lost or changed",
        `${memberId} has term ${entry.term} at ${entry.index}, ` +
          `where term ${known.term} was committed`,
      );
    }
  }

  /**
   * Records that the leader that appended a command applied it, and so
   * acknowledges it to the caller.
   */
  acknowledge(
    memberId: string,
    applied: { entry: LogEntry; command: number; atMs: number },
  ): void {
    const { entry, command, atMs } = applied;
    const appended = this.#appended.get(
      `${memberId} ${entry.term} ${entry.index}`,
    );
    if (appended !== command) {
      return;
    }
    const acknowledgedIndex = this.#acknowledgedBefore.get(command) ?? 0;
    if (entry.index <= acknowledgedIndex && !this.#mayLoseState) {
      throw new InvariantViolation(
        "commands take effect between their call and their acknowledgement",
        `command ${command} precedes one that was acknowledged earlier`,
      );
    }
    this.acknowledged.push({ command, index: entry.index, atMs });
    this.#highestIndex = Math.max(this.#highestIndex, entry.index);
  }

  /** Checks the state of a member that was restored from a snapshot. */
  restore(memberId: string, commands: readonly number[]): void {
    if (this.#mayLoseState) {
      return;
    }
    const expected = this.committedCommands().slice(0, commands.length);
    if (expected.join() !== commands.join()) {
      throw new InvariantViolation(
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

  /** Checks the invariants that must hold at any time. */
  check(simulation: RaftSimulation): void {
    const holders = simulation.leaseHolders();
    if (holders.length > 1) {
      throw new InvariantViolation(
        "at most one lease is valid at a time",
        holders.map((holder) => holder.id).join(),
      );
    }
    if (!this.#mayLoseState) {
      this.#checkReads(simulation);
      this.#checkCurrentAt(simulation);
    }
  }

  #checkReads(simulation: RaftSimulation): void {
    for (const holder of simulation.leaseHolders()) {
      if (holder.appliedIndex < this.#highestIndex) {
        throw new InvariantViolation(
          "a leader with a lease has applied all acknowledged commands",
          `${holder.id} applied ${holder.appliedIndex}, ` +
            `but ${this.#highestIndex} was acknowledged`,
        );
      }
    }
  }

  /**
   * Checks that no member lacks a command that was acknowledged before its
   * `currentAtMs`.
   */
  #checkCurrentAt(simulation: RaftSimulation): void {
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
        throw new InvariantViolation(
          "a copy has all commands acknowledged before its currentAtMs",
          `${member.id} lacks ${missed.index}, acknowledged at ${missed.atMs}, ` +
            `but reports that it was current at ${currentMs}`,
        );
      }
    }
  }

  /**
   * Checks, at the end and without faults, that every member has every command.
   */
  checkEnd(simulation: RaftSimulation): void {
    const lists = [...simulation.members.values()].map((member) =>
      member.commands.join()
    );
    if (new Set(lists).size !== 1) {
      throw new InvariantViolation(
        "members with the same index have the same state",
        lists.join(" | "),
      );
    }
    const held = new Set([...simulation.members.values()][0]!.commands);
    const lost = this.acknowledged.find((item) => !held.has(item.command));
    if (lost !== undefined && !this.#mayLoseState) {
      throw new InvariantViolation(
        "an acknowledged command is never lost",
        `command ${lost.command} at ${lost.index}`,
      );
    }
  }
}
