/**
 * An in-memory fake of the configuration's replicated log, for tests: one list
 * of committed commands, which connected members apply at once.
 *
 * @module
 * @internal
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import { Channel } from "../../base/channel.ts";
import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import { failure, type Result } from "../../base/sesame_error.ts";
import type {
  MemberStatus,
  ReplicatedLog,
} from "../replication/replicated_log.ts";
import type {
  ConfigurationCommand,
  ConfigurationOutcome,
} from "./configuration_command.ts";
import {
  ConfigurationMachine,
  type ConfigurationMachineOptions,
} from "./configuration_machine.ts";

/** The committed commands and the members of the group. */
export class FakeConfigurationGroup {
  readonly #clock: Clock;
  readonly #machineOptions: ConfigurationMachineOptions;
  readonly #commands: Uint8Array[] = [];
  readonly #members: FakeMember[] = [];
  /** The outcome of the newest command, from a member that applied it. */
  lastOutcome: ConfigurationOutcome | undefined;

  constructor(options: {
    clock: Clock;
    machine?: ConfigurationMachineOptions;
  }) {
    this.#clock = options.clock;
    this.#machineOptions = options.machine ?? {};
  }

  /** Adds a member; the first connected member leads. */
  join(instanceId: InstanceId): FakeMember {
    const member = new FakeMember({
      instanceId,
      clock: this.#clock,
      group: this,
      machine: this.createMachine(),
    });
    this.#members.push(member);
    member.catchUp();
    return member;
  }

  createMachine(): ConfigurationMachine {
    return new ConfigurationMachine(this.#machineOptions);
  }

  get leader(): FakeMember | undefined {
    return this.#members.find((member) => member.isConnected);
  }

  get commitIndex(): number {
    return this.#commands.length;
  }

  commandAt(index: number): ConfigurationCommand {
    return unpack(this.#commands[index - 1] as Uint8Array);
  }

  /** Commits a command; connected members that don't lag apply it. */
  commit(command: ConfigurationCommand): void {
    this.#commands.push(pack(command));
    for (const member of this.#members) {
      if (member.isConnected && !member.isLagging) {
        this.lastOutcome = member.catchUp() ?? this.lastOutcome;
      }
    }
  }
}

/** A member of the group with its own machine. */
export class FakeMember
  implements ReplicatedLog<ConfigurationCommand, ConfigurationOutcome> {
  readonly instanceId: InstanceId;
  readonly #clock: Clock;
  readonly #group: FakeConfigurationGroup;
  readonly #statuses = new Channel<MemberStatus>();
  machine: ConfigurationMachine;
  #appliedIndex = 0;
  #currentAtMs = 0;
  #isConnected = true;
  /** When set, the member gets outcomes but applies no commands itself. */
  isLagging = false;
  /** When set, the next command is committed but its answer is lost. */
  losesNextAnswer = false;

  constructor(options: {
    instanceId: InstanceId;
    clock: Clock;
    group: FakeConfigurationGroup;
    machine: ConfigurationMachine;
  }) {
    this.instanceId = options.instanceId;
    this.#clock = options.clock;
    this.#group = options.group;
    this.machine = options.machine;
  }

  get statuses() {
    return this.#statuses.stream;
  }

  get isConnected(): boolean {
    return this.#isConnected;
  }

  set isConnected(isConnected: boolean) {
    this.#currentAtMs = this.#clock.nowMs();
    this.#isConnected = isConnected;
    if (isConnected) {
      this.catchUp();
    }
  }

  propose(
    command: ConfigurationCommand,
  ): Promise<Result<ConfigurationOutcome>> {
    if (!this.isConnected) {
      return Promise.resolve(failure("unavailable"));
    }
    this.#group.commit(command);
    if (this.losesNextAnswer) {
      this.losesNextAnswer = false;
      return Promise.resolve(failure("outcomeUnknown"));
    }
    const outcome = this.#group.lastOutcome as ConfigurationOutcome;
    return Promise.resolve(Right(outcome));
  }

  readBarrier(): Promise<Result<void>> {
    return Promise.resolve(
      this.isConnected ? Right(undefined) : failure("unavailable"),
    );
  }

  status(): MemberStatus {
    const isLeader = this.#group.leader === this;
    return {
      groupId: "configuration",
      role: isLeader ? "leader" : "follower",
      term: 1,
      leaderId: this.#group.leader?.instanceId,
      commitIndex: this.#group.commitIndex,
      appliedIndex: this.#appliedIndex,
      leaseEndMs: isLeader ? Infinity : 0,
      currentAtMs: this.isConnected ? this.#clock.nowMs() : this.#currentAtMs,
      voterIds: [this.instanceId],
      learnerIds: [],
    };
  }

  /** Applies all committed commands and returns the last outcome, if any. */
  catchUp(): ConfigurationOutcome | undefined {
    let outcome: ConfigurationOutcome | undefined;
    while (this.#appliedIndex < this.#group.commitIndex) {
      const command = this.#group.commandAt(++this.#appliedIndex);
      outcome = this.machine.apply(command);
    }
    return outcome;
  }

  /** Replaces the machine by a new one restored from its snapshot. */
  restart(): Result<void> {
    const snapshot = this.machine.snapshot();
    this.machine = this.#group.createMachine();
    return this.machine.restore(snapshot);
  }

  handOver(): Promise<void> {
    return Promise.resolve();
  }

  close(): Promise<void> {
    this.#statuses.close();
    return Promise.resolve();
  }
}
