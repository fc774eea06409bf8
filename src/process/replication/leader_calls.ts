/**
 * Calls from a member to its leader: proposals and reads.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import type { Clock } from "../../base/clock.ts";
import type { InstanceId } from "../../base/identity.ts";
import type { PeerChannel } from "../../connection/peer_network.ts";
import type { CoreDriver } from "./core_driver.ts";
import { CallDeduplicator, PeerCalls, type PeerReply } from "./peer_calls.ts";
import type { ProposalResult } from "./proposal_table.ts";
import type {
  RaftEnvelope,
  RaftMessage,
  RaftMessageOf,
} from "./raft_message.ts";

/** A read without a reply is sent again after this; either reply counts. */
const READ_RESEND_MS = 600;

const NO_BYTES = new Uint8Array();

/** Options of {@link LeaderCalls}. */
export interface LeaderCallsOptions<Command, Outcome> {
  readonly driver: CoreDriver<Command, Outcome>;
  readonly channel: PeerChannel<RaftEnvelope>;
  readonly clock: Clock;
}

/**
 * Calls the leader, and answers the calls of others while this member leads.
 */
export class LeaderCalls<Command, Outcome> {
  #driver: CoreDriver<Command, Outcome>;
  #channel: PeerChannel<RaftEnvelope>;
  #clock: Clock;
  #calls: PeerCalls;
  #receivedCalls = new CallDeduplicator();

  constructor(options: LeaderCallsOptions<Command, Outcome>) {
    this.#driver = options.driver;
    this.#channel = options.channel;
    this.#clock = options.clock;
    this.#calls = new PeerCalls({ nowMs: options.clock.nowMs() });
  }

  /** Appends a command to the leader's log, on this member or by a call. */
  async propose(
    data: Uint8Array,
    deadlineMs: number,
  ): Promise<ProposalResult<Outcome>> {
    const { leaderId, role, term } = this.#driver.view;
    if (role === "leader") {
      return await this.#awaitResult(deadlineMs, (listener) => {
        this.#driver.propose(data, listener);
      });
    }
    if (leaderId === undefined) {
      return { kind: "notAppended" };
    }
    let id = 0;
    const result = await this.#awaitResult(deadlineMs, (listener) => {
      id = this.#calls.open((reply) => listener(resultOfReply(reply)));
      if (!this.#send(leaderId, { kind: "propose", id, term, data })) {
        listener({ kind: "notAppended" });
      }
    });
    this.#calls.cancel(id);
    return result;
  }

  /**
   * The index that must be applied before a read; undefined if no leader with a
   * lease answers by the deadline.
   */
  async readIndex(deadlineMs: number): Promise<number | undefined> {
    const { leaderId, role, commitIndex } = this.#driver.view;
    if (role === "leader") {
      return this.#driver.isLeaseHeld() ? commitIndex : undefined;
    }
    if (leaderId === undefined) {
      return undefined;
    }
    const reply = await this.#awaitReadReply(deadlineMs);
    return reply?.kind === "readReply" ? reply.index : undefined;
  }

  /** Asks the leader, again while it doesn't reply; it may have changed. */
  #awaitReadReply(deadlineMs: number): Promise<PeerReply | undefined> {
    return new Promise((resolve) => {
      const ids: number[] = [];
      const end = (reply: PeerReply | undefined) => {
        resend.close();
        timer.close();
        ids.forEach((id) => this.#calls.cancel(id));
        resolve(reply);
      };
      const ask = () => {
        const { leaderId } = this.#driver.view;
        if (leaderId !== undefined) {
          const id = this.#calls.open(end);
          ids.push(id);
          this.#send(leaderId, { kind: "read", id });
        }
      };
      const resend = this.#clock.every(READ_RESEND_MS, ask);
      const timer = this.#clock.after(
        deadlineMs - this.#clock.nowMs(),
        () => end(undefined),
      );
      ask();
    });
  }

  /** Handles a call or a reply; returns false for messages of the core. */
  receive(from: InstanceId, envelope: RaftEnvelope): boolean {
    const { message } = envelope;
    switch (message.kind) {
      case "propose":
        this.#serveProposal(from, envelope, message);
        return true;
      case "read":
        this.#serveRead(from, envelope, message);
        return true;
      case "proposeReply":
      case "readReply":
        this.#calls.handleReply(message);
        return true;
      default:
        return false;
    }
  }

  /** Ends all pending calls without a reply. */
  stop(): void {
    this.#calls.endAll();
  }

  #awaitResult(
    deadlineMs: number,
    begin: (listener: (result: ProposalResult<Outcome>) => void) => void,
  ): Promise<ProposalResult<Outcome>> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(
        deadlineMs - this.#clock.nowMs(),
        () => resolve({ kind: "unknown" }),
      );
      begin((result) => {
        timer.close();
        resolve(result);
      });
    });
  }

  #send(to: InstanceId, message: RaftMessage): boolean {
    const { formationId, incarnation } = this.#driver.view;
    return this.#channel.send(to, {
      ...(formationId === undefined ? {} : { formationId }),
      fromIncarnation: incarnation,
      toIncarnation: 0,
      message,
    });
  }

  #isOwnGroup(envelope: RaftEnvelope): boolean {
    const { formationId } = this.#driver.view;
    return formationId !== undefined && envelope.formationId === formationId;
  }

  #serveProposal(
    from: InstanceId,
    envelope: RaftEnvelope,
    message: RaftMessageOf<"propose">,
  ): void {
    const isNew = this.#receivedCalls.isNew(from, message.id);
    if (!isNew || !this.#isOwnGroup(envelope)) {
      return;
    }
    const reply = (result: ProposalResult<Outcome>) => {
      this.#send(from, {
        kind: "proposeReply",
        id: message.id,
        status: result.kind,
        data: result.kind === "applied" ? pack(result.outcome) : NO_BYTES,
      });
    };
    // In another term, the caller may already know that the command was not
    // appended.
    if (message.term === this.#driver.view.term) {
      this.#driver.propose(message.data, reply);
    } else {
      reply({ kind: "notAppended" });
    }
  }

  #serveRead(
    from: InstanceId,
    envelope: RaftEnvelope,
    message: RaftMessageOf<"read">,
  ): void {
    if (!this.#isOwnGroup(envelope)) {
      return;
    }
    const isHeld = this.#driver.isLeaseHeld();
    this.#send(from, {
      kind: "readReply",
      id: message.id,
      ...(isHeld ? { index: this.#driver.view.commitIndex } : {}),
    });
  }
}

function resultOfReply<Outcome>(
  reply: PeerReply | undefined,
): ProposalResult<Outcome> {
  if (reply?.kind !== "proposeReply") {
    return { kind: "unknown" };
  }
  return reply.status === "applied"
    ? { kind: "applied", outcome: unpack(reply.data) as Outcome }
    : { kind: reply.status };
}
