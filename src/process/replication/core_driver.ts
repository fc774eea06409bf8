/**
 * Drives a core: feeds it inputs and executes its effects.
 *
 * @module
 */

import type { Clock, Timer } from "../../base/clock.ts";
import type { EventLog } from "../../base/event_log.ts";
import type { InstanceId } from "../../base/identity.ts";
import { SesameError } from "../../base/sesame_error.ts";
import type { PeerChannel } from "../../connection/peer_network.ts";
import type { AppliedState } from "./applied_state.ts";
import type { LogSnapshot } from "./log_entry.ts";
import type { LogStore } from "./log_store.ts";
import { PersistQueue } from "./persist_queue.ts";
import { type ProposalListener, ProposalTable } from "./proposal_table.ts";
import type { RaftCore, RaftView } from "./raft_core.ts";
import type { RaftEffect, RaftInput } from "./raft_effect.ts";
import type { RaftEnvelope } from "./raft_message.ts";

/** Options of {@link CoreDriver}. */
export interface CoreDriverOptions<Command, Outcome> {
  readonly groupId: string;
  readonly core: RaftCore;
  readonly applied: AppliedState<Command, Outcome>;
  readonly channel: PeerChannel<RaftEnvelope>;
  readonly store: LogStore | undefined;
  readonly clock: Clock;
  readonly events: EventLog;
  /** The interval of the core's ticks, in milliseconds. */
  readonly tickMs: number;
  /** Called with members that the log or other members name. */
  readonly onMemberDiscovered: (id: InstanceId) => void;
  /** Called after every step. */
  readonly onStep: () => void;
  /** Called when writes to the disk are synced. */
  readonly onSynced: () => void;
  /**
   * Called when the disk or the state machine failed; the driver has stopped.
   */
  readonly onFailure: (error: SesameError) => void;
}

/**
 * Connects a core to the clock, the disk, the network and the state machine.
 */
export class CoreDriver<Command, Outcome> {
  #options: CoreDriverOptions<Command, Outcome>;
  #persistQueue: PersistQueue;
  #proposals = new ProposalTable<Outcome>();
  #inputs: RaftInput[] = [];
  #isStepping = false;
  #isDrainDue = false;
  #isStopped = false;
  /** A leader's lease proves nothing more once it has stopped. */
  #stoppedCurrentAtMs: number | undefined;
  #timer: Timer;

  constructor(options: CoreDriverOptions<Command, Outcome>) {
    this.#options = options;
    const { channel, clock } = options;
    this.#persistQueue = new PersistQueue({
      store: options.store,
      send: (effect) => void channel.send(effect.to, effect.envelope),
      onPersisted: (sequence) => {
        options.onSynced();
        this.step({ kind: "persisted", sequence });
      },
      onFailure: (error) => this.#fail(error),
    });
    this.#timer = clock.every(
      options.tickMs,
      () => this.step({ kind: "tick" }),
    );
  }

  get view(): RaftView {
    return this.#options.core.view;
  }

  get appliedIndex(): number {
    return this.#options.applied.index;
  }

  get isStopped(): boolean {
    return this.#isStopped;
  }

  get leaseEndMs(): number {
    return this.#isStopped
      ? 0
      : this.#options.core.leaseEndMs(this.#options.clock.nowMs());
  }

  get currentAtMs(): number {
    return this.#stoppedCurrentAtMs ??
      this.#options.core.currentAtMs(this.#options.clock.nowMs());
  }

  /** Whether no command proposed to this member still waits for its result. */
  get hasFinishedProposals(): boolean {
    return this.#proposals.isEmpty;
  }

  /**
   * Whether this member leads under a valid lease and knows all committed
   * entries.
   */
  isLeaseHeld(): boolean {
    return !this.#isStopped &&
      this.#options.core.isLeaseHeld(this.#options.clock.nowMs());
  }

  /** Appends a command to this leader's log, if it may accept one. */
  propose(data: Uint8Array, listener: ProposalListener<Outcome>): void {
    if (!this.isLeaseHeld() || !this.#options.core.isRedundant()) {
      listener({ kind: "notAppended" });
      return;
    }
    const token = this.#proposals.add(listener);
    this.#inputs.push({ kind: "propose", token, data });
    if (!this.#isDrainDue) {
      // Commands from the same turn of the event loop are sent together.
      this.#isDrainDue = true;
      queueMicrotask(() => this.#drainSafely());
    }
  }

  /** Feeds an input; inputs that it causes are processed after it. */
  step(input: RaftInput): void {
    if (this.#isStopped) {
      return;
    }
    this.#inputs.push(input);
    this.#drainSafely();
  }

  /** Stops all processing; nothing more is sent or persisted. */
  stop(): void {
    this.#stoppedCurrentAtMs ??= this.currentAtMs;
    this.#isStopped = true;
    this.#inputs = [];
    this.#timer.close();
    this.#persistQueue.stop();
    this.#proposals.finishAll();
  }

  #drainSafely(): void {
    this.#isDrainDue = false;
    if (this.#isStepping || this.#isStopped) {
      return;
    }
    this.#isStepping = true;
    try {
      this.#drain();
    } catch (error) {
      this.#fail(new SesameError("internal", { detail: String(error) }));
    } finally {
      this.#isStepping = false;
    }
    this.#options.onStep();
  }

  #drain(): void {
    const { core, clock } = this.#options;
    while (this.#inputs.length > 0) {
      const inputs = this.#inputs;
      this.#inputs = [];
      const effects = core.step(inputs, clock.nowMs(), clock.steadyMs());
      for (const effect of effects) {
        if (!this.#isStopped) {
          this.#execute(effect);
        }
      }
    }
  }

  #execute(effect: RaftEffect): void {
    switch (effect.kind) {
      case "send":
        return this.#persistQueue.send(effect);
      case "persist":
        return this.#persistQueue.persist(effect);
      case "commit":
        return this.#applyAll(effect.entries);
      case "restore":
        return this.#restore(effect.snapshot);
      case "proposalAppended":
        return this.#proposals.markAppended(effect.token, effect);
      case "proposalRejected":
        return this.#proposals.markRejected(effect.token);
      case "memberDiscovered":
        return this.#options.onMemberDiscovered(effect.id);
      case "event":
        return this.#options.events.emit(effect.name, {
          group: this.#options.groupId,
          ...effect.fields,
        });
    }
  }

  #applyAll(entries: Extract<RaftEffect, { kind: "commit" }>["entries"]): void {
    const { applied } = this.#options;
    for (const entry of entries) {
      const command = applied.apply(entry);
      this.#proposals.markApplied(entry.index, { term: entry.term, command });
    }
    const snapshot = applied.snapshotIfDue();
    if (snapshot !== undefined) {
      this.step({ kind: "snapshotMade", ...snapshot });
    }
  }

  #restore(snapshot: LogSnapshot): void {
    this.#options.applied.resume(snapshot).ifLeft((error) => this.#fail(error));
    this.#proposals.markSkipped(snapshot.index);
  }

  #fail(error: SesameError): void {
    if (!this.#isStopped) {
      if (error.kind === "storageFailed") {
        // A leader asks a follower to take over; that needs no disk.
        this.step({ kind: "diskFailed" });
        if (this.#isStopped) {
          return;
        }
      }
      this.stop();
      this.#options.onFailure(error);
    }
  }
}
